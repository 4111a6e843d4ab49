//! Blocking starts after a rebuild until every machine that may run a task is reconciled: what it
//! runs is known.
//!
//! The same applies where all controllers have started anew and nobody can vouch for the store.
//!
//! A task may have been placed in the part of the history that is lost, and run on a machine that
//! has not reported since. It must not start elsewhere before its worker has shown the term of the
//! rebuild, which proves what runs there, or its lease has surely ended.

use crate::coordination::Controller;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::{RebuildPhase, RebuildRecord};

/// Whether a machine's tasks are known: its worker has shown our term, or nothing runs there.
fn is_reconciled(machine: &Machine) -> bool {
    machine.has_our_token || machine.failed || machine.state == MachineState::Terminated
}

impl Controller {
    /// Notes when the last machine is reconciled, and lets tasks start again.
    pub(super) fn reconciliation_due(&mut self) {
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
        self.recovery.prove_continuity();
        if self.store.replica().rebuild_phase() == Some(RebuildPhase::Complete) {
            self.record_reconciliation();
        }
    }

    fn all_machines_are_reconciled(&self) -> bool {
        let now = self.now.monotonic_ms;
        let Some(leader) = &self.leader else { return false };
        // Whoever answered workers before our term may have done so for so long, as it could not
        // read the store; every lease that it renewed is over by then, and those that we did in the rebuild.
        let leases_over = leader.ready_at + self.isolation_budget_ms() + self.worker_lease_max_ms();
        if now > leases_over {
            return true;
        }
        // A list that was asked for early may lack machines that are up.
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

    /// Every machine is accounted for: what is in part only is stopped, and planning begins.
    fn on_starts_unblocked(&mut self) {
        let now = self.now.monotonic_ms;
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.ready) {
            log::info!("every machine is accounted for, tasks may start");
            leader.cluster.stop_incomplete_gangs();
            leader.plan_soon(now);
        }
    }
}
