//! Gangs on the simulated workers: their tasks wait for each other, make progress together and end together.

use super::worker::TaskState;
use super::*;

/// A task on a machine, of one attempt of a gang.
struct GangTask {
    machine: String,
    task: u32,
    state: TaskState,
    /// Whether its machine executes it, which a hung machine does not.
    executing: bool,
}

impl Simulation {
    /// All attempts of gangs that have tasks on machines.
    fn gang_attempts(&self) -> BTreeMap<(String, u64), Vec<GangTask>> {
        let mut attempts: BTreeMap<(String, u64), Vec<GangTask>> = BTreeMap::new();
        for (machine, worker) in self.workers.iter().filter(|(_, w)| !w.stopped) {
            for ((job, task), list) in &worker.tasks {
                if !self.jobs[job].is_gang() {
                    continue;
                }
                for instance in list {
                    let member = GangTask {
                        machine: machine.clone(),
                        task: *task,
                        state: instance.state.clone(),
                        executing: self.now >= worker.hung_until,
                    };
                    attempts.entry((job.clone(), instance.attempt)).or_default().push(member);
                }
            }
        }
        attempts
    }

    /// Changes the state of a task, which its worker then reports.
    fn set_task_state(&mut self, job: &str, attempt: u64, member: &GangTask, state: TaskState) {
        let key = (job.to_string(), member.task);
        let worker = self.workers.get_mut(&member.machine).expect("the machine exists");
        worker.changed = true;
        let list = worker.tasks.get_mut(&key).expect("the task exists");
        list.iter_mut().filter(|t| t.attempt == attempt).for_each(|t| t.state = state.clone());
    }

    /// Advances all gangs by one step.
    pub(super) fn gangs_step(&mut self) {
        for ((job, attempt), members) in self.gang_attempts() {
            if self.jobs[&job].attempts.contains_key(&attempt) {
                self.advance_gang(&job, attempt, &members);
            } else {
                self.assemble_gang(&job, attempt, &members);
            }
        }
    }

    /// Starts an attempt once all its tasks wait on machines that execute them.
    fn assemble_gang(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        let waiting = |m: &&GangTask| matches!(m.state, TaskState::Waiting(_));
        let ready: BTreeSet<u32> =
            members.iter().filter(waiting).filter(|m| m.executing).map(|m| m.task).collect();
        if ready.len() == self.jobs[job].tasks as usize {
            let progress_ms = self.jobs[job].checkpointed_ms;
            let run = GangAttempt {
                progress_ms,
                stop_requested_at: None,
                incomplete_since: None,
                checkpointed: false,
            };
            let gang = self.jobs.get_mut(job).expect("the job exists");
            gang.attempts.insert(attempt, run);
            gang.first_started_at.get_or_insert(now);
            for member in members.iter().filter(waiting) {
                self.set_task_state(
                    job,
                    attempt,
                    member,
                    TaskState::Running { remaining_ms: u64::MAX, started_at: now },
                );
            }
            return;
        }
        self.end_expired_waits(job, attempt, members);
    }

    /// Ends tasks that have waited too long for the others.
    fn end_expired_waits(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        for member in members.iter().filter(|m| m.executing) {
            if matches!(member.state, TaskState::Waiting(since) if now > since + GANG_WAIT_MS) {
                self.set_task_state(job, attempt, member, TaskState::Ended("alone"));
            }
        }
    }

