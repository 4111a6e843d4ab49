//! Tests of [`super`], the module `http`.

use super::*;
use crate::constants::{HTTP_HEAD_BYTES_MAX, HTTP_REQUEST_BODY_BYTES_MAX};

fn request(text: &str) -> Result<Option<Request>, HttpError> {
    take_request(&mut text.as_bytes().to_vec(), HTTP_REQUEST_BODY_BYTES_MAX)
}

#[test]
fn a_request_split_at_every_byte_is_complete_only_at_the_end() {
    let text = b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloGET ";
    let request_length = text.len() - 4;
    for length in 0..request_length {
        assert_eq!(take_request(&mut text[..length].to_vec(), 100), Ok(None), "{length} bytes");
    }
    let mut buffer = text.to_vec();
    let request = take_request(&mut buffer, 100).unwrap().unwrap();
    let Request { method, body, keep_alive, .. } = &request;
    assert_eq!((method.as_str(), body.as_slice(), *keep_alive), ("POST", &b"hello"[..], true));
    assert_eq!(buffer, b"GET ", "pipelined bytes stay in the buffer");
}

#[test]
fn chunked_bodies_are_decoded() {
    let chunked = request(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n",
    );
    assert_eq!(chunked.unwrap().unwrap().body, b"abcde");
}

#[test]
fn exceeded_limits_have_their_own_status_codes() {
    let status = |text: &str| request(text).unwrap_err().status();
    assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), 413);
    assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"), 413);
    assert_eq!(status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n"), 413);
    assert_eq!(status(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(HTTP_HEAD_BYTES_MAX))), 431);
    assert_eq!(status("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(status("GET / HTTP/2.0\r\n\r\n"), 505);
    assert_eq!(status("nonsense\r\n\r\n"), 400);
    assert_eq!(
        status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        400
    );
}

#[test]
fn random_bytes_never_panic() {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    let mut rng = SmallRng::seed_from_u64(7);
    let parts: [&[u8]; 12] = [
        b"GET ",
        b"POST ",
        b"/",
        b" HTTP/1.1",
        b"\r\n",
        b"\n",
        b"Content-Length: ",
        b"5",
        b"Transfer-Encoding: chunked",
        b"\xff\x00",
        b":",
        b"0\r\n",
    ];
    let (mut rejected, mut complete) = (0, 0);
    for _ in 0..20_000 {
        let mut buffer = Vec::new();
        if rng.random_bool(0.5) {
            buffer.extend_from_slice(b"POST / HTTP/1.1\r\n");
        }
        for _ in 0..rng.random_range(1..14) {
            buffer.extend_from_slice(parts[rng.random_range(0..parts.len())]);
        }
        match take_request(&mut buffer.clone(), 100) {
            Err(error) => rejected += u32::from(error.status() >= 400),
            Ok(request) => complete += u32::from(request.is_some()),
        }
        let _ = take_response(&mut buffer, true);
    }
    assert!(
        rejected > 1_000 && complete > 10,
        "both outcomes occur often enough: {rejected}, {complete}"
    );
}

#[test]
fn a_response_without_length_ends_with_the_connection() {
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody".to_vec();
    assert_eq!(take_response(&mut text.clone(), false), Ok(None));
    let response = take_response(&mut text.clone(), true).unwrap().unwrap();
    let Response { status, body, keep_alive } = &response;
    assert_eq!((*status, body.as_slice(), *keep_alive), (200, &b"body"[..], false));
}

#[test]
fn a_chunked_body_split_at_every_byte_is_complete_only_at_the_end() {
    let text = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\nde\n0\r\nA: b\r\n\r\n";
    for length in 0..text.len() {
        assert_eq!(take_request(&mut text[..length].to_vec(), 100), Ok(None), "{length} bytes");
    }
    let mut buffer = text.to_vec();
    let request = take_request(&mut buffer, 100).unwrap().unwrap();
    assert_eq!((request.body.as_slice(), buffer.len()), (&b"abcde"[..], 0));
}

#[test]
fn malformed_messages_are_rejected_with_a_reason() {
    let head = "POST / HTTP/1.1\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        ("GET /\r\n\r\n".to_string(), "malformed request line"),
        ("get / HTTP/1.1\r\n\r\n".to_string(), "malformed method"),
        ("GET x HTTP/1.1\r\n\r\n".to_string(), "malformed path"),
        ("GET / HTTP/2.0\r\n\r\n".to_string(), "version not supported"),
        (format!("{head}Host\r\n\r\n"), "header without colon"),
        (format!("{head}A b: c\r\n\r\n"), "malformed header name"),
        (format!("{head}Content-Length: x\r\n\r\n"), "malformed content-length"),
        (format!("{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\n"), "two lengths"),
        (format!("{head}Transfer-Encoding: gzip\r\n\r\n"), "unknown transfer coding"),
        (format!("{chunked}x\r\n"), "malformed chunk size"),
        (format!("{chunked}{}", "1".repeat(128)), "chunk size line too long"),
        (format!("{chunked}1\r\nab"), "chunk not ended"),
        (format!("{chunked}1\r\na\rb"), "chunk not ended"),
        (format!("{chunked}0\r\n{}", "a".repeat(HTTP_HEAD_BYTES_MAX + 1)), "trailers too long"),
    ];
    for (text, reason) in cases {
        assert_eq!(request(&text).expect_err(reason).to_string(), reason, "{text}");
    }
}

#[test]
fn version_and_connection_header_determine_whether_the_connection_stays_open() {
    let keeps = |version: &str, header: &str| {
        let text = format!("GET / HTTP/{version}\r\n{header}\r\n");
        request(&text).expect("complete").expect("complete").keep_alive
    };
    assert!(keeps("1.1", "") && !keeps("1.0", ""));
    assert!(keeps("1.0", "Connection: Keep-Alive\r\n"));
    assert!(!keeps("1.1", "Connection: upgrade, Close\r\n"));
    assert!(!keeps("1.0", "Connection: keep-alive, close\r\n"));
}
