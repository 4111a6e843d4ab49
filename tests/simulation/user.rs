//! The fake users: what they submit, ask and are told.

use super::*;

/// What users know of a job, and the truth.
pub struct Job {
    pub spec: Value,
    pub tasks: u32,
    pub run_ms: u64,
    pub accepted_at: Option<u64>,
    pub done_tasks: BTreeSet<u32>,
    /// When its user was first told that it is done.
    pub reported_done_at: Option<u64>,
    pub reported_cancelled_at: Option<u64>,
    pub cancel_requested: bool,
    pub last_status: String,
    /// Fails wherever it starts.
    pub always_fails: bool,
    pub starts: u32,
    /// When a task of it first ran.
    pub first_started_at: Option<u64>,
    /// Start orders that a worker took as new.
    pub start_commands: u32,
    /// Can't run or lacks a field: must not be accepted.
    pub invalid: bool,
    /// Milliseconds by which each task runs longer than the one before.
    pub run_increment_ms: u64,
    /// When it was last seen not to wait beside room for it.
    pub unstarved_at: u64,
    /// Progress of a gang that is safe, in milliseconds.
    pub checkpointed_ms: u64,
    /// Attempts of a gang whose tasks have all run, with what became of them.
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

/// An attempt of a gang that has started.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// Progress in milliseconds, earlier attempts' included.
    pub progress_ms: u64,
    /// When a task was first told to stop.
    pub stop_requested_at: Option<u64>,
    /// When a task was first missing.
    pub incomplete_since: Option<u64>,
    /// All tasks were told to stop in time and have saved.
    pub checkpointed: bool,
}

/// A user's request.
pub struct UserRequest {
    pub(super) uid: String,
    pub(super) kind: &'static str,
    pub answer: Option<(u16, Value)>,
    pub at: u64,
}

impl Simulation {
    pub fn job_spec(&self, n: u64, shape: &str, tasks: u32) -> Value {
        json!({"uid": format!("job-{n:06}"), "duty": shape, "crew": "red", "shape": shape,
            "rank": if shape == "standing" { "production" } else { "standard" }, "loads": tasks,
            "cores": 2.0, "gpus": 1.0, "ram_gb": 4.0, "kit": "img", "size_gb": 1.0,
            "builds": null, "yard": null, "together": false, "apart": false, "lendables": shape == "batch",
            "run_guess_s": if shape == "standing" { 0.0 } else { 5.0 },
            "mark_every_s": 0.0, "mark_cost_s": 0.0})
    }

    /// A user submits; gives the request's number.
    pub fn submit(&mut self, spec: Value, run_ms: u64, node: usize) -> u64 {
        let uid = spec["uid"].as_str().unwrap().to_string();
        let tasks = spec["loads"].as_u64().unwrap_or(0) as u32;
        self.gang_submitted |= spec["shape"] == "ensemble";
        self.jobs.entry(uid.clone()).or_insert(Job::new(spec.clone(), tasks, run_ms));
        self.send_user_request(
            node,
            &uid,
            "submit",
            "POST",
            "/v1/jobs".into(),
            spec.to_string().into_bytes(),
        )
    }

    pub fn poll(&mut self, uid: &str, node: usize) -> u64 {
        self.send_user_request(node, uid, "poll", "GET", format!("/v1/jobs/{uid}"), vec![])
    }

    pub fn cancel(&mut self, uid: &str, node: usize) -> u64 {
        if let Some(j) = self.jobs.get_mut(uid) {
            j.cancel_requested = true;
        }
        self.send_user_request(
            node,
            uid,
            "withdraw",
            "POST",
            format!("/v1/jobs/{uid}/withdraw"),
            vec![],
        )
    }

    pub fn send_user_request(
        &mut self,
        node: usize,
        uid: &str,
        kind: &'static str,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        self.user_requests
            .insert(request, UserRequest { uid: uid.into(), kind, answer: None, at: self.now });
        let d = self.network_delay();
        self.send(d, Message::UserRequest { request, node, method, path, body });
        request
    }

    pub fn response_status(&self, request: u64) -> u16 {
        self.user_requests[&request].answer.as_ref().map_or(0, |a| a.0)
    }

    pub fn response_body(&self, request: u64) -> &Value {
        &self.user_requests[&request].answer.as_ref().expect("answered").1
    }

    pub(super) fn handle_user_response(&mut self, request: u64, status: u16, body: &[u8]) {
        let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let now = self.now;
        let Some(a) = self.user_requests.get_mut(&request) else {
            return;
        };
        a.answer = Some((status, v.clone()));
        let (uid, kind, at) = (a.uid.clone(), a.kind, a.at);
        let violations = &mut self.violations;
        let Some(j) = self.jobs.get_mut(&uid) else {
            if status == 200 && kind != "other" {
                violations.push(format!("invented {uid}"));
            }
            return;
        };
        let accepted_before = j.accepted_at.is_some_and(|t| t < at);
        match (kind, status) {
            ("submit", 200 | 201) if j.invalid => {
                violations.push(format!("accepted {uid}: {}", j.spec))
            }
            ("submit", 200 | 201) => {
                j.accepted_at.get_or_insert(now);
            }
            ("submit", 400 | 422) if accepted_before => {
                violations.push(format!("forgotten {uid}: {status}"));
            }
            ("poll" | "withdraw", 404) if accepted_before => {
                violations.push(format!("forgotten {uid}: 404"));
            }
            _ => {}
        }
        if status != 200 && status != 201 {
            return;
        }
        let told = v["status"].as_str().unwrap_or("").to_string();
        match told.as_str() {
            "done" => {
                if j.done_tasks.len() < j.tasks as usize {
                    violations.push(format!(
                        "not_done {uid}: {} of {}",
                        j.done_tasks.len(),
                        j.tasks
                    ));
                }
                if j.reported_cancelled_at.is_some_and(|t| t < at) {
                    violations.push(format!("went_back {uid}: withdrawn, then done"));
                }
                j.reported_done_at.get_or_insert(now);
            }
            "withdrawn" => {
                if !j.cancel_requested {
                    violations.push(format!("went_back {uid}: withdrawn unasked"));
                }
                if j.reported_done_at.is_some() {
                    violations.push(format!("went_back {uid}: done, then withdrawn"));
                }
                j.reported_cancelled_at.get_or_insert(now);
            }
            _ => {
                // A late answer to an old question is no step back.
                if j.reported_done_at.is_some_and(|t| t < at) {
                    violations.push(format!("went_back {uid}: done, then {told}"));
                }
                if j.reported_cancelled_at.is_some_and(|t| t < at) {
                    violations.push(format!("went_back {uid}: withdrawn, then {told}"));
                }
            }
        }
        j.last_status = told;
    }
}
