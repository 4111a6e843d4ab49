//! What scenarios do and wait for.

use super::*;

impl World {
    /// Cuts a zone off with one controller in it.
    pub fn cut_zone(&mut self, zone: &str, node: usize) {
        self.zone_cut = Some((zone.into(), node));
        self.nodes[node].cut_state = true;
        self.nodes[node].cut_peers = true;
    }

    /// Ends that.
    pub fn join_zone(&mut self) {
        if let Some((_, node)) = self.zone_cut.take() {
            self.nodes[node].cut_state = false;
            self.nodes[node].cut_peers = false;
        }
    }

    pub fn crash(&mut self, i: usize, back_in: u64) {
        let n = &mut self.nodes[i];
        n.core = None;
        n.life += 1;
        n.start_at = Some(self.now + back_in);
        n.inbox.clear();
        n.deadlines.clear();
        let conns = std::mem::take(&mut n.conns);
        for c in conns.into_values() {
            match c {
                // A reset connection: the worker or user notices at once.
                Conn::Worker { name, request } => {
                    self.send(1, Msg::Answer { worker: name, request, status: 0, body: vec![] });
                }
                Conn::User { request } => {
                    self.send(1, Msg::UserAnswer { request, status: 0, body: vec![] });
                }
                Conn::Peer { .. } => {}
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.core.as_ref().and_then(|c| c.leading_term());
        (0..self.nodes.len())
            .filter(|i| leads(&self.nodes[*i]).is_some())
            .max_by_key(|i| leads(&self.nodes[*i]))
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
        let (seed, now, broken) = (self.seed, self.now, &self.broken);
        assert!(broken.is_empty(), "seed {seed}, at {now} ms: rules broken: {broken:?}");
    }

    /// Runs until something holds; panics after `ms`.
    pub fn until(&mut self, ms: u64, what: &str, holds: impl Fn(&World) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "not within {ms} ms: {what}");
            self.run(STEP_MS);
        }
    }

    /// All troubles are over: what was accepted stays known, batch jobs come to their end,
    /// services run in full, and none waits beside room for it.
    pub fn ends_well(&mut self) {
        self.calm_since = Some(self.now);
        self.run(8_000);
        self.all_stay_known("in the end");
        let kept = |j: &Job| j.accepted_at.is_some() && !j.asked_withdraw;
        let uids: Vec<String> =
            self.jobs.iter().filter(|(_, j)| kept(j)).map(|(u, _)| u.clone()).collect();
        for uid in &uids {
            if self.jobs[uid].spec["shape"] != "standing" {
                self.until_done(uid, 240_000);
            } else {
                let n = self.jobs[uid].loads as usize;
                self.until(120_000, "all replicas run", |w| w.running_of(uid) == n);
            }
        }
        self.run(5_000);
    }

    /// Every job that was ever accepted stays known, each one, to every controller.
    pub fn all_stay_known(&mut self, when: &str) {
        let accepted = self.jobs.iter().filter(|(_, j)| j.accepted_at.is_some());
        for uid in accepted.map(|(uid, _)| uid.clone()).collect::<Vec<_>>() {
            let asked: Vec<u64> = (0..3).map(|i| self.poll(&uid, i)).collect();
            let limit = self.now + FORGOTTEN_MS;
            while !asked.iter().all(|r| self.status(*r) == 200) {
                assert!(self.now < limit, "{when}: {uid} is forgotten: {}", self.view());
                self.run(100);
            }
        }
    }

    /// What a controller tells operators of losses of the store.
    pub fn recovery_report(&mut self, node: usize) -> Value {
        let request = self.ask(node, "", "other", "GET", "/v1/recovery".into(), vec![]);
        self.run(100);
        self.answer(request).clone()
    }

    /// An operator decides on jobs that a rebuild could not account for.
    pub fn decide(&mut self, node: usize, decision: &str, request: Value) -> u64 {
        let path = format!("/v1/recovery/{decision}");
        self.ask(node, "", "other", "POST", path, request.to_string().into_bytes())
    }

    /// Tasks that run on any machine.
    pub fn running(&self) -> usize {
        self.workers.values().map(|x| x.running().len()).sum()
    }

    /// Tasks of a job that run.
    pub fn running_of(&self, uid: &str) -> usize {
        self.workers.values().flat_map(|w| w.running()).filter(|(j, _)| j == uid).count()
    }

    /// Whether a job is done, as its user is told by a poll at any controller that is up.
    pub fn until_done(&mut self, uid: &str, ms: u64) {
        let end = self.now + ms;
        loop {
            for i in 0..3 {
                if self.nodes[i].core.is_some() {
                    self.poll(uid, i);
                }
            }
            self.run(500);
            if self.jobs[uid].done_told.is_some() {
                return;
            }
            assert!(self.now < end, "{uid} not done within {ms} ms: {}", self.view());
        }
    }

    /// Something that is no message of a peer reaches a controller from where its peers are.
    pub fn peer_says(&mut self, node: usize, path: &str, body: &[u8]) {
        let n = &mut self.nodes[node];
        let connection = n.next_conn;
        n.next_conn += 1;
        let (path, body) = (path.to_string(), body.to_vec());
        n.inbox.push(Command::Peer { connection, method: "POST".into(), path, body });
    }

    /// What the leader and the workers see, for messages of failed stories.
    pub fn view(&self) -> String {
        let up: Vec<bool> = self.nodes.iter().map(|n| n.core.is_some()).collect();
        let hosts: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead)
            .map(|(n, w)| {
                format!(
                    "{n} {} spot={} baton={} node={} {:?}",
                    w.yard,
                    w.spot,
                    w.baton,
                    w.node,
                    w.running()
                )
            })
            .collect();
        let alive = self.cloud.hosts.values().filter(|h| h.gone.is_none()).count();
        match self.leader() {
            Some(l) => format!(
                "up {up:?}, {alive} hosts, leader {l}: {}\nworkers {hosts:#?}",
                self.nodes[l]
                    .core
                    .as_ref()
                    .map(|c| json!(c.status_view(true)).to_string())
                    .unwrap_or_default()
            ),
            None => format!("up {up:?}, no leader, term key {:?}", self.state.get("mg/leader")),
        }
    }
}
