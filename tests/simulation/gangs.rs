//! Gangs on the fake workers: their tasks wait for each other, go on together and end together.

use super::worker::TaskState;
use super::*;

/// A task of a gang's attempt on a machine.
struct GangTask {
    machine: String,
    task: u32,
    run: TaskState,
    /// Its machine executes it at present.
    alive: bool,
}

impl Simulation {
    /// Every attempt of a gang that is on any machine.
    fn gang_attempts(&self) -> BTreeMap<(String, u64), Vec<GangTask>> {
        let mut attempts: BTreeMap<(String, u64), Vec<GangTask>> = BTreeMap::new();
        for (machine, worker) in self.workers.iter().filter(|(_, w)| !w.stopped) {
            for ((job, task), list) in &worker.tasks {
                if !self.jobs[job].is_gang() {
                    continue;
                }
                for held in list {
                    let member = GangTask {
                        machine: machine.clone(),
                        task: *task,
                        run: held.run.clone(),
                        alive: self.now >= worker.hung_until,
                    };
                    attempts.entry((job.clone(), held.attempt)).or_default().push(member);
                }
            }
        }
        attempts
    }

    fn set_task_state(&mut self, job: &str, attempt: u64, member: &GangTask, run: TaskState) {
        let key = (job.to_string(), member.task);
        let worker = self.workers.get_mut(&member.machine).expect("still there");
        worker.changed = true;
        let held = worker.tasks.get_mut(&key).expect("a task");
        held.iter_mut().filter(|t| t.attempt == attempt).for_each(|t| t.run = run.clone());
    }

    pub(super) fn gangs_step(&mut self) {
        for ((job, attempt), members) in self.gang_attempts() {
            if self.jobs[&job].attempts.contains_key(&attempt) {
                self.advance_gang(&job, attempt, &members);
            } else {
                self.assemble_gang(&job, attempt, &members);
            }
        }
    }

    /// An attempt that has not started: it does once every task waits on a machine that goes on.
    fn assemble_gang(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        let waiting = |m: &&GangTask| matches!(m.run, TaskState::Waiting(_));
        let ready: BTreeSet<u32> =
            members.iter().filter(waiting).filter(|m| m.alive).map(|m| m.task).collect();
        if ready.len() == self.jobs[job].tasks as usize {
            let saved = self.jobs[job].checkpointed_ms;
            let run = GangAttempt {
                progress_ms: saved,
                stop_requested_at: None,
                incomplete_since: None,
                checkpointed: false,
            };
            let gang = self.jobs.get_mut(job).expect("a job");
            gang.attempts.insert(attempt, run);
            gang.first_started_at.get_or_insert(now);
            for member in members.iter().filter(waiting) {
                self.set_task_state(
                    job,
                    attempt,
                    member,
                    TaskState::Running { left: u64::MAX, begun: now },
                );
            }
            return;
        }
        self.end_expired_waits(job, attempt, members);
    }

    /// Tasks that have waited for too long give up.
    fn end_expired_waits(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        for member in members.iter().filter(|m| m.alive) {
            if matches!(member.run, TaskState::Waiting(since) if now > since + GANG_WAIT_MS) {
                self.set_task_state(job, attempt, member, TaskState::Ended("alone"));
            }
        }
    }

