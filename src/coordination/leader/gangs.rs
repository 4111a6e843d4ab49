//! Gang scheduling in the leader: stopping a gang as a whole, and stopping attempts that can't complete.

use super::{start_was_never_sent, Leader};
use crate::constants::{
    GANG_SCAN_PERIOD_MS, MS_PER_S, SILENT_AFTER_PERIODS, WORKER_RETRY_S, WORKER_TIMEOUT_S,
};
use crate::coordination::Controller;
use crate::protocol::workers::EndCause;
use crate::settings::Workers;
use crate::storage::job::Job;
use crate::storage::machine::{Machine, MachineState, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

/// Milliseconds without a heartbeat after which a machine is not waited for: longer than a worker takes to send
/// the next heartbeat when it has missed one response.
fn silent_ms(workers: &Workers) -> u64 {
    let missed_response_s = WORKER_TIMEOUT_S + WORKER_RETRY_S + workers.report_s;
    (missed_response_s.max(workers.report_s * SILENT_AFTER_PERIODS) * MS_PER_S) as u64
}

impl Leader {
    /// Stops all tasks of a gang. Tasks for which no start command was sent are settled at once.
    pub(in crate::coordination) fn stop_gang(
        &mut self,
        job_id: &JobId,
        reason: StopReason,
        now: u64,
    ) {
        self.cluster.stop_gang(job_id, reason);
        for (machine, id) in self.tasks_without_start(job_id) {
            self.cluster.settle(&machine, &id, EndCause::Lost);
        }
        self.request_planning_pass(now);
    }

    /// Placed tasks of a job for which no start command was sent, so that they are on no machine.
    fn tasks_without_start(&self, job_id: &JobId) -> Vec<(MachineName, TaskId)> {
        let Some(job) = self.cluster.jobs.get(job_id) else { return Vec::new() };
        let tasks =
            job.placed_on.iter().map(|(index, name)| (name, TaskId::new(job_id.clone(), *index)));
        let is_on_no_machine = |name: &MachineName, id: &TaskId| {
            let placement = self.cluster.placement(name, id);
            placement.is_some_and(|p| p.settled.is_none() && start_was_never_sent(p, self.term))
        };
        tasks
            .filter(|(name, id)| is_on_no_machine(name, id))
            .map(|(name, id)| (name.clone(), id))
            .collect()
    }

    /// Stops gang attempts that can't complete: a task has yet to start on a machine that can't be reached,
    /// and no worker has reported a task of the gang as running.
    fn stop_gangs_that_cannot_complete(&mut self, workers: &Workers, now: u64) {
        let silent_ms = silent_ms(workers);
        let jobs = self.cluster.queue.values().filter_map(|job_id| self.cluster.jobs.get(job_id));
        let unstartable: BTreeSet<JobId> = jobs
            .filter(|job| self.gang_cannot_complete(job, silent_ms, now))
            .map(|job| job.id.clone())
            .collect();
        for job_id in unstartable {
            log::info!(
                "gang attempt stopped: {job_id} can't complete, a task's machine can't be reached"
            );
            self.stop_gang(&job_id, StopReason::NotNeeded, now);
        }
    }

    fn gang_cannot_complete(&self, job: &Job, silent_ms: u64, now: u64) -> bool {
        // A gang that has run continues if the machine is only cut off; if the machine is gone, the end of
        // its task ends the attempt.
        if job.gang.as_ref().is_none_or(|gang| gang.running) {
            return false;
        }
        job.placed_on.iter().any(|(index, name)| {
            let Some(machine) = self.cluster.machines.get(name) else { return false };
            let placement = machine.placements.get(&TaskId::new(job.id.clone(), *index));
            let is_to_start =
                placement.is_some_and(|p| p.reported_status.is_none() && p.stop_reason.is_none());
            // Until its worker reports in this term, a task that an earlier leader placed may run there.
            let is_known = machine.has_current_token || now > self.term_began_at + silent_ms * 2;
            is_to_start && is_known && cannot_start_tasks_soon(machine, silent_ms, now)
        })
    }
}

/// Whether a machine can't be expected to start a task soon.
fn cannot_start_tasks_soon(machine: &Machine, silent_ms: u64, now: u64) -> bool {
    machine.state != MachineState::Up
        || machine.lease_expired
        || machine.unreachable_since.is_some()
        || machine.last_alive_at.is_none_or(|at| now > at + silent_ms)
}

impl Controller {
    /// Stops gang attempts that can't complete, if the next scan is due.
    pub(super) fn scan_gangs_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.next_gang_scan_at)
        else {
            return;
        };
        leader.next_gang_scan_at = now + GANG_SCAN_PERIOD_MS;
        leader.stop_gangs_that_cannot_complete(&self.settings.params.workers, now);
    }
}
