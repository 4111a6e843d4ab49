//! Holds leadership: renews the lease of the leader key, steps down and hands over.

use super::write_shares::{follower_write_share, leader_write_share};
use super::{CallPurpose, Controller};
use crate::constants::{
    LEADER_RENEWAL_PERIOD_MS, LEADER_RENEWAL_TIMEOUT_MS, STATE_RETRY_BACKOFF_MS, STATE_TIMEOUT_MS,
};
use crate::protocol::http::Response;
use crate::protocol::state::{lease_path, lease_renewal_path};
use crate::storage::records::leader_key;

/// The lease of the leader key.
#[derive(Debug)]
pub(super) struct LeaderLease {
    id: u64,
    renew_at: u64,
    renewal_in_flight: bool,
}

impl LeaderLease {
    /// A lease that was just granted; the first renewal is due after one period.
    pub(super) fn new(id: u64, now: u64) -> LeaderLease {
        LeaderLease { id, renew_at: now + LEADER_RENEWAL_PERIOD_MS, renewal_in_flight: false }
    }
}

impl Controller {
    /// Renews the lease of the leader key when the next renewal is due.
    pub(super) fn renew_leader_lease_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let lease = &mut leader.lease;
        if lease.renewal_in_flight || now < lease.renew_at {
            return;
        }
        lease.renewal_in_flight = true;
        lease.renew_at = now + LEADER_RENEWAL_PERIOD_MS;
        let lease_id = lease.id;
        let path = lease_renewal_path(lease_id);
        let purpose = CallPurpose::LeaseRenewal { lease_id };
        self.state_call("POST", path, b"{}".to_vec(), LEADER_RENEWAL_TIMEOUT_MS, purpose);
    }

    pub(super) fn on_lease_renewal_response(&mut self, lease_id: u64, response: Option<Response>) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.lease.id == lease_id) else {
            return;
        };
        leader.lease.renewal_in_flight = false;
        match response {
            Some(Response { status: 200..=299, .. }) => {}
            Some(Response { status: 404, .. }) => {
                self.step_down("the lease of the leader key has expired");
                self.suspect_stale_leader_key();
            }
            _ => leader.lease.renew_at = now + STATE_RETRY_BACKOFF_MS,
        }
    }

    /// Steps down if there is a higher term or the leader key is no longer the one that this leader
    /// wrote.
    pub(super) fn check_term(&mut self) {
        let Some(leader) = &self.leader else { return };
        if self.membership.highest_term() > leader.term {
            return self.step_down("a higher term exists");
        }
        let replica = self.store.replica();
        let key_was_read = replica.revision >= leader.mod_revision;
        if key_was_read && replica.mod_revision(&leader_key()) != leader.mod_revision {
            self.step_down("the leader key was replaced or removed");
        }
    }

    /// Stops leading and redirects the workers whose heartbeats await a response.
    pub(super) fn step_down(&mut self, reason: &str) {
        let Some(leader) = self.leader.take() else { return };
        self.abandon_rebuild();
        log::info!("leader stepped down: this controller, term {}, {reason}", leader.term);
        self.set_state_rates();
        self.cloud.set_follower_rate(self.settings.controllers(), self.now.monotonic_ms);
        for heartbeat in leader.deferred_heartbeats {
            self.redirect(heartbeat.connection());
        }
    }

    /// Gives up leadership, so that a controller that receives the workers' heartbeats can take over.
    pub(super) fn hand_over(&mut self, reason: &str) {
        let Some(leader) = &self.leader else { return };
        self.revoke_lease(leader.lease.id);
        self.election.back_off_after_handover(self.now.monotonic_ms);
        self.step_down(reason);
    }

    /// Revokes a lease, which also deletes the leader key bound to it.
    pub(super) fn revoke_lease(&mut self, lease_id: u64) {
        let path = lease_path(lease_id);
        self.state_call("DELETE", path, vec![], STATE_TIMEOUT_MS, CallPurpose::LeaseRevocation);
    }

    /// Sets this controller's share of the state service's request rates, which depends on whether it
    /// leads.
    pub(super) fn set_state_rates(&mut self) {
        let controllers = self.settings.controllers();
        let write_share = match self.leader.is_some() {
            true => leader_write_share(controllers),
            false => follower_write_share(controllers),
        };
        self.store.set_rates(controllers, write_share, self.now.monotonic_ms);
    }
}
