//! Controllers -> state service ("Controller nodes -> state service" of the protocol): reads, transactions on
//! conditions, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A key with its value ("GET /store" of the protocol).
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// Its name.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A page of keys ("GET /store?prefix=" of the protocol).
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Keys with their values, in order.
    pub items: Vec<KeyValue>,
    /// Whether the list goes on after the last of them.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A condition of a transaction ("POST /commit" of the protocol).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision of its last change that is asked for; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change in a transaction ("POST /commit" of the protocol).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        /// The lease with which it ends.
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "tenancy")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Mutation {
    /// A write of a value with no lease.
    pub fn put<T: Serialize>(key: String, value: &T) -> Mutation {
        Mutation::Put { key, value: raw_json(value), lease_id: None }
    }

    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Remove { key } => key,
        }
    }
}

/// A value as it is stored.
pub fn raw_json<T: Serialize>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("stored values have string keys only")
}

/// Changes that are applied all together, and only if every condition holds ("POST /commit" of the protocol).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold for the transaction to be applied.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes, all with one revision.
    pub writes: Vec<Mutation>,
}

/// Answer to a transaction that was applied ("POST /commit" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionApplied {
    /// Revision of the change.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions failed: 409 of "POST /commit" of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store.
    #[serde(default)]
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

impl TransactionConflict {
    /// Keys whose conditions failed, as far as an answer names them.
    pub fn failed_keys(body: &[u8]) -> Vec<String> {
        let conflict = serde_json::from_slice::<TransactionConflict>(body);
        conflict.map(|conflict| conflict.failed).unwrap_or_default()
    }
}

/// One change seen by a watch ("GET /changes" of the protocol).
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    #[serde(default, rename = "write")]
    pub put_key: Option<String>,
    /// The key that was removed.
    #[serde(default, rename = "remove")]
    pub removed_key: Option<String>,
    /// The new value.
    #[serde(default, rename = "data")]
    pub value: Option<Box<RawValue>>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Answer to a watch ("GET /changes" of the protocol).
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the answer holds all changes.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Asks for a lease ("POST /holds" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds that the lease lasts without renewal.
    pub life_ms: u64,
}

/// Answer to the request for a lease ("POST /holds" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Number of the lease.
    #[serde(rename = "tenancy")]
    pub lease_id: u64,
}

/// Path on which leases are granted ("POST /holds" of the protocol).
pub const LEASES_PATH: &str = "/holds";

/// Path of a lease ("DELETE /holds/{id}" of the protocol).
pub fn lease_path(lease_id: u64) -> String {
    format!("{LEASES_PATH}/{lease_id}")
}

/// Path that renews a lease ("POST /holds/{id}/renew" of the protocol).
pub fn lease_renewal_path(lease_id: u64) -> String {
    format!("{LEASES_PATH}/{lease_id}/renew")
}

/// Path of a transaction.
pub const COMMIT_PATH: &str = "/commit";

/// Path of a page of all keys under a prefix: at most `limit` keys after the key `since`.
pub fn list_path(prefix: &str, since: Option<&str>, limit: usize) -> String {
    match since {
        Some(since) => format!("/store?prefix={prefix}&since={since}&limit={limit}"),
        None => format!("/store?prefix={prefix}&limit={limit}"),
    }
}

/// Path of a watch for changes above the revision `since`. It waits up to `block_ms` milliseconds for one;
/// with zero it reads what there is.
pub fn changes_path(prefix: &str, since: u64, block_ms: u64) -> String {
    format!("/changes?prefix={prefix}&since={since}&block_ms={block_ms}")
}
