//! The leader's periodic log line on machines, tasks and free resources.

use super::Leader;
use crate::constants::SUMMARY_LOG_PERIOD_MS;
use crate::coordination::Controller;
use crate::protocol::{Resources, MILLI_PER_UNIT};
use crate::storage::machine::{Machine, MachineState, Placement};

impl Controller {
    /// Logs the summary line if the next one is due.
    pub(super) fn log_summary_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.next_summary_at)
        else {
            return;
        };
        leader.next_summary_at = now + SUMMARY_LOG_PERIOD_MS;
        leader.log_summary();
    }
}

impl Leader {
    fn log_summary(&self) {
        let is_running = |p: &Placement| p.running_since.is_some() && p.stop_reason.is_none();
        let is_starting = |p: &Placement| p.running_since.is_none() && p.stop_reason.is_none();
        let waiting_tasks: u64 =
            self.cluster.jobs.values().map(|job| u64::from(job.waiting_tasks())).sum();
        let free = self.free_resources();
        log::info!(
            "cluster summary: {} on-demand and {} spot machines up, {} idle, {} booting; {} tasks run, {} start, {} stop, {} wait; {} cores and {} gpus free",
            self.count_machines(|machine| is_up(machine) && !machine.spot),
            self.count_machines(|machine| is_up(machine) && machine.spot),
            self.count_machines(|machine| is_up(machine) && machine.placements.is_empty()),
            self.count_machines(|machine| machine.state == MachineState::Booting),
            self.count_unsettled_placements(is_running),
            self.count_unsettled_placements(is_starting),
            self.count_unsettled_placements(|placement| placement.stop_reason.is_some()),
            waiting_tasks,
            free.cpu / MILLI_PER_UNIT as i64,
            free.gpu / MILLI_PER_UNIT as i64,
        );
    }

    fn count_machines(&self, is_counted: impl Fn(&Machine) -> bool) -> usize {
        self.cluster.machines.values().filter(|machine| is_counted(machine)).count()
    }

    fn count_unsettled_placements(&self, is_counted: impl Fn(&Placement) -> bool) -> usize {
        let placements =
            self.cluster.machines.values().flat_map(|machine| machine.placements.values());
        placements.filter(|placement| placement.settled.is_none() && is_counted(placement)).count()
    }

    fn free_resources(&self) -> Resources {
        let mut free = Resources::default();
        for machine in self.cluster.machines.values().filter(|machine| is_up(machine)) {
            free += self.cluster.free(machine);
        }
        free
    }
}

fn is_up(machine: &Machine) -> bool {
    machine.state == MachineState::Up && !machine.lease_expired
}
