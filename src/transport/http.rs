//! HTTP/1.1: the project's own parser and writer, for both sides of a connection.
//!
//! Both parsers work on a growing buffer: they say "not yet" until a message is whole,
//! take exactly its bytes, and refuse what goes over the limits. No input makes them panic.

use crate::constants::{HTTP_HEADERS_MAX, HTTP_HEAD_MAX, HTTP_REPLY_MAX};

/// A whole request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Method, in capital letters.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// The client keeps the connection open.
    pub keep_alive: bool,
}

/// A whole response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Body, decoded.
    pub body: Vec<u8>,
    /// The connection can carry another request.
    pub keep_alive: bool,
}

/// Why a message can't be parsed; `status` is what a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// Status to answer with.
    pub status: u16,
    /// The reason, for a person.
    pub reason: &'static str,
}

fn bad(reason: &'static str) -> HttpError {
    HttpError { status: 400, reason }
}

/// How a body's end is found.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

struct Head<'a> {
    first: &'a str,
    end: usize,
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep: bool,
    expect: bool,
}

/// Finds the end of the head: an empty line, with or without carriage returns.
fn head_end(buf: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(i) = buf[from..].iter().position(|b| *b == b'\n') {
        let at = from + i + 1;
        if buf[at..].starts_with(b"\n") {
            return Some(at + 1);
        }
        if buf[at..].starts_with(b"\r\n") {
            return Some(at + 2);
        }
        from = at;
    }
    None
}

fn parse_head(buf: &[u8]) -> Result<Option<Head<'_>>, HttpError> {
    let too_long = HttpError { status: 431, reason: "head too long" };
    let window = &buf[..buf.len().min(HTTP_HEAD_MAX)];
    let Some(end) = head_end(window) else {
        return if buf.len() >= HTTP_HEAD_MAX { Err(too_long) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&buf[..end]).map_err(|_| bad("head is not text"))?;
    let mut lines = text.split('\n').map(|l| l.strip_suffix('\r').unwrap_or(l));
    let first = lines.next().unwrap_or("");
    let mut head =
        Head { first, end, length: None, chunked: false, close: false, keep: false, expect: false };
    for (n, line) in lines.take_while(|l| !l.is_empty()).enumerate() {
        if n >= HTTP_HEADERS_MAX {
            return Err(too_long);
        }
        let (name, value) = line.split_once(':').ok_or(bad("header without colon"))?;
        if name.is_empty() || name.bytes().any(|b| b <= b' ') {
            return Err(bad("malformed header name"));
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(bad("malformed content-length"));
            }
            let n: usize =
                value.parse().map_err(|_| HttpError { status: 413, reason: "body too large" })?;
            if head.length.is_some_and(|old| old != n) {
                return Err(bad("two lengths"));
            }
            head.length = Some(n);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError { status: 501, reason: "unknown transfer coding" });
            }
            head.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in value.split(',') {
                head.close |= token.trim().eq_ignore_ascii_case("close");
                head.keep |= token.trim().eq_ignore_ascii_case("keep-alive");
            }
        } else if name.eq_ignore_ascii_case("expect") {
            head.expect = value.eq_ignore_ascii_case("100-continue");
        }
    }
    if head.chunked && head.length.is_some() {
        return Err(bad("both a length and chunks"));
    }
    Ok(Some(head))
}

/// Decodes a chunked body at the start of `buf`: the body and the bytes it took.
fn parse_chunks(buf: &[u8], max: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let Some(i) = buf[at..].iter().take(128).position(|b| *b == b'\n') else {
            return if buf.len() - at >= 128 {
                Err(bad("chunk size line too long"))
            } else {
                Ok(None)
            };
        };
        let line =
            std::str::from_utf8(&buf[at..at + i]).map_err(|_| bad("malformed chunk size"))?;
        let digits = line.split(';').next().unwrap_or("").trim();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(bad("malformed chunk size"));
        }
        let too_large = HttpError { status: 413, reason: "body too large" };
        let size = usize::from_str_radix(digits, 16).map_err(|_| too_large)?;
        if size > max - body.len() {
            return Err(too_large);
        }
        at += i + 1;
        if size == 0 {
            // Trailers, if any, end with an empty line.
            let rest = &buf[at..];
            if rest.starts_with(b"\r\n") {
                return Ok(Some((body, at + 2)));
            }
            if rest.starts_with(b"\n") {
                return Ok(Some((body, at + 1)));
            }
            return match head_end(rest) {
                Some(end) => Ok(Some((body, at + end))),
                None if rest.len() > HTTP_HEAD_MAX => Err(bad("trailers too long")),
                None => Ok(None),
            };
        }
        if buf.len() < at + size + 1 {
            return Ok(None);
        }
        body.extend_from_slice(&buf[at..at + size]);
        at += size;
        if buf[at] == b'\n' {
            at += 1;
        } else if buf[at] == b'\r' {
            match buf.get(at + 1) {
                Some(b'\n') => at += 2,
                Some(_) => return Err(bad("chunk not ended")),
                None => return Ok(None),
            }
        } else {
            return Err(bad("chunk not ended"));
        }
    }
}

