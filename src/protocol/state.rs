//! Requests of controllers to the state service: reads, conditional transactions, leases and watches.
//!
//! Every change of the store has a revision, a number that grows with each transaction.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A key with its value (`GET /store`).
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, as unparsed JSON.
    #[serde(rename = "data")]
    pub value: Box<RawValue>,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A page of a listing of keys (`GET /store?prefix=`).
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// Keys with their values, sorted by key.
    pub items: Vec<KeyValue>,
    /// Whether there are more keys after the last one of this page.
    #[serde(default)]
    pub has_next: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A condition of a transaction (`POST /commit`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key that is checked.
    pub key: String,
    /// Required revision of the key's last change; 0 requires that the key does not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change in a transaction (`POST /commit`).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key.
    Put {
        /// The key that is set.
        #[serde(rename = "write")]
        key: String,
        /// The new value, as unparsed JSON.
        #[serde(rename = "data")]
        value: Box<RawValue>,
        /// Lease at whose end the key is removed; absent for a key that is kept.
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "tenancy")]
        lease_id: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key that is removed.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Mutation {
    /// Creates a write of a value without a lease.
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

/// Serializes a value to the JSON text that is stored.
pub fn raw_json<T: Serialize>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("stored values have string keys only")
}

/// Changes that are applied atomically, and only if every condition holds (`POST /commit`).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes; all of them get the same revision.
    pub writes: Vec<Mutation>,
}

/// Response to a transaction that was applied (`POST /commit`).
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionApplied {
    /// Revision of the transaction's changes.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Response with status 409 to a transaction whose conditions failed (`POST /commit`).
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose conditions failed; empty if the response does not name them.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store when the conditions were checked; 0 if absent.
    #[serde(default)]
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

impl TransactionConflict {
    /// Keys whose conditions failed according to a response body; empty if the body can't be parsed.
    pub fn failed_keys(body: &[u8]) -> Vec<String> {
        let conflict = serde_json::from_slice::<TransactionConflict>(body);
        conflict.map(|conflict| conflict.failed).unwrap_or_default()
    }
}

/// A change reported by a watch (`GET /changes`): a write or a removal of one key.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was set; absent for a removal.
    #[serde(default, rename = "write")]
    pub put_key: Option<String>,
    /// The key that was removed; absent for a write.
    #[serde(default, rename = "remove")]
    pub removed_key: Option<String>,
    /// The new value, as unparsed JSON; absent for a removal.
    #[serde(default, rename = "data")]
    pub value: Option<Box<RawValue>>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Response to a watch (`GET /changes`).
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response contains all changes.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Changes in ascending order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Request for a lease (`POST /holds`).
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds after which the lease expires unless it is renewed.
    pub life_ms: u64,
}

/// Response to a request for a lease (`POST /holds`).
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Number of the lease, assigned by the state service.
    #[serde(rename = "tenancy")]
    pub lease_id: u64,
}

/// Path at which leases are granted (`POST /holds`).
pub const LEASES_PATH: &str = "/holds";

/// Path at which a lease is revoked (`DELETE /holds/{id}`).
pub fn lease_path(lease_id: u64) -> String {
    format!("{LEASES_PATH}/{lease_id}")
}

/// Path at which a lease is renewed (`POST /holds/{id}/renew`).
pub fn lease_renewal_path(lease_id: u64) -> String {
    format!("{LEASES_PATH}/{lease_id}/renew")
}

/// Path at which transactions are submitted.
pub const COMMIT_PATH: &str = "/commit";

/// Path that lists a page of the keys with a prefix: at most `limit` keys after the key `since`, or from
/// the first key on.
pub fn list_path(prefix: &str, since: Option<&str>, limit: usize) -> String {
    match since {
        Some(since) => format!("/store?prefix={prefix}&since={since}&limit={limit}"),
        None => format!("/store?prefix={prefix}&limit={limit}"),
    }
}

/// Path of a watch for changes with a revision above `since`. The state service waits up to `block_ms`
/// milliseconds for the first one; with 0 it returns at once, even without changes.
pub fn changes_path(prefix: &str, since: u64, block_ms: u64) -> String {
    format!("/changes?prefix={prefix}&since={since}&block_ms={block_ms}")
}
