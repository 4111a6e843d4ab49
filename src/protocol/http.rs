//! HTTP responses as the core sees them; [`crate::transport::http`] parses and frames them.

/// The response to a call to the state service, the cloud or a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body without transfer encoding; may be empty.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with this status and body.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, body: body.into() }
    }
}
