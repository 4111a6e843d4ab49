//! The simulated workers: tasks, leases, fencing tokens and heartbeats.

use super::*;

/// State of a task on a worker.
#[derive(Clone, PartialEq, Debug)]
pub(super) enum TaskState {
    /// Its image is pulled for this many milliseconds more.
    Pulling(u64),
    /// Task of a gang that has waited for the others since this time.
    Waiting(u64),
    /// Runs; services and tasks of gangs have `u64::MAX` remaining.
    Running { remaining_ms: u64, started_at: u64 },
    /// Saves its progress for this many milliseconds more.
    Flushing(u64),
    /// Has ended, with the cause as in a heartbeat.
    Ended(&'static str),
}

/// An attempt of a task on a worker.
#[derive(Clone)]
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
}

/// An attempt that is on a machine, as commands name it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningAttempt {
    pub task_id: String,
    pub attempt: u64,
}

/// A worker and its machine, with the faults injected into them.
pub struct Worker {
    pub zone: String,
    pub(super) spot: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    /// When it sent the last heartbeat that a leader confirmed.
    pub(super) lease_started_at: u64,
    /// Controller to which it sends heartbeats.
    pub(super) node: usize,
    /// Request number and time of the heartbeat that awaits its response.
    pub(super) in_flight: Option<(u64, u64)>,
    pub(super) next_heartbeat_at: u64,
    pub(super) last_heartbeat_at: u64,
    /// Whether something changed since the last heartbeat, so that the next one is sent earlier.
    pub(super) changed: bool,
    /// Attempts by job id and index of the task.
    pub(super) tasks: BTreeMap<(String, u32), Vec<Task>>,
    /// Attempts that it was told to clear in its present incarnation.
    pub(super) cleared: BTreeSet<(String, u32, u64)>,
    /// Images that have been pulled.
    pub(super) images: BTreeSet<String>,
    /// When the cloud reclaims the machine, once it has given notice.
    pub reclaim_at: Option<u64>,
    /// Drops messages in both directions.
    pub partitioned: bool,
    /// Heartbeats are delivered no earlier than this time, and responses before it are dropped.
    pub heartbeats_delayed_until: Option<u64>,
    /// Its heartbeats arrive, but all responses to it are dropped.
    pub responses_lost: bool,
    /// Its heartbeats are dropped.
    pub heartbeats_lost: bool,
    /// The machine hangs until this time: it executes, reads and sends nothing.
    pub hung_until: u64,
    /// Every task that it starts fails.
    pub fails_all_tasks: bool,
    /// The machine is gone or has failed.
    pub stopped: bool,
}

impl Worker {
    /// Restarts the process, which loses its state.
    pub fn restart_without_state(&mut self) {
        self.tasks.clear();
        self.cleared.clear();
        self.incarnation = 1;
        self.sequence = 0;
        self.fencing_token = 0;
        self.in_flight = None;
    }

    /// Ends all tasks and begins the next incarnation, as when the lease expires.
    pub fn begin_incarnation(&mut self, now: u64) {
        self.tasks.clear();
        self.cleared.clear();
        self.incarnation += 1;
        self.lease_started_at = now;
        self.in_flight = None;
        self.changed = true;
    }

    /// Lets the running tasks of a job complete in the next step.
    pub fn complete_tasks_of(&mut self, job_id: &str) {
        for state in self.states_of(job_id) {
            if let TaskState::Running { remaining_ms, .. } = state {
                *remaining_ms = 0;
            }
        }
    }

    /// Ends all tasks of a job with this cause.
    pub fn end_tasks_of(&mut self, job_id: &str, cause: &'static str) {
        self.states_of(job_id).for_each(|state| *state = TaskState::Ended(cause));
        self.changed = true;
    }

    fn states_of<'a>(&'a mut self, job_id: &'a str) -> impl Iterator<Item = &'a mut TaskState> {
        let of_job = self.tasks.iter_mut().filter(move |((id, _), _)| id == job_id);
        of_job.flat_map(|(_, attempts)| attempts).map(|task| &mut task.state)
    }

