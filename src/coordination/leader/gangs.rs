//! Gangs of the leader's term: attempts that can't become complete, and stops that take all tasks.

use super::{was_never_ordered, Leader};
use crate::constants::{
    GANG_SCAN_PERIOD_MS, MS_PER_S, SILENT_PERIODS, WORKER_RETRY_S, WORKER_TIMEOUT_S,
};
use crate::coordination::Controller;
use crate::protocol::workers::EndCause;
use crate::settings::Workers;
use crate::storage::job::Job;
use crate::storage::machine::{Machine, MachineState, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

/// Milliseconds of silence after which a machine is not waited for: longer than a worker takes to report
/// again when it has missed one response.
fn silent_ms(workers: &Workers) -> u64 {
    let missed_answer_s = WORKER_TIMEOUT_S + WORKER_RETRY_S + workers.report_s;
    (missed_answer_s.max(workers.report_s * SILENT_PERIODS) * MS_PER_S) as u64
}

impl Leader {
    /// Stops all tasks of a gang; those that were never ordered are settled at once.
    pub(in crate::coordination) fn stop_gang(&mut self, uid: &JobId, reason: StopReason, now: u64) {
        self.cluster.stop_gang(uid, reason);
        for (machine, id) in self.never_ordered_tasks(uid) {
            self.cluster.settle(&machine, &id, EndCause::Lost);
        }
        self.plan_soon(now);
    }

    /// Tasks of a job that are placed, and on no machine.
    fn never_ordered_tasks(&self, uid: &JobId) -> Vec<(MachineName, TaskId)> {
        let Some(job) = self.cluster.jobs.get(uid) else { return Vec::new() };
        let tasks =
            job.placed_on.iter().map(|(index, name)| (name, TaskId::new(uid.clone(), *index)));
        let is_on_no_machine = |name: &MachineName, id: &TaskId| {
            let placement = self.cluster.placement(name, id);
            placement.is_some_and(|p| p.settled.is_none() && was_never_ordered(p, self.term))
        };
        tasks
            .filter(|(name, id)| is_on_no_machine(name, id))
            .map(|(name, id)| (name.clone(), id))
            .collect()
    }

    /// Stops the attempts of gangs that can't become complete: a task is to start on a machine that
    /// has fallen silent, and no task of the gang was seen running.
    fn stop_hopeless_gangs(&mut self, workers: &Workers, now: u64) {
        let silent_ms = silent_ms(workers);
        let jobs = self.cluster.queue.values().filter_map(|uid| self.cluster.jobs.get(uid));
        let hopeless: BTreeSet<JobId> = jobs
            .filter(|job| self.is_hopeless(job, silent_ms, now))
            .map(|job| job.id.clone())
            .collect();
        for uid in hopeless {
            log::info!("{uid}: its gang can't become complete, the attempt is stopped");
            self.stop_gang(&uid, StopReason::NotNeeded, now);
        }
    }

    fn is_hopeless(&self, job: &Job, silent_ms: u64, now: u64) -> bool {
        // One that has run goes on if the machine is only cut off, and ends by itself if not.
        if job.gang.as_ref().is_none_or(|gang| gang.running) {
            return false;
        }
        job.placed_on.iter().any(|(index, name)| {
            let Some(machine) = self.cluster.machines.get(name) else { return false };
            let placement = machine.placements.get(&TaskId::new(job.id.clone(), *index));
            let is_to_start =
                placement.is_some_and(|p| p.reported_status.is_none() && p.stop_reason.is_none());
            // What an earlier leader has placed may run there.
            let is_known = machine.has_our_token || now > self.began_at + silent_ms * 2;
            is_to_start && is_known && is_out_of_reach(machine, silent_ms, now)
        })
    }
}

/// Whether a task that was placed on a machine can't be expected to start there soon.
fn is_out_of_reach(machine: &Machine, silent_ms: u64, now: u64) -> bool {
    machine.state != MachineState::Up
        || machine.lease_expired
        || machine.unreachable_since.is_some()
        || machine.last_alive_at.is_none_or(|at| now > at + silent_ms)
}

impl Controller {
    /// Looks for gangs that can't become complete, when it is time.
    pub(super) fn gangs_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.gang_scan_at) else {
            return;
        };
        leader.gang_scan_at = now + GANG_SCAN_PERIOD_MS;
        leader.stop_hopeless_gangs(&self.settings.params.workers, now);
    }
}
