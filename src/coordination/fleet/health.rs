//! Ends the cordons and probations of machines whose time has come.

use crate::coordination::{Controller, Leader};
use crate::storage::machine::{Machine, MachineState};
use crate::storage::machine_health::CordonEnd;

impl Controller {
    /// Ends cordons and probations that are due, and plans again if a machine may get more tasks.
    pub(super) fn end_cordons(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if leader.update_machine_health(now) {
            leader.request_planning_pass(now);
        }
    }
}

impl Leader {
    /// Ends cordons and probations that are due. Returns whether any has ended.
    fn update_machine_health(&mut self, now: u64) -> bool {
        let machines = self.cluster.machines.values_mut();
        let mut any_ended = false;
        for machine in machines.filter(|machine| machine.state == MachineState::Up) {
            any_ended |= end_cordon_if_due(machine, now) || end_probation_if_due(machine, now);
        }
        any_ended
    }
}

fn end_cordon_if_due(machine: &mut Machine, now: u64) -> bool {
    let Some(end) = machine.health.end_cordon_if_due(now) else { return false };
    let name = &machine.name;
    match end {
        CordonEnd::Probation => {
            log::info!("machine uncordoned: {name}, it gets one task at a time");
        }
        CordonEnd::Usable => {
            log::info!("machine uncordoned: {name}, its deletion was not executed");
        }
    }
    // An empty one is still here because it could not be returned. It would be requested to be deleted again
    // before it can get a task.
    machine.idle_since = machine.idle_since.map(|_| now);
    true
}

fn end_probation_if_due(machine: &mut Machine, now: u64) -> bool {
    if machine.health.probation_since().is_none() {
        return false;
    }
    let running_since: Vec<u64> =
        machine.probation_tasks().filter_map(|placement| placement.running_since).collect();
    let has_ended = machine.health.end_probation_if_due(running_since.into_iter(), now);
    if has_ended {
        log::info!("machine uncordoned: {}, its probation is over", machine.name);
    }
    has_ended
}
