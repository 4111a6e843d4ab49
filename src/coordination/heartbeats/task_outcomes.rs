//! Conclusions from how tasks ended: run times, faulty machines, and jobs that fail on any machine.

use crate::constants::{CORDON_FAILURES, CORDON_WINDOW_MS};
use crate::coordination::Leader;
use crate::protocol::workers::EndCause;
use crate::storage::machine::{Machine, TaskId};
use crate::storage::records::{JobId, MachineName};
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

impl Leader {
    /// Draws conclusions from how a task ended.
    pub(super) fn record_task_end(
        &mut self,
        machine: &MachineName,
        id: &TaskId,
        cause: EndCause,
        now: u64,
        rng: &mut SmallRng,
    ) {
        match cause {
            EndCause::Done => self.record_task_success(machine, id, now),
            EndCause::Error => self.record_task_failure(machine, id, now, rng),
            _ => {}
        }
    }

    fn record_task_success(&mut self, machine_name: &MachineName, id: &TaskId, now: u64) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        let running_since = machine.placements.get(id).and_then(|p| p.running_since);
        // The job succeeds here, so its earlier failures are the fault of the machines that it failed on.
        let failed_on: Vec<MachineName> = job.failures.machines().cloned().collect();
        job.failures.clear();
        let spec = job.spec.clone();
        machine.failures.clear();
        for other in failed_on {
            self.cordon_if_failed_recently(&other, machine_name, &id.job, now);
        }
        let ran_ms = running_since.map_or(0, |since| now - since);
        if let Some(spec) = spec.filter(|_| ran_ms > 0) {
            self.record_run_time(&spec, ran_ms);
        }
    }

    /// Cordons a machine on which a job failed recently, now that the job has succeeded on another one.
    fn cordon_if_failed_recently(
        &mut self,
        name: &MachineName,
        succeeded_on: &MachineName,
        job: &JobId,
        now: u64,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(name) else { return };
        if machine.failures.iter().any(|(at, _)| now - at < CORDON_WINDOW_MS) {
            log::info!(
                "machine cordoned: {name}, {job} failed there and succeeded on {succeeded_on}"
            );
            machine.cordoned = true;
        }
    }

    fn record_task_failure(
        &mut self,
        machine_name: &MachineName,
        id: &TaskId,
        now: u64,
        rng: &mut SmallRng,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        log::debug!("task failed: {id} on {machine_name}");
        if let Some(pause_ms) = job.failures.record(machine_name, now, rng) {
            log::debug!("job paused: {} failed on several machines, {pause_ms} ms", id.job);
        }
        if job.failures.are_on_several_machines(now) {
            return;
        }
        let jobs = record_machine_failure(machine, &id.job, now);
        let failures = machine.failures.len() as u32;
        let succeeds_elsewhere = job.successes > 0 && failures >= CORDON_FAILURES;
        if (jobs >= CORDON_FAILURES || succeeds_elsewhere) && !machine.cordoned {
            log::info!("machine cordoned: {machine_name}, tasks of {jobs} jobs failed there");
            machine.cordoned = true;
        }
    }
}

/// Records that a task of a job failed on a machine, and returns the number of jobs that failed there
/// recently.
fn record_machine_failure(machine: &mut Machine, job: &JobId, now: u64) -> u32 {
    machine.failures.retain(|(at, _)| now - at < CORDON_WINDOW_MS);
    machine.failures.push((now, job.clone()));
    let jobs: BTreeSet<&JobId> = machine.failures.iter().map(|(_, job)| job).collect();
    jobs.len() as u32
}
