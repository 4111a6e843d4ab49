//! Timeouts: idle connections are closed, requests that arrive too slowly are rejected, and calls
//! without a response are reported as unanswered.
//!
//! There is no timer per connection: all connections are checked every [`SWEEP_PERIOD_MS`] milliseconds, so a
//! deadline may be exceeded by that much.

use super::connection::{Connection, Role};
use super::net::{ConnectionKey, Transport};
use crate::constants::{
    HTTP_IDLE_TIMEOUT_MS, HTTP_IDLE_TIMEOUT_NEAR_LIMIT_MS, HTTP_REQUEST_TIMEOUT_MS,
    INBOUND_NEAR_LIMIT_SHARE, SWEEP_PERIOD_MS,
};
use std::time::{Duration, Instant};

/// HTTP status of the response to a request that did not arrive in time.
const REQUEST_TIMEOUT: u16 = 408;

/// What to do with a connection that has timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TimeoutAction {
    /// Reject the request, which has taken too long to arrive, and close the connection.
    Reject,
    /// Close the connection without a response.
    Close,
}

impl Transport {
    /// Checks all timeouts if the last check was [`SWEEP_PERIOD_MS`] ago.
    pub(super) fn sweep_if_due(&mut self, now: Instant) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + Duration::from_millis(SWEEP_PERIOD_MS);
        self.counts.buffered_bytes =
            self.connections.values().map(Connection::buffered_bytes).sum();
        self.handle_timed_out_connections(now);
        self.report_expired_calls(now);
    }

    fn handle_timed_out_connections(&mut self, now: Instant) {
        let timed_out = self.timed_out_connections(now);
        for (key, _) in timed_out.iter().filter(|(_, action)| *action == TimeoutAction::Reject) {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.reject(REQUEST_TIMEOUT, "too slow");
                let _ = self.flush(*key);
            }
        }
        for (key, _) in timed_out.iter().filter(|(_, action)| *action == TimeoutAction::Close) {
            self.close(*key);
        }
    }

    fn timed_out_connections(&self, now: Instant) -> Vec<(ConnectionKey, TimeoutAction)> {
        let idle_ms = if self.is_near_connection_limit() {
            HTTP_IDLE_TIMEOUT_NEAR_LIMIT_MS
        } else {
            HTTP_IDLE_TIMEOUT_MS
        };
        let action = |connection: &Connection| timeout_action(connection, now, idle_ms);
        let connections = self.connections.iter();
        connections.filter_map(|(key, connection)| Some((*key, action(connection)?))).collect()
    }

    /// Whether the limit of inbound connections is nearly reached, so that idle ones are closed sooner.
    fn is_near_connection_limit(&self) -> bool {
        self.inbound.len() as f64 >= self.inbound_max as f64 * INBOUND_NEAR_LIMIT_SHARE
    }

    fn report_expired_calls(&mut self, now: Instant) {
        for target in 0..self.destinations.len() {
            for call in self.destinations[target].remove_expired_calls(now) {
                self.report_unanswered(call);
            }
        }
    }
}

/// What to do with a connection if it has timed out; an inbound one may be idle for `inbound_idle_ms`.
fn timeout_action(
    connection: &Connection,
    now: Instant,
    inbound_idle_ms: u64,
) -> Option<TimeoutAction> {
    let age = now.duration_since(connection.timeout_start);
    let close_after = |ms| (age > Duration::from_millis(ms)).then_some(TimeoutAction::Close);
    match &connection.role {
        // The code that answers the request has its own deadlines.
        Role::Inbound(inbound) if inbound.has_pending_request => None,
        Role::Inbound(_) if !connection.output.is_empty() => close_after(HTTP_REQUEST_TIMEOUT_MS),
        Role::Inbound(_) if !connection.input.is_empty() => {
            close_after(HTTP_REQUEST_TIMEOUT_MS).map(|_| TimeoutAction::Reject)
        }
        Role::Inbound(_) => close_after(inbound_idle_ms),
        Role::Outbound(outbound) => match &outbound.call {
            Some(call) => (now >= call.deadline).then_some(TimeoutAction::Close),
            None => close_after(HTTP_IDLE_TIMEOUT_MS),
        },
    }
}

#[cfg(test)]
mod tests;
