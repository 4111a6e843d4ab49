//! Actions, waits and assertions of scenarios.

use super::*;

impl Simulation {
    /// Partitions a zone, with one controller in it, from the rest.
    pub fn partition_zone(&mut self, zone: &str, node: usize) {
        self.zone_partition = Some((zone.into(), node));
        self.nodes[node].partitioned_from_state = true;
        self.nodes[node].partitioned_from_peers = true;
    }

    /// Ends the partition of a zone.
    pub fn heal_zone_partition(&mut self) {
        if let Some((_, node)) = self.zone_partition.take() {
            self.nodes[node].partitioned_from_state = false;
            self.nodes[node].partitioned_from_peers = false;
        }
    }

    /// Crashes a controller, which starts again after this many milliseconds.
    pub fn crash(&mut self, i: usize, restart_after_ms: u64) {
        let process = &mut self.nodes[i];
        process.controller = None;
        process.incarnation += 1;
        process.start_at = Some(self.now + restart_after_ms);
        process.inbox.clear();
        process.deadlines.clear();
        let connections = std::mem::take(&mut process.connections);
        for connection in connections.into_values() {
            match connection {
                // The connection is reset, which the worker or user notices at once.
                Connection::Worker { name, request } => {
                    let response = HeartbeatResponse::connection_failed(name, request);
                    self.send(1, Message::HeartbeatResponse(response));
                }
                Connection::User { request } => {
                    self.send(1, Message::UserResponse { request, status: 0, body: vec![] });
                }
                Connection::Peer { .. } => {}
            }
        }
    }

    /// The controller that leads, in the highest term if several believe that they do.
    pub fn leader(&self) -> Option<usize> {
        let term_led = |node: &Node| node.controller.as_ref().and_then(|c| c.leading_term());
        (0..self.nodes.len())
            .filter(|i| term_led(&self.nodes[*i]).is_some())
            .max_by_key(|i| term_led(&self.nodes[*i]))
    }

    /// Runs for this many milliseconds; panics if an invariant is violated.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
        let (seed, now, violations) = (self.seed, self.now, &self.violations);
        assert!(
            violations.is_empty(),
            "seed {seed}, at {now} ms: violated invariants: {violations:?}"
        );
    }

    /// Runs until the condition holds; panics if it does not within `ms`.
    pub fn run_until(&mut self, ms: u64, what: &str, holds: impl Fn(&Simulation) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "not within {ms} ms: {what}");
            self.run(STEP_MS);
        }
    }

    /// Asserts that the cluster recovers once no faults are injected any more: accepted jobs stay known, batch
    /// jobs complete, all replicas of services run, and no job waits although there is capacity for it.
    pub fn assert_all_jobs_complete(&mut self) {
        self.faults_ended_at = Some(self.now);
        self.run(8_000);
        self.assert_accepted_jobs_known("at the end");
        let counted = |job: &Job| job.accepted_at.is_some() && !job.cancel_requested;
        let job_ids: Vec<String> =
            self.jobs.iter().filter(|(_, job)| counted(job)).map(|(id, _)| id.clone()).collect();
        for job_id in &job_ids {
            if self.jobs[job_id].spec["shape"] != "standing" {
                self.run_until_done(job_id, 240_000);
            } else {
                let replicas = self.jobs[job_id].tasks as usize;
                self.run_until(120_000, "all replicas run", |sim| {
                    sim.running_tasks_of(job_id) == replicas
                });
            }
        }
        self.run(5_000);
    }

    /// Asserts that every controller knows every job that was ever accepted.
    pub fn assert_accepted_jobs_known(&mut self, when: &str) {
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted_at.is_some());
        for job_id in accepted.map(|(job_id, _)| job_id.clone()).collect::<Vec<_>>() {
            let polls: Vec<u64> = (0..3).map(|i| self.poll(&job_id, i)).collect();
            let deadline = self.now + POLL_TIMEOUT_MS;
            while !polls.iter().all(|request| self.response_status(*request) == 200) {
                assert!(
                    self.now < deadline,
                    "{when}: accepted job {job_id} is unknown: {}",
                    self.describe()
                );
                self.run(100);
            }
        }
    }

    /// The report for operators on losses of the store.
    pub fn recovery_report(&mut self, node: usize) -> Value {
        let request =
            self.send_user_request(node, "", "other", "GET", "/v1/recovery".into(), vec![]);
        self.run(100);
        self.response_body(request).clone()
    }

    /// Sends an operator's decision on jobs that a rebuild could not account for.
    pub fn send_recovery_decision(&mut self, node: usize, decision: &str, request: Value) -> u64 {
        let path = format!("/v1/recovery/{decision}");
        self.send_user_request(node, "", "other", "POST", path, request.to_string().into_bytes())
    }

    /// Number of tasks that run.
    pub fn running_tasks(&self) -> usize {
        self.workers.values().map(|worker| worker.running_tasks().len()).sum()
    }

    /// Number of a job's tasks that run.
    pub fn running_tasks_of(&self, job_id: &str) -> usize {
        self.workers.values().flat_map(|w| w.running_tasks()).filter(|(j, _)| j == job_id).count()
    }

    /// Polls a job at all controllers that are up until one answers that it is done; panics after `ms`.
    pub fn run_until_done(&mut self, job_id: &str, ms: u64) {
        let end = self.now + ms;
        loop {
            for i in 0..3 {
                if self.nodes[i].controller.is_some() {
                    self.poll(job_id, i);
                }
            }
            self.run(500);
            if self.jobs[job_id].reported_done_at.is_some() {
                return;
            }
            let seed = self.seed;
            assert!(
                self.now < end,
                "seed {seed}: {job_id} not done within {ms} ms: {}",
                self.describe()
            );
        }
    }

    /// Delivers a request, possibly a malformed one, to the port for peers of a controller.
    pub fn inject_peer_request(&mut self, node: usize, path: &str, body: &[u8]) {
        let process = &mut self.nodes[node];
        let connection = process.next_connection;
        process.next_connection += 1;
        let (path, body) = (path.to_string(), body.to_vec());
        process.inbox.push(Command::Peer { connection, method: "POST".into(), path, body });
    }

    /// State of the leader and the workers, for the messages of failed scenarios.
    pub fn describe(&self) -> String {
        let up: Vec<bool> = self.nodes.iter().map(|node| node.controller.is_some()).collect();
        let workers: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.stopped)
            .map(|(name, worker)| {
                format!(
                    "{name} {} spot={} token={} node={} {:?}",
                    worker.zone,
                    worker.spot,
                    worker.fencing_token,
                    worker.node,
                    worker.running_tasks()
                )
            })
            .collect();
        let machines = self.cloud.machines.values().filter(|m| m.gone_at.is_none()).count();
        match self.leader() {
            Some(leader) => format!(
                "up {up:?}, {machines} machines, leader {leader}: {}\nworkers {workers:#?}",
                self.nodes[leader]
                    .controller
                    .as_ref()
                    .map(|controller| json!(controller.status_view(true)).to_string())
                    .unwrap_or_default()
            ),
            None => format!("up {up:?}, no leader, term key {:?}", self.state.get("mg/leader")),
        }
    }
}