    /// Advances a started attempt, which makes progress while all its tasks execute.
    fn advance_gang(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        let active: Vec<&GangTask> = members
            .iter()
            .filter(|m| matches!(m.state, TaskState::Running { .. } | TaskState::Flushing(_)))
            .collect();
        let executing: BTreeSet<u32> =
            active.iter().filter(|m| m.executing).map(|m| m.task).collect();
        let complete = executing.len() == self.jobs[job].tasks as usize;
        let run_ms = self.jobs[job].run_ms;
        let run = self
            .jobs
            .get_mut(job)
            .expect("the job exists")
            .attempts
            .get_mut(&attempt)
            .expect("a started attempt");
        if let Some(requested) = run.stop_requested_at {
            let all_saved = active.iter().all(|m| matches!(m.state, TaskState::Flushing(0)));
            if complete && all_saved {
                run.checkpointed = true;
                let progress = run.progress_ms;
                let gang = self.jobs.get_mut(job).expect("the job exists");
                gang.checkpointed_ms = gang.checkpointed_ms.max(progress);
                active
                    .iter()
                    .for_each(|m| self.set_task_state(job, attempt, m, TaskState::Ended("halted")));
            } else if now > requested + GANG_PEER_MS {
                let executing = active.iter().filter(|m| m.executing);
                executing.for_each(|m| {
                    self.set_task_state(job, attempt, m, TaskState::Ended("mates_gone"));
                });
            } else {
                for member in active.iter().filter(|m| m.executing) {
                    if let TaskState::Flushing(remaining) = member.state {
                        let remaining = remaining.saturating_sub(STEP_MS);
                        self.set_task_state(job, attempt, member, TaskState::Flushing(remaining));
                    }
                }
            }
            return;
        }
        if !complete {
            run.incomplete_since.get_or_insert(now);
        }
        // A machine that resumes after a hang finds that the others have ended or are about to end.
        if let Some(since) = run.incomplete_since {
            if now > since + GANG_PEER_MS {
                let executing = active.iter().filter(|m| m.executing);
                executing.for_each(|m| {
                    self.set_task_state(job, attempt, m, TaskState::Ended("mates_gone"));
                });
            }
            return self.end_expired_waits(job, attempt, members);
        }
        run.progress_ms += STEP_MS;
        let progress = run.progress_ms;
        let gang = self.jobs.get_mut(job).expect("the job exists");
        let interval = (gang.spec["mark_every_s"].as_f64().expect("a duration") * 1000.0) as u64;
        if let Some(checkpoints) = progress.checked_div(interval) {
            gang.checkpointed_ms = gang.checkpointed_ms.max(checkpoints * interval);
        }
        if progress >= run_ms {
            gang.done_tasks.extend(0..gang.tasks);
            active
                .iter()
                .for_each(|m| self.set_task_state(job, attempt, m, TaskState::Ended("done")));
        }
    }

    /// Handles a stop command for a task of a gang.
    pub(super) fn stop_gang_task(
        &mut self,
        machine: &str,
        job: &str,
        task: u32,
        attempt: u64,
        grace_s: f64,
    ) {
        let now = self.now;
        let gang = self.jobs.get_mut(job).expect("the job exists");
        let cost_s = gang.spec["mark_cost_s"].as_f64().expect("a duration");
        let has_checkpoints = gang.spec["mark_every_s"].as_f64().expect("a duration") > 0.0;
        let run = gang.attempts.get_mut(&attempt);
        let worker = self.workers.get_mut(machine).expect("the machine exists");
        let Some(list) = worker.tasks.get_mut(&(job.to_string(), task)) else { return };
        let Some(instance) = list.iter_mut().find(|t| t.attempt == attempt) else { return };
        match (&instance.state, run) {
            (TaskState::Ended(_), _) => return,
            (TaskState::Running { .. }, Some(run)) if has_checkpoints && grace_s >= cost_s => {
                run.stop_requested_at.get_or_insert(now);
                instance.state = TaskState::Flushing((cost_s * 1000.0) as u64);
            }
            (TaskState::Flushing(_), _) if grace_s > 0.0 => return,
            _ => instance.state = TaskState::Ended("halted"),
        }
        worker.changed = true;
    }

    /// Whether there is capacity for all tasks of a gang that has none on a machine, given the machines' free
    /// GPUs, zones and whether they are spot, and the GPUs in use by team `red`.
    pub(super) fn gang_fits(
        &self,
        job: &Job,
        capacity: &[(f64, String, bool)],
        red_gpus: f64,
    ) -> bool {
        let gpus = job.spec["gpus"].as_f64().unwrap_or(0.0);
        let all = gpus * f64::from(job.tasks);
        if job.spec["crew"] == "red" && red_gpus + all > self.team_gpus_max + 1e-9 {
            return false;
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (free, zone, spot) in capacity {
            if (!spot || job.spec["lendables"] == true)
                && job.spec["yard"].as_str().is_none_or(|only| only == zone)
            {
                *slots.entry(zone).or_default() += (free / gpus + 1e-9) as u32;
            }
        }
        if job.spec["together"] == true {
            return slots.values().any(|n| *n >= job.tasks);
        }
        let cap = if job.spec["apart"] == true { job.tasks.div_ceil(2) } else { job.tasks };
        slots.values().map(|n| (*n).min(cap)).sum::<u32>() >= job.tasks
    }
}
