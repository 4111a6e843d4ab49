//! HTTP for the platform stand-in: a server with a thread per connection, and the workers' client.

use super::shared_state::Shared;
use mountgap::transport::http::{self, Request};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Largest request body in bytes.
const BODY_BYTES_MAX: usize = 64 * 1024;
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 4096;
/// Longest time that a worker waits for more of the response to its heartbeat.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Status and body of a response.
pub type Response = (u16, Value);
/// Handles the requests to a service.
pub type Handler = fn(&Shared, &Request) -> Response;

/// Serves all connections of a listener, each in a thread; never returns.
pub fn serve(listener: &TcpListener, platform: &Shared, handler: Handler) {
    for stream in listener.incoming().flatten() {
        let platform = platform.clone();
        thread::spawn(move || serve_connection(stream, &platform, handler));
    }
}

fn serve_connection(mut stream: TcpStream, platform: &Shared, handler: Handler) {
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        while let Ok(Some(request)) = http::take_request(&mut received, BODY_BYTES_MAX) {
            let (status, body) = handler(platform, &request);
            let mut out = Vec::new();
            http::write_response(&mut out, status, None, body.to_string().as_bytes(), true);
            if stream.write_all(&out).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => received.extend_from_slice(&chunk[..length]),
            _ => return,
        }
    }
}

/// Sends a POST request on a new connection; `None` if there is no response.
pub fn post(address: &str, path: &str, body: &Value) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut out = Vec::new();
    http::write_request(&mut out, "POST", path, address, body.to_string().as_bytes());
    stream.write_all(&out).ok()?;
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        let length = stream.read(&mut chunk).ok()?;
        received.extend_from_slice(&chunk[..length]);
        if let Some(response) = http::take_response(&mut received, length == 0).ok()? {
            let body = serde_json::from_slice(&response.body).unwrap_or_default();
            return Some((response.status, body));
        }
        if length == 0 {
            return None;
        }
    }
}

/// The JSON body of a request; null if it is not JSON.
pub fn body(request: &Request) -> Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

/// The path of a request without the query.
pub fn path(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or_default()
}

/// A query parameter of a request.
pub fn parameter(request: &Request, name: &str) -> Option<String> {
    let (_, query) = request.path.split_once('?')?;
    let value = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_string);
    query.split('&').find_map(value)
}

/// A numeric query parameter of a request; 0 if it is missing or not a number.
pub fn number_parameter(request: &Request, name: &str) -> u64 {
    parameter(request, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}
