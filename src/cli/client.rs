//! One request to a controller on a connection of its own, waited for.

use crate::protocol::http::Response;
use crate::transport::http::{self, HttpError};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// How long a controller may take to send more of its answer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that one read takes.
const READ_BYTES: usize = 4096;

/// Why a controller's answer can't be shown.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// It can't be connected to, or doesn't answer in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Its answer is not HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// It closed the connection within its answer.
    #[error("the connection ended early")]
    EndedEarly,
    /// It refused the request.
    #[error("answered {status}: {body}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body, as text.
        body: String,
    },
    /// The body is not text.
    #[error(transparent)]
    NotText(#[from] std::string::FromUtf8Error),
    /// The body is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither jobs nor `--all` were given.
    #[error("name jobs, or give --all")]
    NoJobsNamed,
}

/// Sends a request to a controller; gives the body of its answer, whose status is 200.
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
        return Err(ClientError::Refused { status: response.status, body });
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
