//! Workers' heartbeats, and the commands in the responses to them.
//!
//! A heartbeat settles placements only if it shows this term's fencing token and is the newest of its machine
//! by incarnation and sequence. A worker has one heartbeat in flight and drops late responses, so a start
//! command whose task the next heartbeat does not report was not executed, and is sent again.
//!
//! [`evidence`] evaluates what a heartbeat proves, [`processing`] applies that to the leader's state,
//! [`response`] builds the response with its commands, [`task_outcomes`] draws conclusions from how tasks
//! ended, [`reclaim`] evicts tasks from machines that the cloud reclaims. No task is started or settled here
//! without a committed placement.

mod evidence;
mod processing;
mod reclaim;
mod response;
mod task_outcomes;

pub(super) use response::DeferredHeartbeat;

use super::requester::Requester;
use super::{ConnectionId, Controller};
use crate::constants::ELECTION_MIN_MS;
use crate::protocol::workers::{Heartbeat, LeaderRedirect};

impl Controller {
    /// Handles a worker's heartbeat.
    pub(super) fn on_heartbeat(&mut self, connection: ConnectionId, body: &[u8]) {
        let now = self.now.monotonic_ms;
        let heartbeat: Heartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                let requester = Requester::direct(connection, now);
                return self.answer_error(requester, 400, &error.to_string(), None);
            }
        };
        self.metrics.work.reports += 1;
        self.membership.record_worker_heartbeat(&heartbeat.machine, now);
        self.check_worker_token(&heartbeat);
        self.observe_fencing_token(heartbeat.fencing_token);
        if heartbeat.fencing_token > self.membership.highest_term() {
            // The worker would drop a response with a lower token, and the leader that gave it this token is not
            // the one known here.
            return self.redirect_to_term(connection, heartbeat.fencing_token);
        }
        let leads = self.leader.as_ref().is_some_and(|leader| leader.ready);
        if leads && self.may_renew_worker_leases() {
            self.process_heartbeat(connection, &heartbeat);
        } else if self.is_rebuilding() && self.may_renew_worker_leases() {
            self.answer_heartbeat_in_rebuild(connection, heartbeat);
        } else if self.leader.is_none() && self.may_extend_lease(heartbeat.fencing_token) {
            self.extend_lease(connection, &heartbeat);
        } else {
            self.redirect(connection);
        }
    }

    /// Reacts to a fencing token above every known term. A leader stores its term before it sends it to anyone,
    /// so the store is read, where possible, and decides. The token alone must not: one worker with an absurd
    /// token would make every leader step down and use up the numbers for later terms.
    ///
    /// Without the store, the token is accepted as a term if there was time for that many elections, so that a
    /// leader that is cut off from the store steps down for its successor.
    fn observe_fencing_token(&mut self, token: u64) {
        let highest_term = self.membership.highest_term();
        if token <= highest_term {
            return;
        }
        if self.store_is_usable() {
            return self.request_leader_read();
        }
        let last_read_at = self.store.last_read_at().unwrap_or(self.started_at);
        let possible_elections = (self.now.monotonic_ms - last_read_at) / ELECTION_MIN_MS + 1;
        if token - highest_term <= possible_elections {
            self.membership.record_term(token);
            self.check_term();
        }
    }

    /// Redirects a worker to the current leader, if it is known.
    pub(super) fn redirect(&mut self, connection: ConnectionId) {
        self.redirect_to_term(connection, self.membership.highest_term());
    }

    /// Redirects a worker to the leader of this term or a later one, if it is known.
    fn redirect_to_term(&mut self, connection: ConnectionId, term: u64) {
        self.metrics.work.reports_redirected += 1;
        let leader = self.leader_of_term(term);
        let body = serde_json::to_vec(&LeaderRedirect { leader }).unwrap_or_default();
        self.respond(connection, 421, None, body);
    }

    /// Name of another controller that leads in this term or a later one, according to the store or to gossip.
    fn leader_of_term(&self, term: u64) -> Option<String> {
        let stored = self.store.replica().leader.as_ref().map(|record| &record.value);
        let is_other = |label: &String| *label != self.settings.label;
        if let Some(leader) = stored.filter(|leader| is_other(&leader.label) && leader.term >= term)
        {
            return Some(leader.label.clone());
        }
        self.membership
            .fresh_gossip(self.now.monotonic_ms)
            .find(|gossip| gossip.leads && gossip.term >= term)
            .map(|gossip| gossip.label.clone())
    }
}
