//! Detection of a leader key that outlives its leader.
//!
//! If the store is restored from a backup but its revision doesn't fall, the watch never shows the removal
//! of the leader key. Replicas would keep the key, and nobody would ever campaign again. So the store is
//! listed again if its leader is silent for too long.

use super::phase::RecoveryPhase;
use crate::constants::{
    STALE_LEADER_AFTER_LEASE_MS, STALE_LEADER_RECHECK_MS, STALE_LEADER_TIMEOUT_MS,
};
use crate::coordination::Controller;

/// The schedule for listing the store again because its leader is silent.
#[derive(Debug, Default)]
pub(super) struct StaleLeaderCheck {
    /// When the listing is due, unless the leader is heard before.
    due_at: Option<u64>,
    /// No listing is done before this time.
    paused_until: u64,
}

impl StaleLeaderCheck {
    /// Schedules the listing for soon after the lease of the leader key has expired.
    fn schedule_after_lease(&mut self, now: u64) {
        self.due_at = Some(now + STALE_LEADER_AFTER_LEASE_MS);
        self.paused_until = now;
    }

    /// Cancels the scheduled listing.
    fn cancel(&mut self) {
        self.due_at = None;
    }

    /// Whether the listing is due. Schedules it on the first call.
    fn is_due(&mut self, now: u64) -> bool {
        now >= *self.due_at.get_or_insert(now + STALE_LEADER_TIMEOUT_MS)
    }

    /// Whether the last listing is long enough ago for another one.
    pub(super) fn is_allowed(&self, now: u64) -> bool {
        now >= self.paused_until
    }

    /// The store is listed again now: prevents another listing for a while.
    pub(super) fn pause(&mut self, now: u64) {
        self.paused_until = now + STALE_LEADER_RECHECK_MS;
    }
}

impl Controller {
    /// The state service has answered that the lease of the leader key has expired, so the key should be
    /// removed soon.
    pub(in crate::coordination) fn suspect_stale_leader_key(&mut self) {
        let now = self.now.monotonic_ms;
        self.recovery.stale_leader_mut().schedule_after_lease(now);
    }

    /// Lists the store again if the leader that it names has been silent for too long.
    pub(super) fn check_stale_leader_key(&mut self) {
        let now = self.now.monotonic_ms;
        let reads_store =
            matches!(self.recovery.phase(), RecoveryPhase::Following | RecoveryPhase::Lost { .. });
        let suspicious = reads_store && self.stored_leader_is_silent();
        let check = self.recovery.stale_leader_mut();
        if !suspicious || !check.is_allowed(now) {
            return check.cancel();
        }
        if check.is_due(now) && self.store_is_reachable() {
            log::info!(
                "leader silent: no gossip confirms the stored leader; the store is listed again"
            );
            let check = self.recovery.stale_leader_mut();
            check.cancel();
            check.pause(now);
            self.suspect_data_loss(None);
        }
    }

    /// Whether the store names a leader, but neither this process nor a peer of that name leads.
    fn stored_leader_is_silent(&self) -> bool {
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