    /// Sets the highest fencing token that the worker claims to have received, which may be one that no
    /// controller has sent.
    pub fn set_fencing_token(&mut self, token: u64) {
        self.fencing_token = token;
    }

    /// Gives up the heartbeat in flight and sends the next ones to this controller.
    pub fn switch_to(&mut self, node: usize) {
        self.node = node;
        self.in_flight = None;
    }

    /// Tasks that occupy resources.
    pub fn unfinished_tasks(&self) -> impl Iterator<Item = (&str, u32)> {
        self.tasks
            .iter()
            .filter(|(_, attempts)| {
                attempts.iter().any(|instance| !matches!(instance.state, TaskState::Ended(_)))
            })
            .map(|((job_id, task), _)| (job_id.as_str(), *task))
    }

    /// Whether a task of the job occupies resources.
    pub fn holds_task_of(&self, job_id: &str) -> bool {
        self.unfinished_tasks().any(|(id, _)| id == job_id)
    }

    /// Whether its heartbeats list a task of the job, also one that has ended.
    pub fn knows_task_of(&self, job_id: &str) -> bool {
        self.tasks.iter().any(|((id, _), attempts)| id == job_id && !attempts.is_empty())
    }

    /// Running tasks, including those that wait for their gang or save their progress.
    pub fn running_tasks(&self) -> Vec<(String, u32)> {
        self.tasks
            .iter()
            .filter(|(_, attempts)| {
                attempts.iter().any(|instance| {
                    matches!(
                        instance.state,
                        TaskState::Waiting(_) | TaskState::Running { .. } | TaskState::Flushing(_)
                    )
                })
            })
            .map(|(key, _)| key.clone())
            .collect()
    }
}

impl Simulation {
    /// Advances the tasks of a worker and sends a heartbeat if one is due.
    pub(super) fn worker_step(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.stopped {
            return;
        }
        if let Some(reclaim_at) = worker.reclaim_at {
            if now >= reclaim_at && now >= worker.hung_until {
                self.remove_machine(name);
                return;
            }
        }
        // The lease has expired, so all tasks end. A hung machine does this before all else when it resumes, so
        // its tasks count as ended while it still hangs.
        if now > worker.lease_started_at + LEASE_MS {
            worker.begin_incarnation(now);
        }
        if now < worker.hung_until {
            return;
        }
        self.advance_tasks(name);
        self.send_heartbeat_if_due(name);
    }

    /// Advances the tasks of a worker by one step.
    fn advance_tasks(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut started = Vec::new();
        let mut completed = Vec::new();
        for ((job_id, task), attempts) in &mut worker.tasks {
            for instance in attempts.iter_mut() {
                match &mut instance.state {
                    TaskState::Pulling(remaining_ms) if *remaining_ms > STEP_MS => {
                        *remaining_ms -= STEP_MS;
                    }
                    TaskState::Pulling(_) => {
                        let job = &self.jobs[job_id];
                        worker.images.insert(job.spec["kit"].as_str().unwrap().into());
                        if worker.fails_all_tasks || job.always_fails {
                            instance.state = TaskState::Ended("error");
                        } else if job.done_tasks.contains(task) {
                            instance.state = TaskState::Ended("done");
                        } else if job.is_gang() {
                            instance.state = TaskState::Waiting(now);
                            started.push((job_id.clone(), *task));
                        } else {
                            let remaining_ms =
                                job.run_ms.saturating_add(u64::from(*task) * job.run_increment_ms);
                            instance.state = TaskState::Running { remaining_ms, started_at: now };
                            started.push((job_id.clone(), *task));
                        }
                        worker.changed = true;
                    }
                    // The tasks of a gang advance together, see `gangs.rs`.
                    TaskState::Waiting(_) => {}
                    TaskState::Flushing(_) if self.jobs[job_id].is_gang() => {}
                    TaskState::Running { remaining_ms, .. } if *remaining_ms == u64::MAX => {}
                    TaskState::Running { remaining_ms, .. } if *remaining_ms > STEP_MS => {
                        *remaining_ms -= STEP_MS;
                    }
                    TaskState::Running { .. } => {
                        instance.state = TaskState::Ended("done");
                        completed.push((job_id.clone(), *task));
                        worker.changed = true;
                    }
                    TaskState::Flushing(remaining_ms) if *remaining_ms > STEP_MS => {
                        *remaining_ms -= STEP_MS;
                    }
                    TaskState::Flushing(_) => {
                        instance.state = TaskState::Ended("halted");
                        worker.changed = true;
                    }
                    TaskState::Ended(_) => {}
                }
            }
        }
        for (job_id, task) in completed {
            self.jobs.get_mut(&job_id).unwrap().done_tasks.insert(task);
        }
        for (job_id, task) in started {
            self.check_task_start(name, &job_id, task);
        }
    }

