//! Distinguishes a first start on a new store from a data loss that this process can't remember, by what
//! peers and workers know of the store.
//!
//! An empty store counts as new unless there is evidence of an earlier one: a worker that sends a fencing
//! token was once answered by a leader, and a peer may have read an earlier store.

use super::phase::RecoveryPhase;
use crate::constants::{
    FIRST_START_HEARTBEAT_PERIODS, FIRST_START_MAX_MS, LOST_STORE_RELOAD_MS, MS_PER_S,
    WORKER_RETRY_S,
};
use crate::coordination::Controller;
use crate::protocol::peers::{Gossip, RecoveryState};
use crate::protocol::workers::Heartbeat;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::constants::PLAUSIBLE_TERM_MAX;
use mountgap_recovery::image::StoreId;

impl Controller {
    /// Records a worker's fencing token as evidence of an earlier store: a leader has answered the worker.
    pub(in crate::coordination) fn check_worker_token(&mut self, heartbeat: &Heartbeat) {
        let token = heartbeat.fencing_token;
        let plausible = token > 0 && token <= PLAUSIBLE_TERM_MAX;
        if !plausible || !self.recovery.is_suspended() {
            return;
        }
        self.membership.record_term(token);
        let machine = &heartbeat.machine;
        let now = self.now.monotonic_ms;
        self.recovery.add_evidence(now, || format!("the worker of {machine} shows token {token}"));
    }

    /// Compares what a peer's gossip says of the store with what we know of it.
    pub(in crate::coordination) fn check_peer_store(&mut self, gossip: &Gossip) {
        if !self.recovery.is_enabled() {
            return;
        }
        if self.recovery.is_following() && self.store.is_loaded() {
            self.check_followed_store(gossip);
        }
        let label = &gossip.label;
        let now = self.now.monotonic_ms;
        if let Some(id) = gossip.store {
            let id = StoreId(id);
            self.recovery.add_evidence(now, || format!("controller {label} knows store {id}"));
        } else if gossip.recovery == Some(RecoveryState::Lost) {
            self.recovery.add_evidence(now, || format!("controller {label} says that it is lost"));
        }
    }

    /// Checks the store that we follow against a peer's gossip, which may prove its continuity or report a
    /// data loss.
    fn check_followed_store(&mut self, gossip: &Gossip) {
        let (our_store, _) = self.recovery.peer_view();
        let same_store = gossip.store.is_some() && gossip.store == our_store;
        if same_store && gossip.recovery == Some(RecoveryState::Following) {
            self.recovery.mark_continuity_proven();
        }
        let Some(lost_term) = gossip.lost_term else { return };
        if lost_term >= self.store.replica().rebuild_term() {
            // The store was not rebuilt since. The peer has a longer history than we do, and it contradicts
            // the store that we read.
            let peer = gossip.label.clone();
            return self.declare_lost_and_reload(DataLoss::ReportedByPeer { peer });
        }
        let now = self.now.monotonic_ms;
        let followed_long_enough = self.recovery.has_followed_for(2 * LOST_STORE_RELOAD_MS, now);
        if followed_long_enough && self.recovery.stale_leader().is_allowed(now) {
            // The peer should have seen the complete rebuild by now. Perhaps the store has lost data again
            // without our noticing.
            self.recovery.stale_leader_mut().pause(now);
            self.suspect_data_loss(None);
        }
    }

    /// Trusts an empty store as new once every worker has had time to send a fencing token, and either all
    /// peers have been heard without evidence of an earlier store or [`FIRST_START_MAX_MS`] have passed.
    pub(super) fn complete_first_start_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let RecoveryPhase::FirstStart { since, evidence: None } = self.recovery.phase() else {
            return;
        };
        let heartbeat_wait_s =
            self.settings.params.workers.report_s * FIRST_START_HEARTBEAT_PERIODS + WORKER_RETRY_S;
        let workers_had_time = now >= since + (heartbeat_wait_s * MS_PER_S) as u64;
        let heard_all_peers = self.membership.fresh_gossip(self.now.monotonic_ms).count()
            == self.membership.peer_count();
        let timed_out = now >= since + FIRST_START_MAX_MS;
        if workers_had_time && (heard_all_peers || timed_out) {
            log::info!(
                "store accepted as new: it is empty, and there is no evidence of an earlier one"
            );
            self.recovery.follow_new_store(now);
        }
    }
}
