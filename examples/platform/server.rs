//! HTTP for the stand-in: a server with a thread for each connection, and the workers' client.

use super::world::Shared;
use mountgap::transport::http::{self, Request};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Most bytes of a request's body.
const BODY_MAX: usize = 64 * 1024;
/// Bytes that one read takes.
const READ_BYTES: usize = 4096;
/// How long a worker waits for the answer to its report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Status and body.
pub type Answer = (u16, Value);
/// Answers the requests to a service.
pub type Handler = fn(&Shared, &Request) -> Answer;

/// Serves every connection of a listener, for ever.
pub fn serve(listener: &TcpListener, world: &Shared, handler: Handler) {
    for stream in listener.incoming().flatten() {
        let world = world.clone();
        thread::spawn(move || serve_connection(stream, &world, handler));
    }
}

fn serve_connection(mut stream: TcpStream, world: &Shared, handler: Handler) {
    let mut received = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        while let Ok(Some(request)) = http::take_request(&mut received, BODY_MAX) {
            let (status, body) = handler(world, &request);
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

/// Posts a body on a connection of its own; none if there is no answer.
pub fn post(address: &str, path: &str, body: &Value) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
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

/// A request's body; null if it is not JSON.
pub fn body(request: &Request) -> Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

/// A request's path without its query.
pub fn path(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or_default()
}

/// A parameter of a request's query.
pub fn parameter(request: &Request, name: &str) -> Option<String> {
    let (_, query) = request.path.split_once('?')?;
    let value = |pair: &str| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_string);
    query.split('&').find_map(value)
}

/// The same as a number; 0 if there is none.
pub fn number_parameter(request: &Request, name: &str) -> u64 {
    parameter(request, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}