    /// Gives up a heartbeat that has had no response for too long, and sends the next one if it is due.
    fn send_heartbeat_if_due(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("the machine exists");
        if let Some((_, sent)) = worker.in_flight {
            if now > sent + HEARTBEAT_TIMEOUT_MS {
                worker.in_flight = None;
                worker.node = (worker.node + 1) % 3;
                worker.next_heartbeat_at = now + 1_000;
            }
        }
        let due = now >= worker.next_heartbeat_at
            || (worker.changed
                && now >= worker.last_heartbeat_at + 500
                && now + HEARTBEAT_MS > worker.next_heartbeat_at);
        if worker.in_flight.is_none() && due && now >= worker.last_heartbeat_at + 500 {
            worker.sequence += 1;
            worker.changed = false;
            worker.last_heartbeat_at = now;
            let jitter = self.rng.random_range(0..HEARTBEAT_MS / 2);
            let body = self.heartbeat_body(name);
            let request = self.next_request;
            self.next_request += 1;
            let late = self.rng.random_bool(self.delayed_heartbeat_rate);
            let delay =
                if late { self.rng.random_range(4_000..9_000) } else { self.network_delay() };
            let worker = self.workers.get_mut(name).expect("the machine exists");
            worker.next_heartbeat_at = now + HEARTBEAT_MS * 3 / 4 + jitter;
            worker.in_flight = Some((request, now));
            let node = worker.node;
            let delay = worker
                .heartbeats_delayed_until
                .map_or(delay, |until| until.saturating_sub(now).max(delay));
            if !worker.partitioned && !worker.heartbeats_lost {
                if self.duplicate_heartbeat_rate > 0.0
                    && self.rng.random_bool(self.duplicate_heartbeat_rate)
                {
                    // A duplicate made by the network; its response is dropped.
                    let (late, to) = (
                        self.rng.random_range(2_000..self.duplicate_delay_max_ms),
                        self.rng.random_range(0..3),
                    );
                    let copy = Message::Heartbeat {
                        worker: name.into(),
                        request: u64::MAX,
                        node: to,
                        body: body.clone(),
                    };
                    self.send(late, copy);
                }
                self.send(delay, Message::Heartbeat { worker: name.into(), request, node, body });
            }
        }
    }

    /// Body of the heartbeat that a worker would send now.
    pub(super) fn heartbeat_body(&self, name: &str) -> Vec<u8> {
        let worker = &self.workers[name];
        let mut reports = Vec::new();
        for ((job_id, task), attempts) in &worker.tasks {
            for instance in attempts {
                let task_id = format!("{job_id}/{task}");
                let (status, cause) = match instance.state {
                    TaskState::Pulling(_) => ("pulling", None),
                    TaskState::Waiting(_) => ("waiting", None),
                    TaskState::Flushing(_) if self.jobs[job_id].is_gang() => ("running", None),
                    TaskState::Running { .. } => ("running", None),
                    TaskState::Flushing(_) => ("flushing", None),
                    TaskState::Ended(c) => ("ended", Some(c)),
                };
                reports.push(
                    json!({"load": task_id, "try": instance.attempt, "status": status, "cause": cause}),
                );
            }
        }
        let reclaim_s = worker.reclaim_at.map(|at| at.saturating_sub(self.now) as f64 / 1000.0);
        json!({"stead": name, "address": "x", "build": "g4", "yard": worker.zone, "lendables": worker.spot,
            "tenure": worker.incarnation, "tally": worker.sequence, "baton": worker.fencing_token, "recall_s": reclaim_s, "loads": reports})
        .to_string()
        .into_bytes()
    }

