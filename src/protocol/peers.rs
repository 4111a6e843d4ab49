//! Messages between controllers, encoded as CBOR: gossip, relayed users' requests, and images of the store
//! for a rebuild after a data loss. The protocol does not specify them, so they can change with the program.
//!
//! During an upgrade controllers of two versions exchange messages, so fields keep their names and their
//! order, and a field added later needs a default.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The state of a controller, sent to each peer periodically. The peer answers with its own.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// Version of the messages, see [`PEER_VERSION`](crate::constants::PEER_VERSION).
    pub version: u32,
    /// Label of the sender.
    pub label: String,
    /// Random id of the sender's process, new after each restart.
    pub incarnation: u64,
    /// Highest term that the sender knows of.
    pub term: u64,
    /// Whether the sender is the leader in that term.
    pub leads: bool,
    /// Highest revision of the store that the sender has seen in a response of the state service.
    pub max_rev: u64,
    /// Milliseconds since the sender's process started.
    pub age_ms: u64,
    /// Milliseconds since the state service last answered the sender; none if it never has, or if the
    /// sender has no access to a usable store now.
    pub served_ago_ms: Option<u64>,
    /// Number of workers whose heartbeats reached the sender within the last two heartbeat periods.
    pub workers_seen: u32,
    /// Milliseconds since the sender last extended a worker's lease on behalf of the leader. If this
    /// process never did, milliseconds since its start: the previous process may have done so until then.
    #[serde(rename = "stood_in_ago_ms")]
    pub extended_lease_ago_ms: u64,
    /// Set by a leader that can't read the store: it asks which jobs have ended after this revision, the
    /// last one that it has read.
    #[serde(default)]
    pub since: Option<u64>,
    /// In the response to such a query: ids of jobs that have ended after that revision, as far as the
    /// sender knows. Otherwise empty.
    #[serde(default)]
    pub ended: Vec<String>,
    /// In the response to such a query: whether `ended` lists all ended jobs that the sender knows of, and
    /// thus all jobs whose end it can have confirmed to a user.
    #[serde(default)]
    pub ended_all: bool,
    /// Identity of the store that the sender reads, or that it read before a data loss; absent if unknown
    /// or if recovery is not enabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<u64>,
    /// While the store is lost: the highest term that the sender knows of that store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_term: Option<u64>,
    /// The sender's view of a possible data loss; absent if recovery is not enabled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recovery: Option<RecoveryState>,
}

/// What a controller with recovery enabled knows of a possible loss of the store's data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecoveryState {
    /// The sender follows the store and knows of no data loss.
    Following,
    /// The sender follows the store and knows of no data loss, but it cannot rule out one before its own
    /// start.
    Unproven,
    /// The sender has started on an empty store and waits for information from others, or it suspects a
    /// data loss and reads the store again.
    Undecided,
    /// The store's data is lost; the sender provides its image of the lost store.
    Lost,
}

/// Request for a page of the receiver's image of the lost store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImageRequest {
    /// Version of the messages, see [`PEER_VERSION`](crate::constants::PEER_VERSION).
    pub version: u32,
    /// Label of the sender.
    pub label: String,
    /// The page begins with the first key after this one; empty for the first page.
    pub after: String,
}

/// A page of the sender's image of the lost store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImagePage {
    /// Version of the messages, see [`PEER_VERSION`](crate::constants::PEER_VERSION).
    pub version: u32,
    /// Label of the sender.
    pub label: String,
    /// Whether the sender has suspended its service, so that its image no longer changes. If not, it has
    /// only now begun to check the store, and the receiver has to ask again.
    pub holds: bool,
    /// Whether the sender's history is complete: it had followed the store since before the loss could have
    /// happened.
    pub remembers: bool,
    /// Highest term that the sender knows of.
    pub term: u64,
    /// Revision up to which the image is complete.
    pub revision: u64,
    /// Keys with the revisions of their last changes and their values, sorted by key.
    pub values: Vec<(String, u64, String)>,
    /// Keys that were removed after `revision`, with the revisions of their removals; on the first page
    /// only.
    pub removed: Vec<(String, u64)>,
    /// Whether this is the last page.
    pub last: bool,
}

/// A user's request that the sender can't answer and relays to the receiver.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Version of the messages, see [`PEER_VERSION`](crate::constants::PEER_VERSION).
    pub version: u32,
    /// HTTP method of the user's request.
    pub method: String,
    /// Path of the user's request.
    pub path: String,
    /// Body of the user's request.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// The response to a relayed request, which the relaying controller sends to the user.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayResponse {
    /// Version of the messages, see [`PEER_VERSION`](crate::constants::PEER_VERSION).
    pub version: u32,
    /// HTTP status code.
    pub status: u16,
    /// Seconds after which the user may retry; none if a retry is not suggested.
    pub retry_after_s: Option<u64>,
    /// Body of the response.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// Serializes bodies as CBOR byte strings instead of arrays of numbers.
mod serde_bytes_vec {
    use serde::de::Visitor;
    use serde::{Deserializer, Serializer};
    use std::fmt;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }

    struct BytesVisitor;

    impl Visitor<'_> for BytesVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("bytes")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }
}

/// The bytes are not a message between controllers, or not one of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(ciborium::de::Error<std::io::Error>);

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages encode into memory");
    bytes
}

/// Decodes a message from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(DecodeError)
}