    /// An attempt that has started: it makes progress while all its tasks are there.
    fn advance_gang(&mut self, job: &str, attempt: u64, members: &[GangTask]) {
        let now = self.now;
        let on: Vec<&GangTask> = members
            .iter()
            .filter(|m| matches!(m.run, TaskState::Running { .. } | TaskState::Flushing(_)))
            .collect();
        let there: BTreeSet<u32> = on.iter().filter(|m| m.alive).map(|m| m.task).collect();
        let whole = there.len() == self.jobs[job].tasks as usize;
        let run_ms = self.jobs[job].run_ms;
        let run =
            self.jobs.get_mut(job).expect("a job").attempts.get_mut(&attempt).expect("it runs");
        if let Some(halted) = run.stop_requested_at {
            let saved = on.iter().all(|m| matches!(m.run, TaskState::Flushing(0)));
            if whole && saved {
                run.checkpointed = true;
                let progress = run.progress_ms;
                let gang = self.jobs.get_mut(job).expect("a job");
                gang.checkpointed_ms = gang.checkpointed_ms.max(progress);
                on.iter()
                    .for_each(|m| self.set_task_state(job, attempt, m, TaskState::Ended("halted")));
            } else if now > halted + GANG_PEER_MS {
                let alive = on.iter().filter(|m| m.alive);
                alive.for_each(|m| {
                    self.set_task_state(job, attempt, m, TaskState::Ended("mates_gone"))
                });
            } else {
                for member in on.iter().filter(|m| m.alive) {
                    if let TaskState::Flushing(left) = member.run {
                        let left = left.saturating_sub(STEP_MS);
                        self.set_task_state(job, attempt, member, TaskState::Flushing(left));
                    }
                }
            }
            return;
        }
        if !whole {
            run.incomplete_since.get_or_insert(now);
        }
        // A machine that goes on after it hung finds the others gone or about to go.
        if let Some(since) = run.incomplete_since {
            if now > since + GANG_PEER_MS {
                let alive = on.iter().filter(|m| m.alive);
                alive.for_each(|m| {
                    self.set_task_state(job, attempt, m, TaskState::Ended("mates_gone"))
                });
            }
            return self.end_expired_waits(job, attempt, members);
        }
        run.progress_ms += STEP_MS;
        let progress = run.progress_ms;
        let gang = self.jobs.get_mut(job).expect("a job");
        let interval = (gang.spec["mark_every_s"].as_f64().expect("a duration") * 1000.0) as u64;
        if let Some(marks) = progress.checked_div(interval) {
            gang.checkpointed_ms = gang.checkpointed_ms.max(marks * interval);
        }
        if progress >= run_ms {
            gang.done_tasks.extend(0..gang.tasks);
            on.iter().for_each(|m| self.set_task_state(job, attempt, m, TaskState::Ended("done")));
        }
    }

    /// A task of a gang is told to stop.
    pub(super) fn stop_gang_task(
        &mut self,
        machine: &str,
        job: &str,
        task: u32,
        attempt: u64,
        grace_s: f64,
    ) {
        let now = self.now;
        let gang = self.jobs.get_mut(job).expect("a job");
        let cost_s = gang.spec["mark_cost_s"].as_f64().expect("a duration");
        let saves = gang.spec["mark_every_s"].as_f64().expect("a duration") > 0.0;
        let run = gang.attempts.get_mut(&attempt);
        let worker = self.workers.get_mut(machine).expect("still there");
        let Some(list) = worker.tasks.get_mut(&(job.to_string(), task)) else { return };
        let Some(held) = list.iter_mut().find(|t| t.attempt == attempt) else { return };
        match (&held.run, run) {
            (TaskState::Ended(_), _) => return,
            (TaskState::Running { .. }, Some(run)) if saves && grace_s >= cost_s => {
                run.stop_requested_at.get_or_insert(now);
                held.run = TaskState::Flushing((cost_s * 1000.0) as u64);
            }
            (TaskState::Flushing(_), _) if grace_s > 0.0 => return,
            _ => held.run = TaskState::Ended("halted"),
        }
        worker.changed = true;
    }

    /// Whether a gang of which nothing is on a machine has room for all its tasks: free GPUs, zone and
    /// kind of each machine are given, and what its team uses.
    pub(super) fn gang_fits(&self, job: &Job, room: &[(f64, String, bool)], red: f64) -> bool {
        let gpus = job.spec["gpus"].as_f64().unwrap_or(0.0);
        let all = gpus * f64::from(job.tasks);
        if job.spec["crew"] == "red" && red + all > self.team_gpus_max + 1e-9 {
            return false;
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (free, zone, spot) in room {
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
