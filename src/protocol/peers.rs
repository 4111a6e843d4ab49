//! Controllers <-> controllers, in CBOR ("Controller nodes <-> controller nodes" of the protocol, which
//! leaves the messages to the service).
//!
//! Controllers of two versions meet during an upgrade: fields keep their names and their order, and a
//! field that came later has a default.

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// What controllers tell each other about themselves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// Version of the messages between controllers.
    pub version: u32,
    /// Name of the sender.
    pub label: String,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Highest term known.
    pub term: u64,
    /// Whether the sender leads in that term.
    pub leads: bool,
    /// Highest revision of the state service in any answer the sender got.
    pub max_rev: u64,
    /// Milliseconds since the sender's process began.
    pub age_ms: u64,
    /// Milliseconds since the state service last served the sender; none: never.
    pub served_ago_ms: Option<u64>,
    /// Workers that reported to the sender within the last few seconds.
    pub workers_seen: u32,
    /// Milliseconds since the sender last extended a worker's lease in the leader's place, or since
    /// it began if it never did: an earlier process of it may have.
    #[serde(rename = "stood_in_ago_ms")]
    pub extended_lease_ago_ms: u64,
    /// The sender can't read the store and asks which jobs have ended after this revision.
    #[serde(default)]
    pub since: Option<u64>,
    /// In the answer to that: jobs that have ended, and whether these are all that the sender
    /// could ever have told a user of.
    #[serde(default)]
    pub ended: Vec<String>,
    /// In the answer: the jobs named are all.
    #[serde(default)]
    pub ended_all: bool,
    /// Identity of the store that the sender reads, or has read before a loss.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<u64>,
    /// While it is lost: the highest term that the sender knows of the lost store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_term: Option<u64>,
    /// The sender notices losses of the store, and what it knows of one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recovery: Option<RecoveryState>,
}

/// What a controller that notices losses of the store knows of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecoveryState {
    /// Nothing is lost.
    Following,
    /// Nothing is known to be lost, but the sender has started since and can't confirm it.
    Unproven,
    /// It has just started on an empty store, or reads the store anew on a suspicion.
    Undecided,
    /// The store is lost; the sender answers with its image of it.
    Lost,
}

/// Asks for a page of the receiver's image of the lost store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImageRequest {
    /// Version of the messages between controllers.
    pub version: u32,
    /// Name of the sender.
    pub label: String,
    /// The page begins after this key.
    pub after: String,
}

/// A page of an image.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ImagePage {
    /// Version of the messages between controllers.
    pub version: u32,
    /// Name of the sender.
    pub label: String,
    /// Whether the sender holds still; if it does not, it has only now begun to look at the store.
    pub holds: bool,
    /// Whether its memory reaches back to before the loss.
    pub remembers: bool,
    /// Highest term heard of.
    pub term: u64,
    /// Revision up to which the image is complete.
    pub revision: u64,
    /// Keys with stamps and values, in order.
    pub values: Vec<(String, u64, String)>,
    /// Removals above the revision, on the first page.
    pub removed: Vec<(String, u64)>,
    /// Whether this is the last page.
    pub last: bool,
}

/// A user's request that the receiver is asked to answer in the sender's place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Version of the messages between controllers.
    pub version: u32,
    /// Method of the user's request.
    pub method: String,
    /// Path of the user's request.
    pub path: String,
    /// Body of the user's request.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// The receiver's answer to the user, to be passed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayResponse {
    /// Version of the messages between controllers.
    pub version: u32,
    /// Status for the user.
    pub status: u16,
    /// Seconds after which the user may come back.
    pub retry_after_s: Option<u64>,
    /// Body for the user.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
}

/// Bodies as CBOR byte strings instead of arrays of numbers.
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

/// Bytes that are no message between controllers, or not the one that was expected.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(ciborium::de::Error<std::io::Error>);

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages encode into memory");
    bytes
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(DecodeError)
}
