//! The fake workers: their tasks, sessions, tokens and reports.

use super::*;

#[derive(Clone, PartialEq, Debug)]
pub(super) enum TaskState {
    Pulling(u64),
    /// A task of a gang that waits for the others since then.
    Waiting(u64),
    Running {
        left: u64,
        begun: u64,
    },
    Flushing(u64),
    Ended(&'static str),
}

#[derive(Clone)]
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) run: TaskState,
}

/// A worker with its machine.
pub struct Worker {
    pub zone: String,
    pub(super) spot: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) lease_started_at: u64,
    pub(super) node: usize,
    pub(super) in_flight: Option<(u64, u64)>,
    pub(super) next_heartbeat_at: u64,
    pub(super) last_heartbeat_at: u64,
    pub(super) changed: bool,
    pub(super) tasks: BTreeMap<(String, u32), Vec<Task>>,
    pub(super) images: BTreeSet<String>,
    pub reclaim_at: Option<u64>,
    /// Nothing gets in or out.
    pub partitioned: bool,
    /// Reports are held on the way instead of lost, until then.
    pub heartbeats_delayed_until: Option<u64>,
    /// Its reports arrive, but no answer reaches it.
    pub responses_lost: bool,
    /// No controller hears it.
    pub heartbeats_lost: bool,
    /// The machine hangs until then: it executes nothing, reads nothing and sends nothing.
    pub hung_until: u64,
    /// Fails every task that it starts.
    pub fails_all_tasks: bool,
    pub stopped: bool,
}

impl Worker {
    /// Its process ends and is back at once, knowing nothing.
    pub fn restart_without_state(&mut self) {
        self.tasks.clear();
        self.incarnation = 1;
        self.sequence = 0;
        self.fencing_token = 0;
        self.in_flight = None;
    }

    /// It takes a token for seen that no controller has ever shown to it.
    pub fn set_fencing_token(&mut self, token: u64) {
        self.fencing_token = token;
    }

    /// It gives up what it waits for and reports to this controller.
    pub fn switch_to(&mut self, node: usize) {
        self.node = node;
        self.in_flight = None;
    }

    /// Tasks that take room.
    pub fn unfinished_tasks(&self) -> impl Iterator<Item = (&str, u32)> {
        self.tasks
            .iter()
            .filter(|(_, v)| v.iter().any(|t| !matches!(t.run, TaskState::Ended(_))))
            .map(|((j, n), _)| (j.as_str(), *n))
    }

    pub fn holds_task_of(&self, job: &str) -> bool {
        self.unfinished_tasks().any(|(j, _)| j == job)
    }

    pub fn running_tasks(&self) -> Vec<(String, u32)> {
        self.tasks
            .iter()
            .filter(|(_, v)| {
                v.iter().any(|t| {
                    matches!(
                        t.run,
                        TaskState::Waiting(_) | TaskState::Running { .. } | TaskState::Flushing(_)
                    )
                })
            })
            .map(|(k, _)| k.clone())
            .collect()
    }
}

