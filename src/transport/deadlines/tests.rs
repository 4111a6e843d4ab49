//! Tests of [`super`], the module `deadlines`.

use super::*;
use crate::transport::connection::{CallInFlight, Inbound, Outbound};
use crate::transport::readiness::Interest;
use crate::transport::Origin;
use std::net::{Ipv4Addr, TcpListener, TcpStream};

const IDLE_MS: u64 = 700;

fn connection(role: Role) -> Connection {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).expect("it listens");
    Connection::new(stream, role, Interest::READ)
}

fn inbound(has_pending_request: bool) -> Connection {
    let origin = Origin::Public;
    let inbound = Inbound {
        id: 1,
        origin,
        has_pending_request,
        keep_alive: true,
        closes_after_output: false,
    };
    connection(Role::Inbound(inbound))
}

fn outbound(call: Option<CallInFlight>) -> Connection {
    connection(Role::Outbound(Outbound { target: 0, call, is_connecting: false }))
}

/// What is done with a connection at its limit, and a millisecond later.
fn actions_at_and_after(connection: &Connection, limit_ms: u64) -> [Option<TimeoutAction>; 2] {
    [0, 1].map(|more| {
        let now = connection.timeout_start + Duration::from_millis(limit_ms + more);
        timeout_action(connection, now, IDLE_MS)
    })
}

#[test]
fn an_idle_inbound_connection_is_closed_after_its_limit() {
    assert_eq!(actions_at_and_after(&inbound(false), IDLE_MS), [None, Some(TimeoutAction::Close)]);
}

#[test]
fn a_request_that_arrives_too_slowly_is_rejected() {
    let mut slow = inbound(false);
    slow.input = b"POST /".to_vec();
    assert_eq!(
        actions_at_and_after(&slow, HTTP_REQUEST_TIMEOUT_MS),
        [None, Some(TimeoutAction::Reject)]
    );
}

#[test]
fn a_connection_whose_response_is_not_read_in_time_is_closed() {
    let mut unread = inbound(false);
    unread.input = b"POST /".to_vec();
    unread.output = b"HTTP/1.1 200 OK".to_vec();
    assert_eq!(
        actions_at_and_after(&unread, HTTP_REQUEST_TIMEOUT_MS),
        [None, Some(TimeoutAction::Close)]
    );
}

#[test]
fn a_connection_with_a_pending_request_does_not_time_out() {
    assert_eq!(actions_at_and_after(&inbound(true), 100 * HTTP_IDLE_TIMEOUT_MS), [None, None]);
}

#[test]
fn an_outbound_connection_is_closed_after_its_idle_limit_or_at_the_deadline_of_its_call() {
    assert_eq!(
        actions_at_and_after(&outbound(None), HTTP_IDLE_TIMEOUT_MS),
        [None, Some(TimeoutAction::Close)]
    );
    let deadline = Instant::now() + Duration::from_millis(HTTP_IDLE_TIMEOUT_MS);
    let waiting = outbound(Some(CallInFlight { id: 1, deadline }));
    let before = deadline - Duration::from_millis(1);
    assert_eq!(timeout_action(&waiting, before, IDLE_MS), None);
    assert_eq!(timeout_action(&waiting, deadline, IDLE_MS), Some(TimeoutAction::Close));
}