    /// Handles the response to a heartbeat: its status, fencing token and commands.
    pub(super) fn handle_heartbeat_response(&mut self, response: &HeartbeatResponse) {
        let now = self.now;
        let HeartbeatResponse { worker: name, request, status, body } = response;
        let (request, status) = (*request, *status);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((awaited, sent)) = worker.in_flight else { return };
        if now < worker.hung_until {
            // Read when the machine resumes, unless the heartbeat has timed out by then.
            let delay = worker.hung_until - now;
            if worker.hung_until <= sent + HEARTBEAT_TIMEOUT_MS {
                let (worker, body) = (name.clone(), body.clone());
                let response = HeartbeatResponse { worker, request, status, body };
                self.send(delay, Message::HeartbeatResponse(response));
            }
            return;
        }
        if awaited != request
            || worker.partitioned
            || worker.responses_lost
            || worker.stopped
            || worker.heartbeats_delayed_until.is_some_and(|t| now < t)
        {
            return;
        }
        worker.in_flight = None;
        let response: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if status == 421 {
            if let Some(leader) = response["steward"].as_str() {
                let to: usize = leader.trim_start_matches("c-").parse().unwrap();
                if to != worker.node {
                    worker.node = to;
                    worker.next_heartbeat_at = now + 100;
                    worker.last_heartbeat_at = now.saturating_sub(400);
                    return;
                }
            }
        }
        if status != 200 {
            worker.node = (worker.node + 1) % 3;
            worker.next_heartbeat_at = now + 1_000;
            return;
        }
        let token = response["baton"].as_u64().unwrap();
        if token < worker.fencing_token {
            return;
        }
        if token > worker.fencing_token {
            worker.fencing_token = token;
            worker.changed = true;
        }
        worker.lease_started_at = sent;
        for command in response["orders"].as_array().cloned().unwrap_or_default() {
            self.execute_command(name, &command);
        }
    }

    /// Sends a controller a duplicate of the heartbeat that a worker would send now, with a delay.
    pub fn send_duplicate_heartbeat(&mut self, machine: &str, node: usize, delay: u64) {
        let worker = self.workers.get_mut(machine).expect("the machine exists");
        worker.sequence += 1;
        let (worker, body) = (machine.to_string(), self.heartbeat_body(machine));
        self.send(delay, Message::Heartbeat { worker, request: u64::MAX, node, body });
    }

    /// The attempts of a job that are on machines, each with its machine.
    pub fn attempts_of(&self, job_id: &str) -> Vec<(String, RunningAttempt)> {
        let mut found = Vec::new();
        for (machine, worker) in self.workers.iter().filter(|(_, worker)| !worker.stopped) {
            for ((id, task), attempts) in worker.tasks.iter().filter(|((id, _), _)| id == job_id) {
                let present =
                    attempts.iter().filter(|task| !matches!(task.state, TaskState::Ended(_)));
                found.extend(present.map(|instance| {
                    let task_id = format!("{id}/{task}");
                    (machine.clone(), RunningAttempt { task_id, attempt: instance.attempt })
                }));
            }
        }
        found
    }

    /// Lets a worker execute a direct start command, as one that was held up on its way.
    pub fn execute_direct_start(&mut self, machine: &str, started: &RunningAttempt) {
        let command = json!({"verb": "start", "load": started.task_id, "try": started.attempt});
        self.execute_command(machine, &command);
    }

    /// Makes a machine run a task that no controller has started.
    pub fn inject_task(&mut self, machine: &str, job_id: &str, task: u32, attempt: u64) {
        let worker = self.workers.get_mut(machine).expect("the machine exists");
        let state = TaskState::Running { remaining_ms: u64::MAX, started_at: self.now };
        worker.tasks.entry((job_id.into(), task)).or_default().push(Task { attempt, state });
        worker.changed = true;
    }
}
