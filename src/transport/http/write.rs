//! Writing complete messages into a buffer.

use std::io::Write;

/// Writes a response; `retry_after_s` is the value of the `Retry-After` header in seconds.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_s: Option<u64>,
    body: &[u8],
    keep_alive: bool,
) {
    // Writing into memory does not fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    write_content_headers(out, body);
    if let Some(seconds) = retry_after_s {
        let _ = write!(out, "Retry-After: {seconds}\r\n");
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes a request.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        write_content_headers(out, body);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

fn write_content_headers(out: &mut Vec<u8>, body: &[u8]) {
    let length = body.len();
    let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {length}\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
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