impl Simulation {
    pub(super) fn worker_step(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.stopped {
            return;
        }
        if let Some(t) = w.reclaim_at {
            if now >= t && now >= w.hung_until {
                self.remove_machine(name);
                return;
            }
        }
        // One that hangs does so when it goes on, before all else; its tasks are over by then.
        if now > w.lease_started_at + LEASE_MS {
            w.tasks.clear();
            w.incarnation += 1;
            w.lease_started_at = now;
            w.in_flight = None;
            w.changed = true;
        }
        if now < w.hung_until {
            return;
        }
        let mut starts = Vec::new();
        let mut dones = Vec::new();
        for ((job, task), attempts) in &mut w.tasks {
            for t in attempts.iter_mut() {
                match &mut t.run {
                    TaskState::Pulling(left) if *left > STEP_MS => *left -= STEP_MS,
                    TaskState::Pulling(_) => {
                        let j = &self.jobs[job];
                        w.images.insert(j.spec["kit"].as_str().unwrap().into());
                        if w.fails_all_tasks || j.always_fails {
                            t.run = TaskState::Ended("error");
                        } else if j.done_tasks.contains(task) {
                            t.run = TaskState::Ended("done");
                        } else if j.is_gang() {
                            t.run = TaskState::Waiting(now);
                            starts.push((job.clone(), *task));
                        } else {
                            let left =
                                j.run_ms.saturating_add(u64::from(*task) * j.run_increment_ms);
                            t.run = TaskState::Running { left, begun: now };
                            starts.push((job.clone(), *task));
                        }
                        w.changed = true;
                    }
                    // Gangs go on together, see `gangs.rs`.
                    TaskState::Waiting(_) => {}
                    TaskState::Flushing(_) if self.jobs[job].is_gang() => {}
                    TaskState::Running { left, .. } if *left == u64::MAX => {}
                    TaskState::Running { left, .. } if *left > STEP_MS => *left -= STEP_MS,
                    TaskState::Running { .. } => {
                        t.run = TaskState::Ended("done");
                        dones.push((job.clone(), *task));
                        w.changed = true;
                    }
                    TaskState::Flushing(left) if *left > STEP_MS => *left -= STEP_MS,
                    TaskState::Flushing(_) => {
                        t.run = TaskState::Ended("halted");
                        w.changed = true;
                    }
                    TaskState::Ended(_) => {}
                }
            }
        }
        for (job, task) in dones {
            self.jobs.get_mut(&job).unwrap().done_tasks.insert(task);
        }
        for (job, task) in starts {
            self.check_task_start(name, &job, task);
        }
        let w = self.workers.get_mut(name).expect("still there");
        if let Some((_, sent)) = w.in_flight {
            if now > sent + HEARTBEAT_TIMEOUT_MS {
                w.in_flight = None;
                w.node = (w.node + 1) % 3;
                w.next_heartbeat_at = now + 1_000;
            }
        }
        let due = now >= w.next_heartbeat_at
            || (w.changed
                && now >= w.last_heartbeat_at + 500
                && now + HEARTBEAT_MS > w.next_heartbeat_at);
        if w.in_flight.is_none() && due && now >= w.last_heartbeat_at + 500 {
            w.sequence += 1;
            w.changed = false;
            w.last_heartbeat_at = now;
            let jitter = self.rng.random_range(0..HEARTBEAT_MS / 2);
            let body = self.heartbeat_body(name);
            let request = self.next_request;
            self.next_request += 1;
            let late = self.rng.random_bool(self.delayed_heartbeat_rate);
            let d = if late { self.rng.random_range(4_000..9_000) } else { self.network_delay() };
            let w = self.workers.get_mut(name).expect("still there");
            w.next_heartbeat_at = now + HEARTBEAT_MS * 3 / 4 + jitter;
            w.in_flight = Some((request, now));
            let node = w.node;
            let d = w.heartbeats_delayed_until.map_or(d, |t| t.saturating_sub(now).max(d));
            if !w.partitioned && !w.heartbeats_lost {
                if self.duplicate_heartbeat_rate > 0.0
                    && self.rng.random_bool(self.duplicate_heartbeat_rate)
                {
                    // A copy from the network: its answer reaches nobody.
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
                self.send(d, Message::Heartbeat { worker: name.into(), request, node, body });
            }
        }
    }

    pub(super) fn heartbeat_body(&self, name: &str) -> Vec<u8> {
        let w = &self.workers[name];
        let mut loads = Vec::new();
        for ((job, task), attempts) in &w.tasks {
            for t in attempts {
                let load = format!("{job}/{task}");
                let (status, cause) = match t.run {
                    TaskState::Pulling(_) => ("pulling", None),
                    TaskState::Waiting(_) => ("waiting", None),
                    TaskState::Flushing(_) if self.jobs[job].is_gang() => ("running", None),
                    TaskState::Running { .. } => ("running", None),
                    TaskState::Flushing(_) => ("flushing", None),
                    TaskState::Ended(c) => ("ended", Some(c)),
                };
                loads.push(
                    json!({"load": load, "try": t.attempt, "status": status, "cause": cause}),
                );
            }
        }
        let recall = w.reclaim_at.map(|t| t.saturating_sub(self.now) as f64 / 1000.0);
        json!({"stead": name, "address": "x", "build": "g4", "yard": w.zone, "lendables": w.spot,
            "tenure": w.incarnation, "tally": w.sequence, "baton": w.fencing_token, "recall_s": recall, "loads": loads})
        .to_string()
        .into_bytes()
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        name: &str,
        request: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        let Some((r, sent)) = w.in_flight else { return };
        if now < w.hung_until {
            // Read when the machine goes on, unless it was given up by then.
            let d = w.hung_until - now;
            if w.hung_until <= sent + HEARTBEAT_TIMEOUT_MS {
                let (worker, body) = (name.to_string(), body.to_vec());
                self.send(d, Message::HeartbeatResponse { worker, request, status, body });
            }
            return;
        }
        if r != request
            || w.partitioned
            || w.responses_lost
            || w.stopped
            || w.heartbeats_delayed_until.is_some_and(|t| now < t)
        {
            return;
        }
        w.in_flight = None;
        let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if status == 421 {
            if let Some(s) = v["steward"].as_str() {
                let to: usize = s.trim_start_matches("c-").parse().unwrap();
                if to != w.node {
                    w.node = to;
                    w.next_heartbeat_at = now + 100;
                    w.last_heartbeat_at = now.saturating_sub(400);
                    return;
                }
            }
        }
        if status != 200 {
            w.node = (w.node + 1) % 3;
            w.next_heartbeat_at = now + 1_000;
            return;
        }
        let baton = v["baton"].as_u64().unwrap();
        if baton < w.fencing_token {
            return;
        }
        if baton > w.fencing_token {
            w.fencing_token = baton;
            w.changed = true;
        }
        w.lease_started_at = sent;
        for o in v["orders"].as_array().cloned().unwrap_or_default() {
            self.handle_command(name, &o);
        }
    }

    pub(super) fn handle_command(&mut self, name: &str, o: &Value) {
        let load = o["load"].as_str().unwrap();
        let attempt = o["try"].as_u64().unwrap();
        let (job, task) = load.rsplit_once('/').unwrap();
        let key = (job.to_string(), task.parse::<u32>().unwrap());
        let w = self.workers.get_mut(name).expect("still there");
        let list = w.tasks.entry(key).or_default();
        match o["verb"].as_str().unwrap() {
            "start" => {
                if list.iter().any(|t| t.attempt == attempt) {
                    return;
                }
                // A turn that takes long decides at its begin and speaks at its end.
                let turn = self.nodes.iter().map(|n| n.batch_duration_ms).max().unwrap_or(0);
                let j = self.jobs.get_mut(job).expect("a job");
                j.start_commands += 1;
                if j.reported_cancelled_at.is_some_and(|t| self.now > t + LATE_START_MS + turn) {
                    self.violations.push(format!("started {load} after its cancellation"));
                }
                w.changed = true;
                if list.iter().any(|t| !matches!(t.run, TaskState::Ended(_))) {
                    list.push(Task { attempt, run: TaskState::Ended("busy") });
                    return;
                }
                let spec = &self.jobs[job].spec;
                let pull =
                    if w.images.contains(spec["kit"].as_str().unwrap()) { 10 } else { 1_500 };
                list.push(Task { attempt, run: TaskState::Pulling(pull) });
                let gpus: f64 = w
                    .tasks
                    .iter()
                    .flat_map(|((j, _), v)| v.iter().map(move |t| (j, t)))
                    .filter(|(_, t)| !matches!(t.run, TaskState::Ended(_)))
                    .map(|(j, _)| self.jobs[j].spec["gpus"].as_f64().unwrap())
                    .sum();
                if gpus > 4.0 {
                    let list = w.tasks.get_mut(&(job.to_string(), task.parse().unwrap())).unwrap();
                    list.last_mut().unwrap().run = TaskState::Ended("no_room");
                }
            }
            "halt" if self.jobs[job].is_gang() => {
                let grace_s = o["wind_down_s"].as_f64().expect("a duration");
                self.stop_gang_task(name, job, task.parse().unwrap(), attempt, grace_s);
            }
            "halt" => {
                for t in list.iter_mut().filter(|t| t.attempt == attempt) {
                    if !matches!(t.run, TaskState::Ended(_)) {
                        t.run = TaskState::Ended("halted");
                        w.changed = true;
                    }
                }
            }
            "clear" => {
                list.retain(|t| t.attempt != attempt || !matches!(t.run, TaskState::Ended(_)))
            }
            v => panic!("unknown order {v}"),
        }
    }

    /// Takes a copy of what a machine would report now, which reaches a controller later.
    pub fn send_duplicate_heartbeat(&mut self, machine: &str, node: usize, delay: u64) {
        let w = self.workers.get_mut(machine).expect("a machine");
        w.sequence += 1;
        let (worker, body) = (machine.to_string(), self.heartbeat_body(machine));
        self.send(delay, Message::Heartbeat { worker, request: u64::MAX, node, body });
    }

    /// Puts a running task on a machine behind the controllers' backs.
    pub fn inject_task(&mut self, machine: &str, job: &str, task: u32, attempt: u64) {
        let w = self.workers.get_mut(machine).expect("a machine");
        let run = TaskState::Running { left: u64::MAX, begun: self.now };
        w.tasks.entry((job.into(), task)).or_default().push(Task { attempt, run });
        w.changed = true;
    }
}
