//! The simulated users: they submit, poll and cancel jobs, and check the responses.

use super::*;

/// A job: what its user has been told, and its actual state.
pub struct Job {
    pub spec: Value,
    pub tasks: u32,
    /// Duration of its first task; `u64::MAX` for services.
    pub run_ms: u64,
    pub accepted_at: Option<u64>,
    pub done_tasks: BTreeSet<u32>,
    /// When its user was first told that it is done.
    pub reported_done_at: Option<u64>,
    /// When its user was first told that it is cancelled.
    pub reported_cancelled_at: Option<u64>,
    pub cancel_requested: bool,
    pub last_status: String,
    /// Its tasks fail on every machine.
    pub always_fails: bool,
    /// Number of tasks that started on machines.
    pub starts: u32,
    /// When its first task started, or all tasks of a gang.
    pub first_started_at: Option<u64>,
    /// Number of start commands for new attempts that workers received.
    pub start_commands: u32,
    /// Must not be accepted, since it can't run or lacks a field.
    pub invalid: bool,
    /// Time by which each task runs longer than the one before it.
    pub run_increment_ms: u64,
    /// Last time at which it did not wait, or waited because there was no capacity for it.
    pub unstarved_at: u64,
    /// Progress of a gang that its checkpoints contain.
    pub checkpointed_ms: u64,
    /// Started attempts of a gang by attempt number.
    pub attempts: BTreeMap<u64, GangAttempt>,
}

impl Job {
    pub fn is_gang(&self) -> bool {
        self.spec["shape"] == "ensemble"
    }

    pub fn new(spec: Value, tasks: u32, run_ms: u64) -> Job {
        Job {
            spec,
            tasks,
            run_ms,
            accepted_at: None,
            done_tasks: BTreeSet::new(),
            reported_done_at: None,
            reported_cancelled_at: None,
            cancel_requested: false,
            last_status: String::new(),
            always_fails: false,
            starts: 0,
            first_started_at: None,
            start_commands: 0,
            invalid: false,
            run_increment_ms: 0,
            unstarved_at: 0,
            checkpointed_ms: 0,
            attempts: BTreeMap::new(),
        }
    }
}

/// A started attempt of a gang.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// Progress, including the checkpoints of earlier attempts.
    pub progress_ms: u64,
    /// When a task first received a stop command.
    pub stop_requested_at: Option<u64>,
    /// When a task was first missing.
    pub incomplete_since: Option<u64>,
    /// Whether all tasks received their stop commands in time and saved their progress.
    pub checkpointed: bool,
}

/// A user's request.
pub struct UserRequest {
    pub(super) job_id: String,
    pub(super) kind: &'static str,
    /// Status and body of the response.
    pub response: Option<(u16, Value)>,
    /// When the request was sent.
    pub sent_at: u64,
}

impl Simulation {
    /// A description of a job with one GPU per task, of team `red`.
    pub fn job_spec(&self, n: u64, shape: &str, tasks: u32) -> Value {
        json!({"uid": format!("job-{n:06}"), "duty": shape, "crew": "red", "shape": shape,
            "rank": if shape == "standing" { "production" } else { "standard" }, "loads": tasks,
            "cores": 2.0, "gpus": 1.0, "ram_gb": 4.0, "kit": "img", "size_gb": 1.0,
            "builds": null, "yard": null, "together": false, "apart": false, "lendables": shape == "batch",
            "run_guess_s": if shape == "standing" { 0.0 } else { 5.0 },
            "mark_every_s": 0.0, "mark_cost_s": 0.0})
    }

    /// Submits a job; returns the number of the request.
    pub fn submit(&mut self, spec: Value, run_ms: u64, node: usize) -> u64 {
        let job_id = spec["uid"].as_str().unwrap().to_string();
        let tasks = spec["loads"].as_u64().unwrap_or(0) as u32;
        self.gang_submitted |= spec["shape"] == "ensemble";
        self.jobs.entry(job_id.clone()).or_insert(Job::new(spec.clone(), tasks, run_ms));
        self.send_user_request(
            node,
            &job_id,
            "submit",
            "POST",
            "/v1/jobs".into(),
            spec.to_string().into_bytes(),
        )
    }

