//! Controllers <-> controllers, in CBOR (`ciborium`).

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
    /// Milliseconds since the sender last answered a worker in the leader's place, or since it
    /// began if it never did: an earlier life of it may have.
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
}

/// A user's request that the receiver is asked to answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relay {
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

/// The answer to pass on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Relayed {
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
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(v: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(v)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        struct V;
        impl serde::de::Visitor<'_> for V {
            type Value = Vec<u8>;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E>(self, v: &[u8]) -> Result<Vec<u8>, E> {
                Ok(v.to_vec())
            }
            fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(v)
            }
        }
        d.deserialize_byte_buf(V)
    }
}

/// Encodes a message.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).expect("messages encode into memory");
    out
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|e| e.to_string())
}
