//! A first start on an empty store, told from a loss that nobody here remembers; and what peers and workers say
//! of the store.
//!
//! An empty store is a new one unless somebody knows better: a worker that shows a token was once answered by a leader,
//! and a peer may have read an earlier store.

use super::{RecoveryPhase, StoreId};
use crate::constants::{
    DOUBT_REST_MS, FIRST_START_MAX_MS, FIRST_START_REPORTS, HOLD_REREAD_MS, MS_PER_S,
    WORKER_RETRY_S,
};
use crate::coordination::Controller;
use crate::protocol::peers::{Gossip, RecoveryState};
use crate::protocol::workers::Heartbeat;
use mountgap_recovery::audit::DataLoss;
use mountgap_recovery::constants::TERM_BELIEVED_MAX;

impl Controller {
    /// A worker that shows a token has been answered by a leader, so there was a store.
    pub(in crate::coordination) fn check_worker_token(&mut self, report: &Heartbeat) {
        let believed = report.fencing_token > 0 && report.fencing_token <= TERM_BELIEVED_MAX;
        if !believed || !self.recovery.is_suspended() {
            return;
        }
        self.membership.note_term(report.fencing_token);
        let (machine, token) = (&report.machine, report.fencing_token);
        self.evidence(|| format!("the worker of {machine} shows token {token}"));
    }

    /// What a peer says of the store.
    pub(in crate::coordination) fn check_peer_store(&mut self, gossip: &Gossip) {
        if !self.recovery.enabled {
            return;
        }
        let ours = gossip.store.is_some() && gossip.store == self.recovery_state().0;
        let following =
            matches!(self.recovery.phase, RecoveryPhase::Following) && self.store.is_loaded();
        if following && ours && gossip.recovery == Some(RecoveryState::Following) {
            self.recovery.continuity_proven = true;
        }
        let rebuilt_in =
            self.store.replica().rebuild.as_ref().map_or(0, |record| record.value.term);
        if following && gossip.lost_term.is_some_and(|term| term >= rebuilt_in) {
            // Not rebuilt since. It remembers more than we do: what it holds contradicts what is there.
            return self
                .declare_lost_and_reload(DataLoss::ReportedByPeer { peer: gossip.label.clone() });
        }
        let now = self.now.monotonic_ms;
        let long = self
            .recovery
            .history_complete_from
            .is_some_and(|from| now >= from + 2 * HOLD_REREAD_MS);
        let holds = gossip.lost_term.is_some();
        if following && holds && long && now >= self.recovery.stale_leader_check_paused_until {
            // It should have seen by now that the store is rebuilt: perhaps it is not any more.
            self.recovery.stale_leader_check_paused_until = now + DOUBT_REST_MS;
            return self.suspect_data_loss(None);
        }
        if let Some(id) = gossip.store {
            self.evidence(|| format!("controller {} knows store {}", gossip.label, StoreId(id)));
        } else if gossip.recovery == Some(RecoveryState::Lost) {
            self.evidence(|| format!("controller {} says that it is lost", gossip.label));
        }
    }

    fn evidence(&mut self, text: impl Fn() -> String) {
        let now = self.now.monotonic_ms;
        if let RecoveryPhase::FirstStart { evidence, .. } = &mut self.recovery.phase {
            evidence.get_or_insert_with(|| (text(), now));
        }
    }

    /// An empty store is a new one once every worker had time to show a token, and every peer has
    /// said that it knows of no store, or has not been heard for long.
    pub(super) fn first_start_due(&mut self) {
        let now = self.now.monotonic_ms;
        let RecoveryPhase::FirstStart { since, evidence } = &self.recovery.phase else { return };
        let reports = self.settings.params.workers.report_s * FIRST_START_REPORTS + WORKER_RETRY_S;
        let waited = now >= since + (reports * MS_PER_S) as u64;
        let heard_all = self.membership.fresh_gossip(self.now.monotonic_ms).count()
            == self.membership.peer_count();
        let long = now >= since + FIRST_START_MAX_MS;
        if evidence.is_none() && waited && (heard_all || long) {
            log::info!("the store is empty and nobody knows of an earlier one: a first start");
            self.recovery.continuity_proven = true;
            self.recovery.history_complete_from = Some(now);
            self.recovery.phase = RecoveryPhase::Following;
        }
    }
}
