//! The transport on the loopback interface: the number of system calls per message, and messages that arrive in
//! pieces or are too large.

use mountgap::transport::{Call, Incoming, Transport};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

const SOCKETS: usize = 100;
/// Number of polls after which a test fails; each waits for [`POLL_WAIT`] at most.
const MAX_POLLS: usize = 200;
const POLL_WAIT: Duration = Duration::from_millis(20);
const REQUEST: &[u8] = b"POST /checkin HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";

fn any_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

/// A transport whose only target is `target`.
fn open_transport(target: SocketAddrV4) -> Transport {
    Transport::new(any_port(), any_port(), vec![target], SOCKETS).expect("a listening socket")
}

/// A client that is connected to the public port.
fn connect(transport: &Transport) -> TcpStream {
    let stream = TcpStream::connect(transport.public_address().expect("an address"))
        .expect("a listening socket");
    stream.set_nodelay(true).expect("a socket option");
    stream
}

/// Polls until something arrives.
fn poll_until_incoming(transport: &mut Transport) -> Incoming {
    for _ in 0..MAX_POLLS {
        if let Some(incoming) = transport.poll(POLL_WAIT).expect("a poll without error").pop() {
            return incoming;
        }
    }
    panic!("nothing arrived");
}

/// Polls until a request arrives; returns its connection and body.
fn receive_request(transport: &mut Transport) -> (u64, Vec<u8>) {
    match poll_until_incoming(transport) {
        Incoming::Request { connection, request, .. } => (connection, request.body),
        other => panic!("not a request: {other:?}"),
    }
}

fn read_some(client: &mut TcpStream) -> String {
    let mut buffer = [0; 4_096];
    let length = client.read(&mut buffer).expect("a response");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[test]
fn a_heartbeat_on_an_open_connection_takes_one_wait_one_read_and_one_write() {
    let mut transport = open_transport(any_port());
    let mut client = connect(&transport);
    client.write_all(REQUEST).expect("an open connection");
    let (connection, _) = receive_request(&mut transport);
    transport.respond(connection, 200, None, b"{}");
    read_some(&mut client);
    let counts_before = transport.counts();
    for _ in 0..10 {
        client.write_all(REQUEST).expect("an open connection");
        let (connection, body) = receive_request(&mut transport);
        assert_eq!(body, b"hello");
        transport.respond(connection, 200, None, b"{}");
        assert!(read_some(&mut client).ends_with("{}"));
    }
    let cost = transport.counts().since(&counts_before);
    assert_eq!((cost.requests, cost.reads, cost.writes), (10, 10, 10));
    assert_eq!(cost.waits - cost.waits_without_event, 10);
    assert_eq!((cost.reads_empty, cost.interest_changes, cost.accepts), (0, 0, 0));
}

#[test]
fn a_request_received_in_pieces_is_delivered_once_it_is_complete() {
    let mut transport = open_transport(any_port());
    let mut client = connect(&transport);
    for (n, byte) in REQUEST.iter().enumerate() {
        client.write_all(&[*byte]).expect("an open connection");
        if n + 1 < REQUEST.len() {
            assert!(
                transport.poll(Duration::ZERO).expect("a poll without error").is_empty(),
                "{n} bytes"
            );
        }
    }
    let (connection, body) = receive_request(&mut transport);
    assert_eq!(body, b"hello");
    transport.respond(connection, 200, None, b"{}");
    assert!(read_some(&mut client).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_client_that_half_closes_its_connection_still_gets_its_response() {
    let mut transport = open_transport(any_port());
    let mut client = connect(&transport);
    client.write_all(REQUEST).expect("an open connection");
    client.shutdown(Shutdown::Write).expect("an open connection");
    let (connection, _) = receive_request(&mut transport);
    let _ = transport.poll(Duration::ZERO).expect("a poll without error");
    transport.respond(connection, 200, None, b"{}");
    assert!(read_some(&mut client).starts_with("HTTP/1.1 200"));
    for _ in 0..MAX_POLLS {
        if transport.counts().connections == 0 {
            return;
        }
        transport.poll(POLL_WAIT).expect("a poll without error");
    }
    panic!("the connection is not closed");
}

#[test]
fn a_body_above_the_limit_is_rejected_before_it_is_read() {
    let mut transport = open_transport(any_port());
    let mut client = connect(&transport);
    client
        .write_all(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n")
        .expect("an open connection");
    for _ in 0..MAX_POLLS {
        assert!(
            transport.poll(POLL_WAIT).expect("a poll without error").is_empty(),
            "the request was delivered"
        );
        if transport.counts().closes == 1 {
            break;
        }
    }
    let response = read_some(&mut client);
    assert!(
        response.starts_with("HTTP/1.1 413") && response.contains("Connection: close"),
        "{response}"
    );
}

#[test]
fn successive_calls_to_one_target_reuse_a_connection() {
    let server = TcpListener::bind(any_port()).expect("a listening socket");
    let std::net::SocketAddr::V4(address) = server.local_addr().expect("an address") else {
        panic!("not an IPv4 address");
    };
    let mut transport = open_transport(address);
    let call = |id| Call {
        id,
        target: 0,
        method: "GET",
        path: "/up".into(),
        body: vec![],
        timeout_ms: 4_000,
    };
    transport.call(call(1));
    let (mut accepted, _) = server.accept().expect("a connection");
    for id in 1..=3 {
        if id > 1 {
            transport.call(call(id));
        }
        for _ in 0..MAX_POLLS {
            assert!(transport.poll(Duration::ZERO).expect("a poll without error").is_empty());
            if transport.counts().writes == id {
                break;
            }
        }
        assert!(read_some(&mut accepted).starts_with("GET /up HTTP/1.1\r\n"));
        accepted
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            .expect("an open connection");
        match poll_until_incoming(&mut transport) {
            Incoming::Response { call, response: Some(response) } => {
                assert_eq!(
                    (call, response.status, response.body.as_slice()),
                    (id, 200, &b"{}"[..])
                );
            }
            other => panic!("no response: {other:?}"),
        }
    }
    let counts = transport.counts();
    assert_eq!((counts.connects, counts.replies, counts.closes), (1, 3, 0));
}
