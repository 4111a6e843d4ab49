//! A first start on an empty store, told from a loss that nobody here remembers; and what peers and workers say
//! of the store.
//!
//! An empty store is a new one unless somebody knows better: a worker that shows a token was once answered by a leader,
//! and a peer may have read an earlier store.

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
    /// A worker that shows a token has been answered by a leader, so there was a store.
    pub(in crate::coordination) fn check_worker_token(&mut self, report: &Heartbeat) {
        let believed = report.fencing_token > 0 && report.fencing_token <= PLAUSIBLE_TERM_MAX;
        if !believed || !self.recovery.is_suspended() {
            return;
        }
        self.membership.note_term(report.fencing_token);
        let (machine, token) = (&report.machine, report.fencing_token);
        let now = self.now.monotonic_ms;
        self.recovery.add_evidence(now, || format!("the worker of {machine} shows token {token}"));
    }

    /// Compares what a peer says of the store with what we know of it.
    pub(in crate::coordination) fn check_peer_store(&mut self, gossip: &Gossip) {
        if !self.recovery.notices_losses() {
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

    /// Judges the store that we follow by what a peer reports: that it knows the store to be whole, or
    /// that data was lost.
    fn check_followed_store(&mut self, gossip: &Gossip) {
        let (our_store, _) = self.recovery.peer_view();
        let same_store = gossip.store.is_some() && gossip.store == our_store;
        if same_store && gossip.recovery == Some(RecoveryState::Following) {
            self.recovery.prove_continuity();
        }
        let Some(lost_term) = gossip.lost_term else { return };
        if lost_term >= self.store.replica().rebuild_term() {
            // Not rebuilt since. It remembers more than we do: what it holds contradicts what is there.
            let peer = gossip.label.clone();
            return self.declare_lost_and_reload(DataLoss::ReportedByPeer { peer });
        }
        let now = self.now.monotonic_ms;
        let long_followed = self.recovery.has_followed_for(2 * LOST_STORE_RELOAD_MS, now);
        if long_followed && self.recovery.stale_leader().is_allowed(now) {
            // It should have seen by now that the store is rebuilt: perhaps it is not any more.
            self.recovery.stale_leader_mut().pause(now);
            self.suspect_data_loss(None);
        }
    }

    /// An empty store is a new one once every worker had time to show a token, and every peer has
    /// said that it knows of no store, or has not been heard for long.
    pub(super) fn first_start_due(&mut self) {
        let now = self.now.monotonic_ms;
        let RecoveryPhase::FirstStart { since, evidence: None } = self.recovery.phase() else {
            return;
        };
        let reports =
            self.settings.params.workers.report_s * FIRST_START_HEARTBEAT_PERIODS + WORKER_RETRY_S;
        let workers_had_time = now >= since + (reports * MS_PER_S) as u64;
        let heard_all_peers = self.membership.fresh_gossip(self.now.monotonic_ms).count()
            == self.membership.peer_count();
        let waited_long = now >= since + FIRST_START_MAX_MS;
        if workers_had_time && (heard_all_peers || waited_long) {
            log::info!("the store is empty and nobody knows of an earlier one: a first start");
            self.recovery.follow_new_store(now);
        }
    }
}
