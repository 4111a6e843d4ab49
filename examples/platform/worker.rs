//! The workers: each sends heartbeats and executes the commands in the responses. A task of a batch job or a
//! gang runs for the estimated time in its job's spec, a task of a service until it is halted.

use super::server::post;
use super::shared_state::{lock, Machine, Shared};
use mountgap::storage::records;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

/// Seconds from a rental to the worker's first heartbeat.
pub const STARTUP_S: u64 = 2;
/// Time between a worker's heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Runs a machine's worker until the machine is returned.
pub fn run(platform: &Shared, machine: &str) {
    thread::sleep(Duration::from_secs(STARTUP_S));
    let controllers = lock(platform).controllers.clone();
    let address = lock(platform).worker_address.clone();
    let mut worker = Worker {
        platform,
        name: machine,
        address,
        tasks: BTreeMap::new(),
        sequence: 0,
        fencing_token: 0,
        controllers,
        controller_index: 0,
    };
    loop {
        let rented = lock(platform).machines.get(machine).cloned();
        let Some(rented) = rented else { return };
        worker.update_tasks();
        worker.send_heartbeat(&rented);
        thread::sleep(HEARTBEAT_PERIOD);
    }
}

struct Worker<'a> {
    platform: &'a Shared,
    name: &'a str,
    /// Its address for direct commands, as heartbeats give it.
    address: String,
    tasks: BTreeMap<TaskAttempt, Task>,
    sequence: u64,
    /// The highest fencing token seen; responses with a lower one are ignored.
    fencing_token: u64,
    controllers: Vec<String>,
    /// Index of the controller that the worker sends heartbeats to.
    controller_index: usize,
}

/// Identifies an attempt of a task.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TaskAttempt {
    task_id: String,
    attempt: u64,
}

/// A task on a worker.
struct Task {
    /// How long the task runs; `None` if it runs until it is halted.
    run_time: Option<Duration>,
    /// When the task began to run; `None` while a gang's task waits for the others.
    running_since: Option<Instant>,
    /// Number of tasks of its gang; 0 for other jobs.
    gang_size: usize,
    /// Why the task has ended.
    end_cause: Option<&'static str>,
}

impl Worker<'_> {
    fn update_tasks(&mut self) {
        let now = Instant::now();
        for (id, task) in &mut self.tasks {
            if task.waits_for_gang() {
                task.running_since = join_gang(self.platform, id, task.gang_size);
            }
            if task.has_finished(now) {
                task.end_cause = Some("done");
            }
        }
    }

    /// Sends a heartbeat and executes the commands in the response, unless its fencing token is outdated.
    fn send_heartbeat(&mut self, machine: &Machine) {
        self.sequence += 1;
        let heartbeat = self.heartbeat(machine);
        let response = post(&self.controllers[self.controller_index], "/checkin", &heartbeat);
        self.choose_controller(response.as_ref());
        let Some((200, response)) = response else { return };
        let token = response["baton"].as_u64().unwrap_or(0);
        if token < self.fencing_token {
            return;
        }
        self.fencing_token = token;
        for command in response["orders"].as_array().into_iter().flatten() {
            self.execute(command);
        }
    }

    fn heartbeat(&self, machine: &Machine) -> Value {
        let tasks: Vec<Value> = self.tasks.iter().map(|(id, task)| task.report(id)).collect();
        json!({"stead": self.name, "address": self.address, "build": "small", "yard": machine.zone,
            "lendables": machine.spot, "tenure": 1, "tally": self.sequence,
            "baton": self.fencing_token, "recall_s": null, "loads": tasks})
    }

    /// Follows a redirect; switches to the next controller if this one did not respond or failed.
    fn choose_controller(&mut self, response: Option<&(u16, Value)>) {
        let next = self.controller_index + 1;
        let chosen = match response {
            Some((200, _)) => self.controller_index,
            Some((421, body)) => index_of_controller(&body["steward"]).unwrap_or(next),
            _ => next,
        };
        self.controller_index = chosen % self.controllers.len();
    }

    fn execute(&mut self, command: &Value) {
        let task_id = command["load"].as_str().unwrap_or_default().to_string();
        let attempt = command["try"].as_u64().unwrap_or(0);
        let id = TaskAttempt { task_id, attempt };
        match command["verb"].as_str() {
            Some("start") => self.start(id),
            Some("halt") => {
                if let Some(task) = self.tasks.get_mut(&id) {
                    task.end_cause = task.end_cause.or(Some("halted"));
                }
            }
            _ => {
                self.tasks.remove(&id);
            }
        }
    }

    fn start(&mut self, id: TaskAttempt) {
        *lock(self.platform).starts.entry(id.task_id.clone()).or_insert(0) += 1;
        println!("{}: {} starts", self.name, id.task_id);
        self.tasks.entry(id).or_insert_with_key(|id| create_task(self.platform, &id.task_id));
    }
}

impl Task {
    fn status(&self) -> &'static str {
        match (self.end_cause, self.running_since) {
            (Some(_), _) => "ended",
            (None, Some(_)) => "running",
            (None, None) => "waiting",
        }
    }

    fn report(&self, id: &TaskAttempt) -> Value {
        json!({"load": id.task_id, "try": id.attempt, "status": self.status(),
            "cause": self.end_cause})
    }

    fn waits_for_gang(&self) -> bool {
        self.gang_size > 0 && self.running_since.is_none() && self.end_cause.is_none()
    }

    fn has_finished(&self, now: Instant) -> bool {
        let ends_at =
            self.running_since.and_then(|running_since| Some(running_since + self.run_time?));
        self.end_cause.is_none() && ends_at.is_some_and(|ends_at| now >= ends_at)
    }
}

/// Index of the controller that a redirect names by its label.
fn index_of_controller(label: &Value) -> Option<usize> {
    label.as_str()?.strip_prefix("node-")?.parse().ok()
}

fn job_id_of(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or_default()
}

/// Creates the task for a start command. Real workers get the job's spec from its user; this one reads the spec
/// that the controllers have written to the store.
fn create_task(platform: &Shared, task_id: &str) -> Task {
    let spec = job_spec(platform, job_id_of(task_id));
    let run_time = Duration::from_secs_f64(spec["run_guess_s"].as_f64().unwrap_or(0.0));
    let gang_size = match spec["shape"] == "ensemble" {
        true => spec["loads"].as_u64().unwrap_or(0) as usize,
        false => 0,
    };
    Task {
        run_time: (spec["shape"] != "standing").then_some(run_time),
        running_since: (gang_size == 0).then(Instant::now),
        gang_size,
        end_cause: None,
    }
}

fn job_spec(platform: &Shared, job_id: &str) -> Value {
    let platform = lock(platform);
    let prefixes = [records::batch_key(""), records::gang_batch_key("")];
    let is_batch = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
    let batches = platform.store.keys.iter().filter(|(key, _)| is_batch(key));
    let mut jobs =
        batches.flat_map(|(_, batch)| batch.value["jobs"].as_array().into_iter().flatten());
    jobs.find(|spec| spec["uid"] == job_id).cloned().unwrap_or_default()
}

/// Records that a gang's task has arrived, and returns when the attempt became complete; `None` while a task is
/// missing.
fn join_gang(platform: &Shared, id: &TaskAttempt, gang_size: usize) -> Option<Instant> {
    let mut platform = lock(platform);
    let gang = platform.gangs.entry((job_id_of(&id.task_id).to_string(), id.attempt)).or_default();
    gang.tasks.insert(id.task_id.clone());
    if gang.tasks.len() >= gang_size {
        gang.complete_since.get_or_insert_with(Instant::now);
    }
    gang.complete_since
}
