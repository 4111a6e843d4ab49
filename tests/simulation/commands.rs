//! The commands that simulated workers execute.

use super::worker::{Task, TaskState};
use super::*;

/// An attempt of a task, as commands name it.
struct CommandedAttempt {
    task_id: String,
    job_id: String,
    task: u32,
    attempt: u64,
}

impl CommandedAttempt {
    fn of(command: &Value) -> CommandedAttempt {
        let task_id = command["load"].as_str().unwrap().to_string();
        let (job_id, task) = task_id.rsplit_once('/').unwrap();
        CommandedAttempt {
            job_id: job_id.to_string(),
            task: task.parse().unwrap(),
            attempt: command["try"].as_u64().unwrap(),
            task_id,
        }
    }

    /// The key of the task on its worker.
    fn task_key(&self) -> (String, u32) {
        (self.job_id.clone(), self.task)
    }
}

impl Simulation {
    /// Executes a command on a worker.
    pub(super) fn execute_command(&mut self, name: &str, command: &Value) {
        let attempt = CommandedAttempt::of(command);
        match command["verb"].as_str().unwrap() {
            "start" => self.start_attempt(name, &attempt),
            "halt" if self.jobs[&attempt.job_id].is_gang() => {
                let grace_s = command["wind_down_s"].as_f64().expect("a duration");
                let CommandedAttempt { job_id, task, attempt, .. } = attempt;
                self.stop_gang_task(name, &job_id, task, attempt, grace_s);
            }
            "halt" => self.halt_attempt(name, &attempt),
            "clear" => self.clear_attempt(name, &attempt),
            verb => panic!("unknown command: {verb}"),
        }
    }

    fn start_attempt(&mut self, name: &str, started: &CommandedAttempt) {
        let worker = self.workers.get_mut(name).expect("the machine exists");
        let attempts = worker.tasks.entry(started.task_key()).or_default();
        if attempts.iter().any(|task| task.attempt == started.attempt) {
            return;
        }
        let is_busy = attempts.iter().any(|task| !matches!(task.state, TaskState::Ended(_)));
        worker.changed = true;
        self.check_start_command(name, started);
        let job = self.jobs.get_mut(&started.job_id).expect("the job exists");
        job.start_commands += 1;
        let worker = &self.workers[name];
        let image = job.spec["kit"].as_str().unwrap();
        let pull_ms = if worker.images.contains(image) { 10 } else { 1_500 };
        let state = if is_busy {
            TaskState::Ended("busy")
        } else if self.used_gpus(name) + self.gpus_per_task(&started.job_id) > 4.0 {
            TaskState::Ended("no_room")
        } else {
            TaskState::Pulling(pull_ms)
        };
        let worker = self.workers.get_mut(name).expect("the machine exists");
        let attempts = worker.tasks.entry(started.task_key()).or_default();
        attempts.push(Task { attempt: started.attempt, state });
    }

    /// Checks a command to start an attempt that the worker doesn't have.
    fn check_start_command(&mut self, name: &str, started: &CommandedAttempt) {
        let CommandedAttempt { task_id, job_id, task, attempt } = started;
        if self.workers[name].cleared.contains(&(job_id.clone(), *task, *attempt)) {
            self.violations.push(format!("started_again {task_id} attempt {attempt}"));
        }
        // A slow batch decides at its beginning, and its effects are sent at its end.
        let batch_ms = self.nodes.iter().map(|node| node.batch_duration_ms).max().unwrap_or(0);
        let cancelled_at = self.jobs[job_id].reported_cancelled_at;
        if cancelled_at.is_some_and(|at| self.now > at + LATE_START_MS + batch_ms) {
            self.violations.push(format!("started_after_cancellation {task_id}"));
        }
    }

    fn gpus_per_task(&self, job_id: &str) -> f64 {
        self.jobs[job_id].spec["gpus"].as_f64().unwrap()
    }

    /// GPUs that unfinished attempts take on a machine.
    fn used_gpus(&self, name: &str) -> f64 {
        let attempts = self.workers[name].tasks.iter();
        let unfinished = attempts.flat_map(|((job_id, _), attempts)| {
            let present = attempts.iter().filter(|t| !matches!(t.state, TaskState::Ended(_)));
            present.map(|_| self.gpus_per_task(job_id))
        });
        unfinished.sum()
    }

    fn halt_attempt(&mut self, name: &str, halted: &CommandedAttempt) {
        let worker = self.workers.get_mut(name).expect("the machine exists");
        let attempts = worker.tasks.entry(halted.task_key()).or_default();
        for task in attempts.iter_mut().filter(|task| task.attempt == halted.attempt) {
            if !matches!(task.state, TaskState::Ended(_)) {
                task.state = TaskState::Ended("halted");
                worker.changed = true;
            }
        }
    }

    fn clear_attempt(&mut self, name: &str, cleared: &CommandedAttempt) {
        let worker = self.workers.get_mut(name).expect("the machine exists");
        worker.cleared.insert((cleared.job_id.clone(), cleared.task, cleared.attempt));
        let attempts = worker.tasks.entry(cleared.task_key()).or_default();
        attempts.retain(|task| {
            task.attempt != cleared.attempt || !matches!(task.state, TaskState::Ended(_))
        });
    }
}
