//! Timeouts: idle connections are closed, requests that arrive too slowly are rejected, and calls
//! without a response are reported as unanswered.
//!
//! There is no timer per connection: all connections are checked every [`SWEEP_MS`] milliseconds, so a
//! deadline may be exceeded by that much.

use super::connection::{Connection, Role};
use super::net::{ConnectionKey, Transport};
use crate::constants::{
    CROWDED_SHARE, HTTP_IDLE_CROWDED_MS, HTTP_IDLE_MS, HTTP_REQUEST_MS, SWEEP_MS,
};
use std::time::{Duration, Instant};

/// HTTP status of the response to a request that did not arrive in time.
const REQUEST_TIMEOUT: u16 = 408;

/// What to do with a connection that has timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Overdue {
    /// Reject the request, which has taken too long to arrive, and close the connection.
    Refused,
    /// Close the connection without a response.
    Closed,
}

impl Transport {
    /// Checks all timeouts if the last check was [`SWEEP_MS`] ago.
    pub(super) fn sweep_if_due(&mut self, now: Instant) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + Duration::from_millis(SWEEP_MS);
        self.counts.buffered_bytes =
            self.connections.values().map(Connection::buffered_bytes).sum();
        self.end_overdue_connections(now);
        self.give_up_late_calls(now);
    }

    fn end_overdue_connections(&mut self, now: Instant) {
        let overdue = self.overdue_connections(now);
        for (key, _) in overdue.iter().filter(|(_, end)| *end == Overdue::Refused) {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.refuse(REQUEST_TIMEOUT, "too slow");
                let _ = self.flush(*key);
            }
        }
        for (key, _) in overdue.iter().filter(|(_, end)| *end == Overdue::Closed) {
            self.close(*key);
        }
    }

    fn overdue_connections(&self, now: Instant) -> Vec<(ConnectionKey, Overdue)> {
        let idle_ms = if self.is_crowded() { HTTP_IDLE_CROWDED_MS } else { HTTP_IDLE_MS };
        let end = |connection: &Connection| overdue(connection, now, idle_ms);
        let connections = self.connections.iter();
        connections.filter_map(|(key, connection)| Some((*key, end(connection)?))).collect()
    }

    /// Whether the limit of inbound connections is nearly reached, so that idle ones are closed sooner.
    fn is_crowded(&self) -> bool {
        self.inbound.len() as f64 >= self.inbound_max as f64 * CROWDED_SHARE
    }

    fn give_up_late_calls(&mut self, now: Instant) {
        for target in 0..self.destinations.len() {
            for call in self.destinations[target].take_late_calls(now) {
                self.report_unanswered(call);
            }
        }
    }
}

/// What to do with a connection if it has timed out; an inbound one may be idle for `inbound_idle_ms`.
fn overdue(connection: &Connection, now: Instant, inbound_idle_ms: u64) -> Option<Overdue> {
    let age = now.duration_since(connection.since);
    let closed_after = |ms| (age > Duration::from_millis(ms)).then_some(Overdue::Closed);
    match &connection.role {
        // The code that answers the request has its own deadlines.
        Role::Inbound(inbound) if inbound.is_busy => None,
        Role::Inbound(_) if !connection.output.is_empty() => closed_after(HTTP_REQUEST_MS),
        Role::Inbound(_) if !connection.input.is_empty() => {
            closed_after(HTTP_REQUEST_MS).map(|_| Overdue::Refused)
        }
        Role::Inbound(_) => closed_after(inbound_idle_ms),
        Role::Outbound(outbound) => match &outbound.call {
            Some(call) => (now >= call.deadline).then_some(Overdue::Closed),
            None => closed_after(HTTP_IDLE_MS),
        },
    }
}

#[cfg(test)]
mod tests;
