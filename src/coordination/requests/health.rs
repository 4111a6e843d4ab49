//! Answers to the load balancer's health checks.

use crate::constants::RETRY_AFTER_S;
use crate::coordination::interface::ConnectionId;
use crate::coordination::membership::has_store_access;
use crate::coordination::Controller;

impl Controller {
    /// Answers 200 if no other controller serves users better: this one reaches the state service, or
    /// can relay to a peer that does, or no controller reaches it. In the last case leaving the load
    /// balancer would gain nothing, and coming back into it is slow.
    pub(in crate::coordination) fn health_check(&mut self, connection: ConnectionId) {
        self.metrics.work.health_checks += 1;
        let is_healthy = self.store_is_usable() || self.is_no_worse_than_peers();
        let (status, body) = match is_healthy {
            true => (200, "{\"up\":true}"),
            false => (503, "{\"up\":false}"),
        };
        self.respond(connection, status, (!is_healthy).then_some(RETRY_AFTER_S), body.into());
    }

    /// Whether a peer can answer our users, or no peer reaches the state service either.
    fn is_no_worse_than_peers(&self) -> bool {
        let now = self.now.monotonic_ms;
        let fresh: Vec<_> = self.membership.fresh_gossip(now).collect();
        let all_heard = fresh.len() == self.membership.peer_count();
        let no_peer_has_access = all_heard && fresh.iter().all(|gossip| !has_store_access(gossip));
        let can_relay = self.membership.peer_with_store_access(now).is_some();
        self.store.is_loaded() && (can_relay || no_peer_has_access)
    }
}
