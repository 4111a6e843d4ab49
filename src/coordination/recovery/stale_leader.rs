//! A leader key that outlives its leader: when the store is read anew for it.
//!
//! A store that was set back without falling behind does not tell that the leader key is gone, so
//! nobody would ever lead again.

use super::phase::RecoveryPhase;
use crate::constants::{
    STALE_LEADER_AFTER_LEASE_MS, STALE_LEADER_RECHECK_MS, STALE_LEADER_TIMEOUT_MS,
};
use crate::coordination::Controller;

/// When the store is read anew because nobody is heard to lead.
#[derive(Debug, Default)]
pub(super) struct StaleLeaderCheck {
    /// When it is due, unless somebody is heard to lead until then.
    due_at: Option<u64>,
    /// Until when it is not, whoever leads.
    paused_until: u64,
}

impl StaleLeaderCheck {
    /// The store has said that the lease of the leader key is over, so the key should go soon.
    fn schedule_after_lease(&mut self, now: u64) {
        self.due_at = Some(now + STALE_LEADER_AFTER_LEASE_MS);
        self.paused_until = now;
    }

    /// Nothing is to be checked at the moment.
    fn cancel(&mut self) {
        self.due_at = None;
    }

    /// Whether the key has been suspicious for long enough; the time runs from the first call.
    fn is_due(&mut self, now: u64) -> bool {
        now >= *self.due_at.get_or_insert(now + STALE_LEADER_TIMEOUT_MS)
    }

    /// Whether the last reload is long enough ago for another one.
    pub(super) fn is_allowed(&self, now: u64) -> bool {
        now >= self.paused_until
    }

    /// The store is read anew: not again for a while.
    pub(super) fn pause(&mut self, now: u64) {
        self.paused_until = now + STALE_LEADER_RECHECK_MS;
    }
}

impl Controller {
    /// The store has said that the lease of the leader key is over, so the key should go.
    pub(in crate::coordination) fn suspect_stale_leader_key(&mut self) {
        let now = self.now.monotonic_ms;
        self.recovery.stale_leader_mut().schedule_after_lease(now);
    }

    /// Reads the store anew where it names a leader and nobody is heard to lead for long.
    pub(super) fn check_stale_leader_key(&mut self) {
        let now = self.now.monotonic_ms;
        let reads_store =
            matches!(self.recovery.phase(), RecoveryPhase::Following | RecoveryPhase::Lost { .. });
        let suspicious = reads_store && self.names_unheard_leader();
        let check = self.recovery.stale_leader_mut();
        if !suspicious || !check.is_allowed(now) {
            return check.cancel();
        }
        if check.is_due(now) && self.store_is_reachable() {
            log::info!("nobody is heard to lead, reading the store anew");
            let check = self.recovery.stale_leader_mut();
            check.cancel();
            check.pause(now);
            self.suspect_data_loss(None);
        }
    }

    /// Whether the store names a leader that neither we are nor any peer says to be.
    fn names_unheard_leader(&self) -> bool {
        let Some(leader) = &self.store.replica().leader else { return false };
        let label = &leader.value.label;
        let leads = match *label == self.settings.label {
            true => self.leader.is_some(),
            false => self
                .membership
                .fresh_gossip(self.now.monotonic_ms)
                .any(|gossip| gossip.leads && gossip.label == *label),
        };
        !leads
    }
}
