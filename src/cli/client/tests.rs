//! Tests of [`super`], the module `client`.

use super::*;
use std::net::{Ipv4Addr, TcpListener};
use std::thread;

/// Sends one request to a server that responds with these bytes, and returns the client's result.
fn request_answered_with(response: &'static str) -> Result<Vec<u8>, ClientError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut received = Vec::new();
        let mut chunk = [0; 512];
        while http::take_request(&mut received, 100).expect("HTTP").is_none() {
            let length = stream.read(&mut chunk).expect("a request");
            received.extend_from_slice(&chunk[..length]);
        }
        stream.write_all(response.as_bytes()).expect("sent");
    });
    let result = request(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), "GET", "/up", &[]);
    server.join().expect("the server ends");
    result
}

#[test]
fn the_body_of_a_response_is_returned() {
    let body = request_answered_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    assert_eq!(body.expect("a response"), b"{}");
}

#[test]
fn a_rejected_request_reports_status_and_body() {
    let rejected =
        request_answered_with("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno");
    assert_eq!(rejected.expect_err("rejected").to_string(), "answered 503: no");
}

#[test]
fn an_incomplete_or_malformed_response_is_an_error() {
    let error = request_answered_with("HTTP/1.1 200 OK\r\nContent-Len")
        .expect_err("an incomplete response");
    assert_eq!(error.to_string(), "the connection ended early");
    let error = request_answered_with("nonsense\r\n\r\n").expect_err("not HTTP");
    assert_eq!(error.to_string(), "malformed status line");
}
