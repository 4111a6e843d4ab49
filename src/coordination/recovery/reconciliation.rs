//! Reconciliation: after a rebuild, starts are blocked until it is known which tasks every machine runs.
//!
//! The same applies after a restart of all controllers, as long as nothing proves that the store has lost
//! no data meanwhile.
//!
//! A task may have been placed in the lost part of the history and run on a machine that has sent no
//! heartbeat since. It must not start elsewhere before its worker has sent a heartbeat with the term of
//! the rebuild, which shows what runs there, or its lease has certainly expired.

use crate::coordination::Controller;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::{RebuildPhase, RebuildRecord};

/// Whether it is known which tasks a machine runs: its worker has sent our fencing token, or the machine no
/// longer runs any.
fn is_reconciled(machine: &Machine) -> bool {
    machine.has_current_token || machine.failed || machine.state == MachineState::Terminated
}

impl Controller {
    /// Records when all machines are reconciled, and resumes planning once starts are no longer blocked.
    pub(super) fn update_reconciliation(&mut self) {
        let blocked = self.starts_are_blocked();
        if self.recovery.update_starts_blocked(blocked) {
            self.on_starts_unblocked();
        }
        let ready = self.leader.as_ref().is_some_and(|leader| leader.ready);
        let may_record = !self.recovery.is_phase_update_sent() && self.store_is_usable();
        if !blocked || !ready || !may_record || !self.all_machines_are_reconciled() {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.machines_reconciled = true;
        }
        self.recovery.mark_continuity_proven();
        if self.store.replica().rebuild_phase() == Some(RebuildPhase::Complete) {
            self.record_reconciliation();
        }
    }

    fn all_machines_are_reconciled(&self) -> bool {
        let now = self.now.monotonic_ms;
        let Some(leader) = &self.leader else { return false };
        // A controller that answered workers before our term and could not read the store may have gone
        // on renewing leases for the isolation budget. By this time all of these leases have expired, and
        // so have those that we renewed during the rebuild.
        let leases_over = leader.ready_at + self.isolation_budget_ms() + self.worker_lease_max_ms();
        if now > leases_over {
            return true;
        }
        // The cloud's list lags behind: one that was requested too early may lack running machines.
        let lag_ms = self.settings.params.cloud.list_lag_ms();
        let listed = leader
            .fleet
            .complete_list_started_at()
            .is_some_and(|started_at| started_at > leader.term_began_at + lag_ms);
        listed && leader.cluster.machines.values().all(is_reconciled)
    }

    fn record_reconciliation(&mut self) {
        let Some(known) = &self.store.replica().rebuild else { return };
        let record = RebuildRecord { phase: RebuildPhase::Accounted, ..known.value.clone() };
        if self.send_rebuild_record(&record) {
            self.recovery.set_phase_update_sent(true);
        }
    }

    /// Stops gangs of which only a part is placed, and starts planning.
    fn on_starts_unblocked(&mut self) {
        let now = self.now.monotonic_ms;
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.ready) {
            log::info!("all machines reconciled: tasks may start again");
            leader.cluster.stop_incomplete_gangs();
            leader.request_planning_pass(now);
        }
    }
}
