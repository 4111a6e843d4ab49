//! The sockets themselves, on the loopback interface: what a message costs in system calls, and what
//! happens to messages that come in pieces, too large, or not at all.

use mountgap::transport::{Call, Incoming, Transport};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

const SOCKETS: usize = 100;
/// Waits after which a test gives up; each lasts for [`WAIT`] at the most.
const WAITS: usize = 200;
const WAIT: Duration = Duration::from_millis(20);
const REQUEST: &[u8] = b"POST /checkin HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";

fn any_port() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)
}

/// A transport whose only target is `target`.
fn open_transport(target: SocketAddrV4) -> Transport {
    Transport::new(any_port(), any_port(), vec![target], SOCKETS).expect("it listens")
}

fn connected(transport: &Transport) -> TcpStream {
    let stream =
        TcpStream::connect(transport.public_address().expect("an address")).expect("it listens");
    stream.set_nodelay(true).expect("an option of any socket");
    stream
}

/// Polls until something has come in.
fn next(transport: &mut Transport) -> Incoming {
    for _ in 0..WAITS {
        if let Some(incoming) = transport.poll(WAIT).expect("polls").pop() {
            return incoming;
        }
    }
    panic!("nothing came in");
}

/// Polls until a request has come in; gives its connection and body.
fn next_request(transport: &mut Transport) -> (u64, Vec<u8>) {
    match next(transport) {
        Incoming::Request { connection, request, .. } => (connection, request.body),
        other => panic!("not a request: {other:?}"),
    }
}

fn read_some(client: &mut TcpStream) -> String {
    let mut buffer = [0; 4_096];
    let length = client.read(&mut buffer).expect("an answer");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[test]
fn a_report_on_an_open_connection_costs_one_wait_one_read_and_one_write() {
    let mut transport = open_transport(any_port());
    let mut client = connected(&transport);
    client.write_all(REQUEST).expect("sent");
    let (connection, _) = next_request(&mut transport);
    transport.respond(connection, 200, None, b"{}");
    read_some(&mut client);
    let before = transport.counts();
    for _ in 0..10 {
        client.write_all(REQUEST).expect("sent");
        let (connection, body) = next_request(&mut transport);
        assert_eq!(body, b"hello");
        transport.respond(connection, 200, None, b"{}");
        assert!(read_some(&mut client).ends_with("{}"));
    }
    let cost = transport.counts().since(&before);
    assert_eq!((cost.requests, cost.reads, cost.writes), (10, 10, 10));
    assert_eq!(cost.waits - cost.waits_without_event, 10);
    assert_eq!((cost.reads_empty, cost.interest_changes, cost.accepts), (0, 0, 0));
}

#[test]
fn a_request_in_pieces_is_taken_once_it_is_whole() {
    let mut transport = open_transport(any_port());
    let mut client = connected(&transport);
    for (n, byte) in REQUEST.iter().enumerate() {
        client.write_all(&[*byte]).expect("sent");
        if n + 1 < REQUEST.len() {
            assert!(transport.poll(Duration::ZERO).expect("polls").is_empty(), "{n} bytes");
        }
    }
    let (connection, body) = next_request(&mut transport);
    assert_eq!(body, b"hello");
    transport.respond(connection, 200, None, b"{}");
    assert!(read_some(&mut client).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_client_that_closes_its_half_still_gets_its_answer() {
    let mut transport = open_transport(any_port());
    let mut client = connected(&transport);
    client.write_all(REQUEST).expect("sent");
    client.shutdown(Shutdown::Write).expect("half closed");
    let (connection, _) = next_request(&mut transport);
    let _ = transport.poll(Duration::ZERO).expect("polls");
    transport.respond(connection, 200, None, b"{}");
    assert!(read_some(&mut client).starts_with("HTTP/1.1 200"));
    for _ in 0..WAITS {
        if transport.counts().connections == 0 {
            return;
        }
        transport.poll(WAIT).expect("polls");
    }
    panic!("the connection is kept");
}

#[test]
fn a_body_over_the_limit_is_refused_before_it_is_read() {
    let mut transport = open_transport(any_port());
    let mut client = connected(&transport);
    client.write_all(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n").expect("sent");
    for _ in 0..WAITS {
        assert!(transport.poll(WAIT).expect("polls").is_empty(), "no request comes of it");
        if transport.counts().closes == 1 {
            break;
        }
    }
    let answer = read_some(&mut client);
    assert!(answer.starts_with("HTTP/1.1 413") && answer.contains("Connection: close"), "{answer}");
}

#[test]
fn calls_to_one_target_share_a_connection_one_after_the_other() {
    let server = TcpListener::bind(any_port()).expect("it listens");
    let std::net::SocketAddr::V4(address) = server.local_addr().expect("an address") else {
        panic!("an address of another family");
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
    let (mut accepted, _) = server.accept().expect("it connects");
    for id in 1..=3 {
        if id > 1 {
            transport.call(call(id));
        }
        for _ in 0..WAITS {
            assert!(transport.poll(Duration::ZERO).expect("polls").is_empty());
            if transport.counts().writes == id {
                break;
            }
        }
        assert!(read_some(&mut accepted).starts_with("GET /up HTTP/1.1\r\n"));
        accepted.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").expect("sent");
        match next(&mut transport) {
            Incoming::Response { call, response: Some(response) } => {
                assert_eq!(
                    (call, response.status, response.body.as_slice()),
                    (id, 200, &b"{}"[..])
                );
            }
            other => panic!("no reply: {other:?}"),
        }
    }
    let counts = transport.counts();
    assert_eq!((counts.connects, counts.replies, counts.closes), (1, 3, 0));
}
