//! A blocking HTTP client that sends one request to a controller on a new connection.

use crate::protocol::http::Response;
use crate::transport::http::{self, HttpError};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// Longest time that one read waits for more of the response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 4096;

/// Why a request to a controller failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Connecting, sending or receiving failed or timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The controller closed the connection before the response was complete.
    #[error("the connection ended early")]
    EndedEarly,
    /// The controller responded with a status other than 200.
    #[error("answered {status}: {body}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the response, as text.
        body: String,
    },
    /// The body is not UTF-8.
    #[error(transparent)]
    NotText(#[from] std::string::FromUtf8Error),
    /// The body is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither jobs nor `--all` were given.
    #[error("name jobs, or give --all")]
    NoJobsNamed,
}

/// Sends a request to a controller and returns the body of the response; fails if its status is not 200.
pub(super) fn request(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Vec<u8>, ClientError> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut request = Vec::new();
    http::write_request(&mut request, method, path, &address.to_string(), body);
    stream.write_all(&request)?;
    let response = read_response(&mut stream)?;
    if response.status != 200 {
        let body = String::from_utf8_lossy(&response.body).into_owned();
        return Err(ClientError::Rejected { status: response.status, body });
    }
    Ok(response.body)
}

fn read_response(stream: &mut impl Read) -> Result<Response, ClientError> {
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        let length = stream.read(&mut chunk)?;
        received.extend_from_slice(&chunk[..length]);
        if let Some(response) = http::take_response(&mut received, length == 0)? {
            return Ok(Response::new(response.status, response.body));
        }
        if length == 0 {
            return Err(ClientError::EndedEarly);
        }
    }
}

#[cfg(test)]
mod tests;