    /// Asks for the status of a job; returns the number of the request.
    pub fn poll(&mut self, job_id: &str, node: usize) -> u64 {
        self.send_user_request(node, job_id, "poll", "GET", format!("/v1/jobs/{job_id}"), vec![])
    }

    /// Cancels a job; returns the number of the request.
    pub fn cancel(&mut self, job_id: &str, node: usize) -> u64 {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.cancel_requested = true;
        }
        self.send_user_request(
            node,
            job_id,
            "cancel",
            "POST",
            format!("/v1/jobs/{job_id}/withdraw"),
            vec![],
        )
    }

    /// Sends a request to a controller's public port; returns the number of the request.
    pub fn send_user_request(
        &mut self,
        node: usize,
        job_id: &str,
        kind: &'static str,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        self.user_requests.insert(
            request,
            UserRequest { job_id: job_id.into(), kind, response: None, sent_at: self.now },
        );
        let delay = self.network_delay();
        self.send(delay, Message::UserRequest { request, node, method, path, body });
        request
    }

    /// Status of the response, 0 if there is none.
    pub fn response_status(&self, request: u64) -> u16 {
        self.user_requests[&request].response.as_ref().map_or(0, |response| response.0)
    }

    /// Body of the response; panics if there is none.
    pub fn response_body(&self, request: u64) -> &Value {
        &self.user_requests[&request].response.as_ref().expect("a response").1
    }

    /// Handles a response and checks it against what users were told before.
    pub(super) fn handle_user_response(&mut self, request: u64, status: u16, body: &[u8]) {
        let answer: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let now = self.now;
        let Some(user_request) = self.user_requests.get_mut(&request) else {
            return;
        };
        user_request.response = Some((status, answer.clone()));
        let (job_id, kind, sent_at) =
            (user_request.job_id.clone(), user_request.kind, user_request.sent_at);
        let violations = &mut self.violations;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            if status == 200 && kind != "other" {
                violations.push(format!("invented {job_id}"));
            }
            return;
        };
        let accepted_before = job.accepted_at.is_some_and(|t| t < sent_at);
        match (kind, status) {
            ("submit", 200 | 201) if job.invalid => {
                violations.push(format!("invalid_job_accepted {job_id}: {}", job.spec));
            }
            ("submit", 200 | 201) => {
                job.accepted_at.get_or_insert(now);
            }
            ("submit", 400 | 422) if accepted_before => {
                violations.push(format!("forgotten {job_id}: {status}"));
            }
            ("poll" | "cancel", 404) if accepted_before => {
                violations.push(format!("forgotten {job_id}: 404"));
            }
            _ => {}
        }
        if status != 200 && status != 201 {
            return;
        }
        let status_text = answer["status"].as_str().unwrap_or("").to_string();
        match status_text.as_str() {
            "done" => {
                if job.done_tasks.len() < job.tasks as usize {
                    violations.push(format!(
                        "not_done {job_id}: {} of {}",
                        job.done_tasks.len(),
                        job.tasks
                    ));
                }
                if job.reported_cancelled_at.is_some_and(|t| t < sent_at) {
                    violations.push(format!("went_back {job_id}: withdrawn, then done"));
                }
                job.reported_done_at.get_or_insert(now);
            }
            "withdrawn" => {
                if !job.cancel_requested {
                    violations.push(format!("went_back {job_id}: withdrawn without a request"));
                }
                if job.reported_done_at.is_some() {
                    violations.push(format!("went_back {job_id}: done, then withdrawn"));
                }
                job.reported_cancelled_at.get_or_insert(now);
            }
            _ => {
                // A delayed response to an earlier request may report an earlier status.
                if job.reported_done_at.is_some_and(|t| t < sent_at) {
                    violations.push(format!("went_back {job_id}: done, then {status_text}"));
                }
                if job.reported_cancelled_at.is_some_and(|t| t < sent_at) {
                    violations.push(format!("went_back {job_id}: withdrawn, then {status_text}"));
                }
            }
        }
        job.last_status = status_text;
    }
}
