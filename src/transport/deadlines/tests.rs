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

fn inbound(is_busy: bool) -> Connection {
    let origin = Origin::Public;
    let inbound = Inbound { id: 1, origin, is_busy, keep_alive: true, closes_after_output: false };
    connection(Role::Inbound(inbound))
}

fn outbound(call: Option<CallInFlight>) -> Connection {
    connection(Role::Outbound(Outbound { target: 0, call, is_connecting: false }))
}

/// What is done with a connection at its limit, and a millisecond later.
fn at_and_after(connection: &Connection, limit_ms: u64) -> [Option<Overdue>; 2] {
    [0, 1].map(|more| {
        let now = connection.since + Duration::from_millis(limit_ms + more);
        overdue(connection, now, IDLE_MS)
    })
}

#[test]
fn an_idle_inbound_connection_is_closed_after_the_time_given() {
    assert_eq!(at_and_after(&inbound(false), IDLE_MS), [None, Some(Overdue::Closed)]);
}

#[test]
fn a_request_that_arrives_too_slowly_is_refused() {
    let mut slow = inbound(false);
    slow.input = b"POST /".to_vec();
    assert_eq!(at_and_after(&slow, HTTP_REQUEST_MS), [None, Some(Overdue::Refused)]);
}

#[test]
fn an_answer_that_is_not_read_in_time_is_given_up() {
    let mut unread = inbound(false);
    unread.input = b"POST /".to_vec();
    unread.output = b"HTTP/1.1 200 OK".to_vec();
    assert_eq!(at_and_after(&unread, HTTP_REQUEST_MS), [None, Some(Overdue::Closed)]);
}

#[test]
fn a_request_that_waits_for_its_answer_has_no_deadline_here() {
    assert_eq!(at_and_after(&inbound(true), 100 * HTTP_IDLE_MS), [None, None]);
}

#[test]
fn an_idle_connection_for_calls_is_closed_later_than_a_call_without_a_reply() {
    assert_eq!(at_and_after(&outbound(None), HTTP_IDLE_MS), [None, Some(Overdue::Closed)]);
    let deadline = Instant::now() + Duration::from_millis(HTTP_IDLE_MS);
    let waiting = outbound(Some(CallInFlight { id: 1, deadline }));
    let before = deadline - Duration::from_millis(1);
    assert_eq!(overdue(&waiting, before, IDLE_MS), None);
    assert_eq!(overdue(&waiting, deadline, IDLE_MS), Some(Overdue::Closed));
}
