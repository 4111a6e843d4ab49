//! Conclusions from how tasks ended: run times, faulty machines, jobs that fail everywhere.

use crate::constants::{
    CORDON_FAILURES, CORDON_WINDOW_MS, FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MS,
};
use crate::coordination::Leader;
use crate::protocol::workers::EndCause;
use crate::storage::machine::{Machine, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

impl Leader {
    /// Draws conclusions from how a task ended.
    pub(super) fn record_task_end(
        &mut self,
        machine: &MachineName,
        id: &TaskId,
        cause: EndCause,
        now: u64,
    ) {
        match cause {
            EndCause::Done => self.record_success(machine, id, now),
            EndCause::Error => self.record_failure(machine, id, now),
            _ => {}
        }
    }

    fn record_success(&mut self, machine_name: &MachineName, id: &TaskId, now: u64) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        let running_since = machine.placements.get(id).and_then(|p| p.running_since);
        // It works here: the machines where it failed before are to blame.
        let blamed: Vec<MachineName> = job.failed_on.drain().collect();
        let spec = job.spec.clone();
        machine.failures.clear();
        for other in blamed {
            self.cordon_if_failed_lately(&other, machine_name, &id.job, now);
        }
        let ran_ms = running_since.map_or(0, |since| now - since);
        if let Some(spec) = spec.filter(|_| ran_ms > 0) {
            self.learn_run(&spec, ran_ms);
        }
    }

    /// A job failed on a machine and not on another one: the machine gets no new tasks.
    fn cordon_if_failed_lately(
        &mut self,
        name: &MachineName,
        worked_on: &MachineName,
        job: &JobId,
        now: u64,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(name) else { return };
        if machine.failures.iter().any(|(at, _)| now - at < CORDON_WINDOW_MS) {
            log::info!("{name}: cordoned, {job} failed there and not on {worked_on}");
            machine.cordoned = true;
        }
    }

    fn record_failure(&mut self, machine_name: &MachineName, id: &TaskId, now: u64) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        job.failed_on.insert(machine_name.clone());
        if job.fails_everywhere() {
            job.fail_pause_ms =
                (job.fail_pause_ms * 2).clamp(FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MAX_MS);
            job.paused_until = now + job.fail_pause_ms;
            let pause_ms = job.fail_pause_ms;
            return log::debug!("{}: failed on several machines, paused {pause_ms} ms", id.job);
        }
        let jobs = note_failure(machine, &id.job, now);
        let failures = machine.failures.len() as u32;
        let works_elsewhere = job.successes > 0 && failures >= CORDON_FAILURES;
        if (jobs >= CORDON_FAILURES || works_elsewhere) && !machine.cordoned {
            log::info!("{machine_name}: cordoned, tasks of {jobs} jobs failed there");
            machine.cordoned = true;
        }
    }
}

/// Notes that a task of a job failed on a machine; gives the number of jobs that failed there
/// lately.
fn note_failure(machine: &mut Machine, job: &JobId, now: u64) -> u32 {
    machine.failures.retain(|(at, _)| now - at < CORDON_WINDOW_MS);
    machine.failures.push((now, job.clone()));
    let jobs: BTreeSet<&JobId> = machine.failures.iter().map(|(_, job)| job).collect();
    jobs.len() as u32
}
