//! Tests of [`super`], the module `outbound`.

use super::*;
use std::net::Ipv4Addr;

fn queued(id: CallId, deadline: Instant) -> QueuedCall {
    let (path, body) = ("/up".to_string(), Vec::new());
    let call = Call { id, target: 0, method: "GET", path, body, timeout_ms: 1_000 };
    QueuedCall { call, deadline }
}

#[test]
fn expired_calls_are_removed_from_the_queue_in_order() {
    let mut destination = Destination::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    for (id, deadline) in [(1, now), (2, later), (3, now)] {
        destination.queue.push_back(queued(id, deadline));
    }
    assert_eq!(destination.remove_expired_calls(now), [1, 3]);
    let left: Vec<CallId> = destination.queue.iter().map(|queued| queued.call.id).collect();
    assert_eq!(left, [2]);
    assert_eq!(destination.remove_expired_calls(later), [2], "a call expires at its deadline");
}

#[test]
fn a_call_to_an_unreachable_target_is_reported_as_unanswered() {
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let unused_listener = std::net::TcpListener::bind(any_port).expect("a free port");
    let port = unused_listener.local_addr().expect("bound").port();
    drop(unused_listener);
    let target = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let mut transport = Transport::new(any_port, any_port, vec![target], 100).expect("it listens");
    transport.call(queued(7, Instant::now()).call);
    let incoming =
        (0..100).find_map(|_| transport.poll(Duration::from_millis(20)).expect("polls").pop());
    match incoming {
        Some(Incoming::Response { call: 7, response: None }) => {}
        other => panic!("expected an unanswered call: {other:?}"),
    }
}