/// The body behind a head, and the index in `buf` after it.
fn take_body(
    buf: &[u8],
    start: usize,
    framing: Framing,
    max: usize,
    closed: bool,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    match framing {
        Framing::Length(n) if n > max => Err(HttpError { status: 413, reason: "body too large" }),
        Framing::Length(n) if buf.len() - start < n => Ok(None),
        Framing::Length(n) => Ok(Some((buf[start..start + n].to_vec(), start + n))),
        Framing::Chunked => {
            Ok(parse_chunks(&buf[start..], max)?.map(|(body, used)| (body, start + used)))
        }
        Framing::UntilClose if buf.len() - start > max => {
            Err(HttpError { status: 413, reason: "body too large" })
        }
        Framing::UntilClose if closed => Ok(Some((buf[start..].to_vec(), buf.len()))),
        Framing::UntilClose => Ok(None),
    }
}

/// Takes one request from the front of the buffer. `Ok(None)`: not whole yet.
pub fn take_request(buf: &mut Vec<u8>, max_body: usize) -> Result<Option<Request>, HttpError> {
    // Empty lines before a request line are skipped, as old clients send them.
    let lead = buf.iter().take_while(|b| **b == b'\r' || **b == b'\n').count();
    buf.drain(..lead);
    let Some(head) = parse_head(buf)? else {
        return Ok(None);
    };
    let mut parts = head.first.split(' ');
    let (method, path, version) = match (parts.next(), parts.next(), parts.next(), parts.next()) {
        (Some(m), Some(p), Some(v), None) => (m, p, v),
        _ => return Err(bad("malformed request line")),
    };
    if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Err(bad("malformed method"));
    }
    if !path.starts_with('/') || path.bytes().any(|b| b <= b' ' || b == 0x7f) {
        return Err(bad("malformed path"));
    }
    let old = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        _ => return Err(HttpError { status: 505, reason: "version not supported" }),
    };
    let framing =
        if head.chunked { Framing::Chunked } else { Framing::Length(head.length.unwrap_or(0)) };
    let Some((body, used)) = take_body(buf, head.end, framing, max_body, false)? else {
        return Ok(None);
    };
    let keep_alive = if old { head.keep && !head.close } else { !head.close };
    let request = Request { method: method.into(), path: path.into(), body, keep_alive };
    buf.drain(..used);
    Ok(Some(request))
}

/// Whether the client waits for `100 Continue` before it sends the body.
pub fn wants_continue(buf: &[u8]) -> bool {
    matches!(parse_head(buf), Ok(Some(h)) if h.expect && buf.len() == h.end)
}

/// Takes one response from the front of the buffer; `closed`: no more bytes will come.
pub fn take_response(buf: &mut Vec<u8>, closed: bool) -> Result<Option<Response>, HttpError> {
    loop {
        let Some(head) = parse_head(buf)? else {
            return Ok(None);
        };
        let mut parts = head.first.splitn(3, ' ');
        let version = parts.next().unwrap_or("");
        if !version.starts_with("HTTP/1.") {
            return Err(bad("malformed status line"));
        }
        let status: u16 = parts
            .next()
            .and_then(|s| s.parse().ok())
            .filter(|s| (100..=999).contains(s))
            .ok_or(bad("malformed status"))?;
        if (100..200).contains(&status) {
            let end = head.end;
            buf.drain(..end);
            continue;
        }
        let framing = if status == 204 || status == 304 {
            Framing::Length(0)
        } else if head.chunked {
            Framing::Chunked
        } else if let Some(n) = head.length {
            Framing::Length(n)
        } else {
            Framing::UntilClose
        };
        let until_close = matches!(framing, Framing::UntilClose);
        let close = head.close || until_close || (version == "HTTP/1.0" && !head.keep);
        let taken = take_body(buf, head.end, framing, HTTP_REPLY_MAX, closed)?;
        let Some((body, used)) = taken else {
            return Ok(None);
        };
        buf.drain(..used);
        return Ok(Some(Response { status, body, keep_alive: !close }));
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

/// Writes a response.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u64>,
    body: &[u8],
    keep_alive: bool,
) {
    use std::io::Write;
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(s) = retry_after_s {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes a request.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
