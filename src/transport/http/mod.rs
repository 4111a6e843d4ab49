//! A parser and writer of HTTP/1.1 messages, for clients and servers.
//!
//! The parsers of requests and responses work on a growing buffer: they return `None` until a message is
//! complete, then remove exactly its bytes from the buffer, and reject messages over the limits. No input
//! makes them panic.

mod body;
mod error;
mod head;
mod write;

pub use error::HttpError;
pub use write::{write_request, write_response};

use crate::constants::HTTP_RESPONSE_BODY_BYTES_MAX;
use body::Framing;
use head::Head;

/// Result of a parser; `None` if the message is not complete yet.
pub type Parsed<T> = Result<Option<T>, HttpError>;

/// A complete request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Method in capital letters.
    pub method: String,
    /// Path, including the query.
    pub path: String,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// The client wants to keep the connection open.
    pub keep_alive: bool,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// The server keeps the connection open for another request.
    pub keep_alive: bool,
}

/// Parses one request with a body of at most `max_body` bytes and removes it from the front of the buffer.
pub fn take_request(buffer: &mut Vec<u8>, max_body: usize) -> Parsed<Request> {
    skip_empty_lines(buffer);
    let Some(head) = Head::parse(buffer)? else {
        return Ok(None);
    };
    let line = RequestLine::parse(head.first_line)?;
    let encoded_body = &buffer[head.end..];
    let Some(body) = body::parse(encoded_body, request_framing(&head), max_body, false)? else {
        return Ok(None);
    };
    let end = head.end + body.encoded_length;
    let request = Request {
        method: line.method.to_string(),
        path: line.path.to_string(),
        body: body.bytes,
        keep_alive: head.keeps_alive(line.is_http_1_0),
    };
    buffer.drain(..end);
    Ok(Some(request))
}

/// Whether the client waits for `100 Continue` before sending the body.
pub fn wants_continue(buffer: &[u8]) -> bool {
    matches!(Head::parse(buffer), Ok(Some(head)) if head.expects_continue && buffer.len() == head.end)
}

/// Parses one response and removes it from the front of the buffer; `closed` says that no more bytes will
/// arrive.
pub fn take_response(buffer: &mut Vec<u8>, closed: bool) -> Parsed<Response> {
    loop {
        let Some(head) = Head::parse(buffer)? else {
            return Ok(None);
        };
        let line = StatusLine::parse(head.first_line)?;
        let end = head.end;
        if line.is_interim() {
            buffer.drain(..end);
            continue;
        }
        let status = line.status;
        let framing = response_framing(status, &head);
        let keep_alive =
            head.keeps_alive(line.version == "HTTP/1.0") && framing != Framing::UntilClose;
        let Some(body) =
            body::parse(&buffer[end..], framing, HTTP_RESPONSE_BODY_BYTES_MAX, closed)?
        else {
            return Ok(None);
        };
        buffer.drain(..end + body.encoded_length);
        return Ok(Some(Response { status, body: body.bytes, keep_alive }));
    }
}

/// Skips empty lines before a request line, which old clients send.
fn skip_empty_lines(buffer: &mut Vec<u8>) {
    let empty = buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    buffer.drain(..empty);
}

/// The first line of a request.
struct RequestLine<'a> {
    method: &'a str,
    path: &'a str,
    is_http_1_0: bool,
}

impl<'a> RequestLine<'a> {
    fn parse(line: &'a str) -> Result<RequestLine<'a>, HttpError> {
        let mut parts = line.split(' ');
        let (Some(method), Some(path), Some(version), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(HttpError::MalformedRequestLine);
        };
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            return Err(HttpError::MalformedMethod);
        }
        if !path.starts_with('/') || path.bytes().any(|byte| byte <= b' ' || byte == 0x7f) {
            return Err(HttpError::MalformedPath);
        }
        let is_http_1_0 = match version {
            "HTTP/1.1" => false,
            "HTTP/1.0" => true,
            _ => return Err(HttpError::VersionNotSupported),
        };
        Ok(RequestLine { method, path, is_http_1_0 })
    }
}

/// The first line of a response.
struct StatusLine<'a> {
    version: &'a str,
    status: u16,
}

impl<'a> StatusLine<'a> {
    fn parse(line: &'a str) -> Result<StatusLine<'a>, HttpError> {
        let mut parts = line.splitn(3, ' ');
        let version = parts.next().unwrap_or("");
        if !version.starts_with("HTTP/1.") {
            return Err(HttpError::MalformedStatusLine);
        }
        let status = parts.next().and_then(|status| status.parse().ok());
        let status = status.filter(|status| (100..=999).contains(status));
        Ok(StatusLine { version, status: status.ok_or(HttpError::MalformedStatus)? })
    }

    /// Whether another response to the same request follows.
    fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// How the end of a request's body is found; without a length there is no body.
fn request_framing(head: &Head<'_>) -> Framing {
    match head.is_chunked {
        true => Framing::Chunked,
        false => Framing::Length(head.content_length.unwrap_or(0)),
    }
}

/// How the end of a response's body is found; without a length it ends with the connection.
fn response_framing(status: u16, head: &Head<'_>) -> Framing {
    match (status, head.content_length) {
        // These statuses never have a body, whatever their headers say.
        (204 | 304, _) => Framing::Length(0),
        _ if head.is_chunked => Framing::Chunked,
        (_, Some(length)) => Framing::Length(length),
        (_, None) => Framing::UntilClose,
    }
}

#[cfg(test)]
mod tests;
