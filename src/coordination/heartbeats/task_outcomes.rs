//! Conclusions from how tasks ended: run times, faulty machines, and jobs that fail on any machine.

use crate::coordination::Leader;
use crate::protocol::workers::EndCause;
use crate::storage::job::Job;
use crate::storage::machine::TaskId;
use crate::storage::machine_health::FailureWeight;
use crate::storage::records::{JobId, MachineName};
use rand::rngs::SmallRng;

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
            EndCause::Done => self.record_task_success(machine, id, now, rng),
            EndCause::Error => self.record_task_failure(machine, id, now, rng),
            _ => {}
        }
    }

    fn record_task_success(
        &mut self,
        machine_name: &MachineName,
        id: &TaskId,
        now: u64,
        rng: &mut SmallRng,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        let Some(placement) = machine.placements.get(id) else { return };
        let running_since = placement.running_since;
        if machine.health.record_success(placement.placed_at) {
            log::info!("machine uncordoned: {machine_name}, {id} succeeded there");
        }
        // The job succeeds here, so its earlier failures are the fault of the machines that it failed on.
        let failed_on: Vec<MachineName> = job.failures.machines().cloned().collect();
        job.failures.clear();
        let spec = job.spec.clone();
        for other in failed_on.iter().filter(|other| *other != machine_name) {
            let Some(machine) = self.cluster.machines.get_mut(other) else { continue };
            if machine.health.confirm_failures(&id.job, now, rng) {
                log::info!(
                    "machine cordoned: {other}, {} failed there and succeeded on {machine_name}",
                    id.job
                );
            }
        }
        let ran_ms = running_since.map_or(0, |since| now - since);
        if let Some(spec) = spec.filter(|_| ran_ms > 0) {
            self.record_run_time(&spec, ran_ms);
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
        log::debug!("task failed: {id} on {machine_name}");
        if let Some(pause_ms) = job.failures.record(machine_name, now, rng) {
            log::debug!("job paused: {} failed on several machines, {pause_ms} ms", id.job);
        }
        let weight = failure_weight(job, now);
        if weight == FailureWeight::Doubted {
            self.doubt_failures(&id.job);
        }
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return };
        if machine.health.record_failure(&id.job, weight, now, rng) {
            let jobs = machine.health.failed_jobs();
            log::info!("machine cordoned: {machine_name}, tasks of {jobs} jobs failed there");
        }
    }

    /// Takes back what the failures of a job said about machines, since it fails on several.
    fn doubt_failures(&mut self, job_id: &JobId) {
        let Some(job) = self.cluster.jobs.get(job_id) else { return };
        for name in job.failures.machines() {
            let Some(machine) = self.cluster.machines.get_mut(name) else { continue };
            if machine.health.doubt_failures(job_id) {
                log::info!("machine uncordoned: {name}, {job_id} failed elsewhere too");
            }
        }
    }
}

/// What a failure of a task of this job says about the machine.
fn failure_weight(job: &Job, now: u64) -> FailureWeight {
    if job.failures.are_on_several_machines(now) {
        return FailureWeight::Doubted;
    }
    match job.successes > 0 {
        true => FailureWeight::JobHasSucceeded,
        false => FailureWeight::Unproven,
    }
}
