//! Health checks of the load balancer.

use crate::constants::RETRY_AFTER_S;
use crate::coordination::interface::ConnectionId;
use crate::coordination::membership::is_served;
use crate::coordination::Controller;

impl Controller {
    /// 200 when users are at least as well off here as elsewhere: served by the state
    /// service, or able to have a served peer answer, or all are refused alike (coming
    /// back into the balancer is slow, and there is nowhere better to go).
    pub(in crate::coordination) fn health_check(&mut self, connection: ConnectionId) {
        self.metrics.work.health_checks += 1;
        let is_healthy = self.store_is_usable() || self.is_no_worse_than_peers();
        let (status, body) = match is_healthy {
            true => (200, "{\"up\":true}"),
            false => (503, "{\"up\":false}"),
        };
        self.respond(connection, status, (!is_healthy).then_some(RETRY_AFTER_S), body.into());
    }

    fn is_no_worse_than_peers(&self) -> bool {
        let now = self.now.monotonic_ms;
        let fresh: Vec<_> = self.membership.fresh_gossip(now).collect();
        let all_heard = fresh.len() == self.membership.peer_count();
        let all_refused = all_heard && fresh.iter().all(|gossip| !is_served(gossip));
        let can_relay = self.membership.served_peer(now).is_some();
        self.store.is_loaded() && (can_relay || all_refused)
    }
}
