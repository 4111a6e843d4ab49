//! What every HTTP interface of a controller has in common, without its framing on the wire
//! (see [`crate::transport::http`]).

/// The answer to a call to the state service, the cloud or a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body, decoded; may be empty.
    pub body: Vec<u8>,
}

impl Response {
    /// An answer with this status and body.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, body: body.into() }
    }
}
