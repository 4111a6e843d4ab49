//! The leader: takeover, write-ahead commits, planning passes, evidence that time gives.

use super::fleet::Fleet;
use super::planner::{self, JobView, MachineView, Running, Snapshot, TeamView};
use super::workers::HeldReport;
use super::*;
use crate::bookkeeping::books::*;
use crate::bookkeeping::records::*;
use crate::protocol::state::{raw, Committed, Conflict, If, Write};
use crate::protocol::users::Shape;
use crate::protocol::workers::{Cause, TaskStatus};
use crate::protocol::Resources;
use std::collections::BTreeMap;

/// A commit that is under way.
#[derive(Debug)]
struct InFlight {
    commit: Commit,
    body: Vec<u8>,
    /// Machines whose keys it writes, with the placements that it settles.
    machines: Vec<(Name, Vec<TaskId>)>,
    chunks: Vec<(Name, u32)>,
    finishes: Vec<Name>,
    garbage: Vec<(String, u64)>,
    /// It was sent at least once with no answer: it may have been applied.
    unclear: bool,
    /// A copy is out now.
    sent: bool,
    /// Waits for a read that tells what became of it.
    reading: Option<u64>,
    not_before: u64,
}

/// Run times seen for a class of jobs, against what owners guessed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunStats {
    ratio: f64,
    samples: u32,
}

/// A leader's state.
pub struct Leader {
    pub term: u64,
    /// Stamp of the leader key: condition of every commit.
    pub stamp: u64,
    pub(super) tenancy: u64,
    pub(super) renew_at: u64,
    pub(super) renewing: bool,
    /// The books are built.
    pub ready: bool,
    pub books: Books,
    pub(super) fleet: Fleet,
    pub(super) held: Vec<HeldReport>,
    pub(super) began: u64,
    /// Last report of any worker.
    pub(super) heard_at: u64,
    /// When the next line of the day's story is due.
    story_at: u64,
    counter: u64,
    flight: Option<InFlight>,
    plan_at: u64,
    planned_at: u64,
    done_at: u64,
    pub(super) runs: BTreeMap<String, RunStats>,
    pub(super) reservation: Option<(Name, Name)>,
    /// The teams' shares, in thousandths of the fleet, and whether they are in the store.
    pub(super) shares: Vec<i64>,
    shares_written: bool,
    catalog_written: bool,
}

impl Leader {
    pub(super) fn new(term: u64, stamp: u64, tenancy: u64, now: u64) -> Leader {
        Leader {
            term,
            stamp,
            tenancy,
            renew_at: now + c::LEADER_RENEW_MS,
            renewing: false,
            ready: false,
            books: Books::default(),
            fleet: Fleet::new(now),
            held: Vec::new(),
            began: now,
            heard_at: now,
            story_at: now + c::STORY_PERIOD_MS,
            counter: 0,
            flight: None,
            plan_at: now,
            planned_at: 0,
            done_at: now,
            runs: BTreeMap::new(),
            reservation: None,
            shares: Vec::new(),
            shares_written: true,
            catalog_written: false,
        }
    }

    /// A number never used before or after: the term and a counter.
    pub(super) fn unique(&mut self) -> u64 {
        self.counter += 1;
        (self.term << c::ATTEMPT_BITS) + self.counter
    }

    /// One line on how things stand.
    fn tell(&self) {
        let books = &self.books;
        let count = |f: &dyn Fn(&Machine) -> bool| books.machines.values().filter(|m| f(m)).count();
        let up = |m: &Machine| m.life == Life::Up && !m.lapsed;
        let mut free = Resources::default();
        for m in books.machines.values().filter(|m| up(m)) {
            free += books.free(m);
        }
        let open = || {
            books
                .machines
                .values()
                .flat_map(|m| m.placements.values())
                .filter(|p| p.ended.is_none())
        };
        log::info!(
            "{} ordinary and {} spot machines up, {} idle, {} booting; {} tasks run, {} start, {} stop, {} wait; {} cores and {} gpus free",
            count(&|m| up(m) && !m.spot),
            count(&|m| up(m) && m.spot),
            count(&|m| up(m) && m.placements.is_empty()),
            count(&|m| m.life == Life::Booting),
            open().filter(|p| p.running_since.is_some() && p.halt.is_none()).count(),
            open().filter(|p| p.running_since.is_none() && p.halt.is_none()).count(),
            open().filter(|p| p.halt.is_some()).count(),
            books.jobs.values().map(|j| u64::from(j.waiting())).sum::<u64>(),
            free.cpu / 1000,
            free.gpu / 1000,
        );
    }

    /// A pass is wanted before its period is over.
    pub(super) fn plan_soon(&mut self, now: u64) {
        self.plan_at = self.plan_at.min(now.max(self.planned_at + c::PASS_GAP_MS));
    }

    pub(super) fn hurry(&self) -> bool {
        !self.held.is_empty() || self.books.machines.values().any(|m| m.urgent)
    }

    /// Whether a commit that may bring orders for a worker is under way or due.
    pub(super) fn deciding(&self, now: u64) -> bool {
        self.flight.as_ref().is_some_and(|f| !f.unclear) || self.plan_at <= now + c::PASS_GAP_MS
    }

    /// The run time to expect of a job's task, in milliseconds: the owner's guess, corrected
    /// by what its class was seen to take.
    pub(super) fn run_ms(&self, spec: &Spec) -> u64 {
        if spec.shape == Shape::Standing {
            return (c::STANDING_REF_S * c::MS_PER_S) as u64;
        }
        let ratio = match self.runs.get(&spec.duty) {
            Some(r) if r.samples >= c::RATIO_SAMPLES_MIN => r.ratio,
            _ => 1.0,
        };
        ((spec.run_guess_s * ratio).max(c::ESTIMATE_MIN_S) * c::MS_PER_S) as u64
    }

    /// Learns from a run that ended well.
    pub(super) fn learn_run(&mut self, spec: &Spec, ran_ms: u64) {
        if spec.run_guess_s <= 0.0 {
            return;
        }
        let seen = (ran_ms as f64 / c::MS_PER_S / spec.run_guess_s).clamp(0.05, 20.0);
        let r = self.runs.entry(spec.duty.clone()).or_default();
        r.samples += 1;
        let w = c::AVERAGE_WEIGHT.max(1.0 / f64::from(r.samples));
        r.ratio += (seen - r.ratio) * w;
    }
}

impl Controller {
    pub(super) fn leader_due(&mut self) {
        self.check_term();
        if self.leader.is_none() {
            return;
        }
        self.renew_due();
        if !self.leader.as_ref().is_some_and(|l| l.ready) {
            self.flush_held();
            return;
        }
        self.lapse_due();
        self.deaf_due();
        if self.leader.is_none() {
            return;
        }
        self.fleet_due();
        let now = self.now.mono;
        if let Some(l) = self.leader.as_mut().filter(|l| now >= l.story_at) {
            l.story_at = now + c::STORY_PERIOD_MS;
            l.tell();
        }
        if self.leader.as_ref().is_some_and(|l| l.plan_at <= now) && self.served() {
            self.plan_pass();
        }
        self.commit_due();
        self.flush_held();
    }

    /// A read that was begun after the election, or after an unclear commit, is in.
    pub(super) fn leader_fresh(&mut self, begun: u64) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.ready {
            if self.replica.rev < l.stamp {
                return self.leader_wants_fresh();
            }
            l.books = Books::from_replica(&self.replica, now);
            l.ready = true;
            if let Some(rec) = &self.replica.shares {
                let of = |t: &str| rec.value.teams.iter().find(|(n, _)| n == t).map(|(_, s)| *s);
                l.shares = self.cfg.params.teams.iter().map(|t| of(&t.name).unwrap_or(0)).collect();
            }
            l.plan_at = now;
            log::info!(
                "term {}: {} live jobs, {} machines with placements",
                l.term,
                l.books.queue.len(),
                l.books.machines.len()
            );
            return self.check_term();
        }
        self.resolve_flight(begun);
    }

    // --- evidence by time --------------------------------------------------------

    /// Leases that have surely run out: the worker had shown our baton, so nobody of a
    /// lower term can have renewed it, and our last answer is older than the lease.
    fn lapse_due(&mut self) {
        let now = self.now.mono;
        let lease = self.lease_ms();
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let mut lapsed = Vec::new();
        for m in l.books.machines.values_mut() {
            let Some(answered) = m.answered_at else {
                continue;
            };
            if m.shows_baton && !m.lapsed && m.life == Life::Up && now > answered + lease {
                m.lapsed = true;
                lapsed.push(m.name.clone());
            }
        }
        for name in lapsed {
            log::info!("{name}: silent, its lease has run out");
            l.books.settle_all(&name);
            l.plan_soon(now);
        }
    }

    /// The longest time after an answer at which a worker may still run tasks.
    pub(super) fn lease_ms(&self) -> u64 {
        let s = self.cfg.params.workers.lease_s * (1.0 + c::CLOCK_DRIFT);
        (s * c::MS_PER_S) as u64 + c::LEASE_MARGIN_MS
    }

    /// Whether workers may be answered: without the state service we may not know of a
    /// cancellation, and its tasks must be gone within `cancel_s` of it; a worker that we
    /// answer runs them for one more lease.
    pub(super) fn may_answer(&self) -> bool {
        let now = self.now.mono;
        let Some(known) = self.sync.fresh_at else {
            return false;
        };
        let w = &self.cfg.params.workers;
        let lease = (w.lease_s * (1.0 + c::CLOCK_DRIFT) * c::MS_PER_S) as u64;
        let cancel = (w.cancel_s * (1.0 - c::CLOCK_DRIFT) * c::MS_PER_S) as u64;
        let span = cancel.saturating_sub(lease + c::CANCEL_MARGIN_MS);
        if now - known <= span {
            return true;
        }
        // If every controller is refused as well, and none has had an answer newer than
        // what we know, nobody can have told a user of a cancellation.
        let fresh: Vec<_> = self.fresh_gossip().collect();
        fresh.len() == self.peers.len()
            && fresh.iter().all(|g| {
                g.served_ago_ms.is_none()
                    && g.max_rev <= self.replica.rev
                    && g.age_ms > now - known + c::GOSSIP_FRESH_MS
            })
    }

    /// All workers are silent here while peers see them come round: someone else should lead.
    fn deaf_due(&mut self) {
        let now = self.now.mono;
        let Some(l) = &self.leader else { return };
        let quiet = now > l.heard_at + c::LEADER_DEAF_MS && now > l.began + c::LEADER_DEAF_MS;
        let peers_hear =
            self.fresh_gossip().any(|g| g.workers_seen > 0 && g.served_ago_ms.is_some());
        if quiet && peers_hear {
            self.hand_over("no worker reports here, but to others they do");
        }
    }

    // --- planning ----------------------------------------------------------------

    fn plan_pass(&mut self) {
        let now = self.now.mono;
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        let wall = self.now.wall;
        let cfg = self.cfg.clone();
        let op = self.op.clone();
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.planned_at = now;
        l.plan_at = now + op.pass_period_ms;
        let mut view = View::build(l, &cfg, &op, &catalog, Clock { mono: now, wall });
        let shares = planner::move_shares(&view.snapshot, l.shares.clone());
        if shares != l.shares {
            l.shares = shares;
            l.shares_written = false;
        }
        for (team, share) in view.snapshot.teams.iter_mut().zip(&l.shares) {
            team.share = *share;
        }
        let plan = planner::plan(&view.snapshot);
        l.reservation =
            plan.reservation.map(|(j, m, _)| (view.jobs[j].clone(), view.machines[m].clone()));
        for (j, m) in &plan.places {
            let (uid, machine) = (view.jobs[*j].clone(), view.machines[*m].clone());
            let Some(task) = l.books.jobs.get(&uid).and_then(|j| j.next_waiting()) else {
                continue;
            };
            let attempt = l.unique();
            l.books.propose(&uid, task, &machine, attempt, now);
            log::debug!("{uid}/{task}: placed on {machine}, attempt {attempt}");
        }
        for (m, handle) in &plan.halts {
            let id = view.handles[*m][*handle].clone();
            if let Some(mm) = l.books.machines.get_mut(&view.machines[*m]) {
                if let Some(p) = mm.placements.get_mut(&id) {
                    log::debug!("{}/{}: stopped on {} to make room", id.0, id.1, mm.name);
                    p.halt = p.halt.max(Some(Halt::MakeRoom));
                }
            }
        }
        l.fleet.note_unmet(&view, &plan, &catalog);
    }

    // --- commits -----------------------------------------------------------------

    fn commit_due(&mut self) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_ref() else {
            return;
        };
        if let Some(f) = &l.flight {
            if !f.sent && f.reading.is_none() && now >= f.not_before {
                self.send_flight();
            }
            return;
        }
        let batch = now >= l.done_at;
        let due = l.books.machines.values().any(|m| m.urgent || (m.dirty && batch))
            || l.books.jobs.values().any(|j| j.complete())
            || (batch && (!l.books.garbage.is_empty() || !l.catalog_written));
        if due && self.served() {
            self.build_flight(batch);
            self.send_flight();
        }
    }

    /// Packs what is to be written into one commit, the most urgent first.
    fn build_flight(&mut self, batch: bool) {
        let now = self.now.mono;
        let max_ops = self.cfg.params.state.txn_ops;
        let max_ifs = max_ops * 4;
        let cap = self.cfg.params.state.value_kb * 1024.0;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if batch {
            l.done_at = now + c::DONE_BATCH_MS;
        }
        let mut ifs: BTreeMap<String, u64> = BTreeMap::new();
        ifs.insert(leader_key(), l.stamp);
        let mut writes = Vec::new();
        let mut f = InFlight {
            commit: Commit { conditions: vec![], writes: vec![] },
            body: vec![],
            machines: vec![],
            chunks: vec![],
            finishes: vec![],
            garbage: vec![],
            unclear: false,
            sent: false,
            reading: None,
            not_before: 0,
        };
        let complete: Vec<Name> =
            l.books.jobs.values().filter(|j| j.complete()).map(|j| j.uid.clone()).collect();
        for uid in complete {
            if writes.len() >= max_ops {
                break;
            }
            let job = &l.books.jobs[&uid];
            let rec = JobRec { at: job.at_wall, stage: Stage::Done, loads: job.loads, spec: None };
            ifs.insert(job_key(&uid), job.stamp);
            writes.push(Write::put(job_key(&uid), &rec));
            f.finishes.push(uid);
        }
        let mut names: Vec<Name> = l
            .books
            .machines
            .values()
            .filter(|m| m.urgent || (m.dirty && batch))
            .map(|m| m.name.clone())
            .collect();
        names.sort_by_key(|n| !l.books.machines[n].urgent);
        'machines: for name in names {
            // The bitmaps of what it settles as done go first or along.
            let m = &l.books.machines[&name];
            let mut chunks = Vec::new();
            let mut jobs = Vec::new();
            for ((uid, task), p) in &m.placements {
                let Some(job) = l.books.jobs.get(uid) else {
                    continue;
                };
                if p.ended.is_some() {
                    let chunk = task / c::DONE_CHUNK_TASKS;
                    let id = (uid.clone(), chunk);
                    if job.dirty_chunks.contains(&chunk)
                        && !f.finishes.contains(uid)
                        && !f.chunks.contains(&id)
                        && !chunks.contains(&id)
                    {
                        chunks.push(id);
                    }
                } else if p.phase == Phase::Proposed && job.stage == Stage::Live {
                    jobs.push((job_key(uid), job.stamp));
                }
            }
            for (uid, chunk) in chunks {
                if writes.len() >= max_ops || ifs.len() + 2 > max_ifs {
                    break 'machines;
                }
                let job = &l.books.jobs[&uid];
                let rec = DoneRec { bits: job.done.chunk_text(chunk) };
                let key = done_key(&uid, chunk);
                ifs.insert(key.clone(), job.chunk_stamps.get(&chunk).copied().unwrap_or(0));
                ifs.insert(job_key(&uid), job.stamp);
                writes.push(Write::put(key, &rec));
                f.chunks.push((uid, chunk));
            }
            if writes.len() >= max_ops || ifs.len() + jobs.len() + 1 > max_ifs {
                break;
            }
            let rec = m.record();
            let data = raw(&rec);
            if data.get().len() as f64 > cap {
                log::error!("{name}: its key would be too large");
                continue;
            }
            ifs.extend(jobs);
            ifs.insert(place_key(&name), m.key_stamp);
            writes.push(Write::Put { write: place_key(&name), data, tenancy: None });
            let ended = m
                .placements
                .iter()
                .filter(|(_, p)| p.ended.is_some())
                .map(|(id, _)| id.clone())
                .collect();
            f.machines.push((name.clone(), ended));
        }
        if batch && writes.len() < max_ops && !l.catalog_written {
            if let Some(catalog) = &self.catalog {
                let known = self.replica.catalog.as_ref();
                let alike = known.is_some_and(|k| {
                    k.value.builds.iter().map(|b| &b.sku).eq(catalog.builds.iter().map(|b| &b.sku))
                });
                let data = raw(&**catalog);
                if !alike && data.get().len() as f64 <= cap {
                    ifs.insert(catalog_key(), self.replica.stamp(&catalog_key()));
                    writes.push(Write::Put { write: catalog_key(), data, tenancy: None });
                }
                l.catalog_written = true;
            }
        }
        if batch && writes.len() < max_ops && ifs.len() < max_ifs && !l.shares_written {
            let names = self.cfg.params.teams.iter().map(|t| t.name.clone());
            let rec = ShareRec { term: l.term, teams: names.zip(l.shares.clone()).collect() };
            ifs.insert(shares_key(), self.replica.stamp(&shares_key()));
            writes.push(Write::put(shares_key(), &rec));
            l.shares_written = true;
        }
        while batch && writes.len() < max_ops && ifs.len() < max_ifs {
            let Some((key, stamp)) = l.books.garbage.pop() else {
                break;
            };
            ifs.insert(key.clone(), stamp);
            writes.push(Write::Remove { remove: key.clone() });
            f.garbage.push((key, stamp));
        }
        if writes.is_empty() {
            return;
        }
        for (name, _) in &f.machines {
            if let Some(m) = l.books.machines.get_mut(name) {
                m.dirty = false;
                m.urgent = false;
            }
        }
        for (uid, chunk) in &f.chunks {
            if let Some(j) = l.books.jobs.get_mut(uid) {
                j.dirty_chunks.remove(chunk);
            }
        }
        let conditions = ifs.into_iter().map(|(key, stamp)| If { key, stamp }).collect();
        f.commit = Commit { conditions, writes };
        f.body = serde_json::to_vec(&f.commit).unwrap_or_default();
        l.flight = Some(f);
    }

    fn send_flight(&mut self) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let Some(f) = l.flight.as_mut() else { return };
        let n = f.commit.writes.len() as f64;
        if !self.writes.take(n, c::WRITE_RESERVE, now) {
            return;
        }
        f.sent = true;
        let body = f.body.clone();
        self.metrics.state_writes += n as u64;
        let purpose = Purpose::LeaderCommit { term: l.term };
        self.state_call("POST", "/commit".into(), body, c::STATE_CALL_MS, purpose);
    }

    pub(super) fn leader_committed(&mut self, term: u64, reply: Option<(u16, Vec<u8>)>) {
        let now = self.now.mono;
        // An answer to a commit of an earlier term of ours says nothing about this one's.
        let Some(l) = self.leader.as_mut().filter(|l| l.term == term) else { return };
        let Some(f) = l.flight.as_mut() else { return };
        f.sent = false;
        match reply {
            Some((200, body)) => match serde_json::from_slice::<Committed>(&body) {
                Ok(done) => self.flight_applied(done.ledger_rev),
                Err(_) => f.unclear = true,
            },
            Some((409, body)) => {
                let failed =
                    serde_json::from_slice::<Conflict>(&body).map(|c| c.failed).unwrap_or_default();
                log::debug!("commit refused: {failed:?}");
                if !f.unclear && failed.contains(&leader_key()) {
                    return self.step_down("the leader key has changed");
                }
                f.reading = Some(now);
                self.leader_wants_fresh();
            }
            // Not executed: if no earlier copy can have been, it is built anew.
            Some((429 | 503, _)) => {
                f.not_before = now + c::STATE_RETRY_MS;
                if !f.unclear {
                    self.flight_dropped();
                }
            }
            Some((status, body)) => {
                log::error!("commit answered {status}: {}", String::from_utf8_lossy(&body));
                f.not_before = now + c::STATE_RETRY_MS;
                if !f.unclear {
                    self.flight_dropped();
                }
            }
            None => f.unclear = true,
        }
    }

    /// A refused commit, after a fresh read: applied by an earlier copy, or not at all.
    fn resolve_flight(&mut self, begun: u64) {
        let Some(l) = self.leader.as_mut() else { return };
        let Some(f) = l.flight.as_mut() else { return };
        let Some(since) = f.reading else { return };
        if begun < since {
            // A read from before the refusal can't tell.
            return self.leader_wants_fresh();
        }
        f.reading = None;
        if !f.unclear {
            return self.flight_dropped();
        }
        // All or nothing: one written key tells.
        let applied = f.commit.writes.iter().find_map(|w| {
            let Write::Put { write, data, .. } = w else {
                return None;
            };
            let before = f.commit.conditions.iter().find(|i| i.key == *write)?.stamp;
            let stamp = self.replica.stamp(write);
            if stamp <= before {
                return None;
            }
            self.replica.holds(write, data).then_some(stamp)
        });
        match applied {
            Some(rev) => self.flight_applied(rev),
            None => self.flight_dropped(),
        }
    }

    /// The commit was not applied and never will be: all of it is to be written again.
    fn flight_dropped(&mut self) {
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let Some(f) = l.flight.take() else { return };
        for (uid, chunk) in f.chunks {
            if let Some(j) = l.books.jobs.get_mut(&uid) {
                if j.stage == Stage::Live {
                    j.dirty_chunks.insert(chunk);
                }
            }
        }
        for (name, _) in &f.machines {
            l.books.retract(name);
            if let Some(m) = l.books.machines.get_mut(name) {
                m.touch(true);
            }
        }
        // Stamps of keys that changed under us are taken from the replica. Only our own
        // earlier commits and users' requests write, so nothing is lost by that.
        for (name, _) in f.machines {
            if let Some(m) = l.books.machines.get_mut(&name) {
                m.key_stamp = self.replica.stamp(&place_key(&name));
            }
        }
        for (key, before) in f.garbage {
            // Only what is still as it was: it may have come into use again.
            if self.replica.stamp(&key) == before && before != 0 {
                l.books.garbage.push((key, before));
            }
        }
        l.plan_soon(self.now.mono);
        self.check_term();
    }

    fn flight_applied(&mut self, rev: u64) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let Some(f) = l.flight.take() else { return };
        for uid in &f.finishes {
            log::debug!("{uid}: done");
            l.books.end_job(uid, Stage::Done, rev);
        }
        for (uid, chunk) in &f.chunks {
            if let Some(j) = l.books.jobs.get_mut(uid) {
                if j.stage == Stage::Live {
                    j.chunk_stamps.insert(*chunk, rev);
                } else {
                    l.books.garbage.push((done_key(uid, *chunk), rev));
                }
            }
        }
        for (name, ended) in &f.machines {
            if let Some(m) = l.books.machines.get_mut(name) {
                m.key_stamp = rev;
            }
            l.books.committed(name, &f.commit);
            for id in ended {
                l.books.settled(name, id);
            }
        }
        let freed = f.machines.iter().any(|(_, e)| !e.is_empty());
        if freed {
            l.plan_soon(now);
        }
        let commit = f.commit;
        self.own_commit(&commit, rev);
    }
}

/// A snapshot with the names behind its indices.
pub(crate) struct View {
    pub snapshot: Snapshot,
    pub jobs: Vec<Name>,
    pub machines: Vec<Name>,
    pub handles: Vec<Vec<TaskId>>,
    pub zones: Vec<String>,
}

impl View {
    fn build(l: &Leader, cfg: &Platform, op: &Operator, catalog: &Catalog, clock: Clock) -> View {
        let now = clock.mono;
        let books = &l.books;
        let mut zones: Vec<&str> = Vec::new();
        for z in catalog.builds.iter().flat_map(|b| b.yards.iter()).chain(&cfg.params.zones) {
            if !zones.contains(&z.as_str()) {
                zones.push(z);
            }
        }
        let zone_of = |y: &str| zones.iter().position(|z| *z == y);
        let sku_of = |s: &str| catalog.builds.iter().position(|b| b.sku == s);
        let team_of = |t: &str| cfg.params.teams.iter().position(|x| x.name == t);
        let mut kits: HashMap<String, usize> = HashMap::new();
        let mut kit_of = |k: &str| {
            let n = kits.len();
            *kits.entry(k.to_string()).or_insert(n)
        };
        let silent = (cfg.params.workers.report_s * c::SILENT_PERIODS * c::MS_PER_S) as u64;
        let slots = ((cfg.params.state.value_kb * 1024.0) as usize)
            .saturating_sub(c::PLACEMENT_FRAME_BYTES)
            / c::PLACEMENT_BYTES;

        let mut v = View {
            snapshot: Snapshot::default(),
            jobs: vec![],
            machines: vec![],
            handles: vec![],
            zones: zones.iter().map(|z| z.to_string()).collect(),
        };
        v.snapshot.now = now;
        v.snapshot.thresholds = op.thresholds.clone();
        for m in books.machines.values() {
            let (Some(zone), Some(sku)) = (zone_of(&m.yard), sku_of(&m.sku)) else {
                continue;
            };
            let open = m.life == Life::Up
                && !m.draining
                && !m.closing
                && !m.lapsed
                && m.reported_at.is_some_and(|t| now - t <= silent);
            if !open {
                continue;
            }
            let build = &catalog.builds[sku];
            let per_gb =
                if build.pull_gb_per_s > 0.0 { c::MS_PER_S / build.pull_gb_per_s } else { 0.0 };
            let mut held: Vec<(usize, u64)> = m.kits.iter().map(|(k, _)| (kit_of(k), 0)).collect();
            let mut running = Vec::new();
            let mut handles = Vec::new();
            for (id, p) in &m.placements {
                if p.ended.is_some() {
                    continue;
                }
                let Some(job) = books.jobs.get(&id.0) else {
                    continue;
                };
                let Some(spec) = &job.spec else { continue };
                let run = l.run_ms(spec);
                let standing = spec.shape == Shape::Standing;
                let fetch = (spec.size_gb * per_gb) as u64;
                let there = p.running_since.is_some();
                if !there {
                    let kit = kit_of(&spec.kit);
                    let left = (p.placed_at + fetch).saturating_sub(now);
                    if !held.iter().any(|(k, _)| *k == kit) {
                        held.push((kit, left));
                    }
                }
                let ran = p.running_since.map(|t| now - t);
                let halt_ms = (spec.mark_cost_s * c::MS_PER_S) as u64 + silent / 2;
                let end = if p.halt.is_some() {
                    now + halt_ms
                } else if standing {
                    now + (c::STANDING_RUN_S * c::MS_PER_S) as u64
                } else {
                    let begun = p.running_since.unwrap_or_else(|| (p.placed_at + fetch).max(now));
                    let end = begun + run;
                    if end > now {
                        end
                    } else {
                        now + ((now - begun) as f64 * c::OVERDUE_SHARE) as u64
                    }
                };
                handles.push(id.clone());
                running.push(Running {
                    rank: spec.rank,
                    team: team_of(&spec.crew),
                    need: job.need,
                    bandwidth: spec.cores * op.bandwidth(&spec.duty),
                    end,
                    standing,
                    ran_ms: ran,
                    saves: spec.saves(),
                    halting: p.halt.is_some(),
                    halt_ms,
                    handle: handles.len() - 1,
                });
            }
            v.snapshot.machines.push(MachineView {
                zone,
                sku,
                spot: m.spot,
                total: m.total,
                slots: slots.saturating_sub(m.placements.len()),
                running,
                kits: held,
                fetch_ms_per_gb: per_gb,
                taken_in: m.recall_at.map(|t| t.saturating_sub(now)),
            });
            v.machines.push(m.name.clone());
            v.handles.push(handles);
        }
        let index: HashMap<&Name, usize> =
            v.machines.iter().enumerate().map(|(i, m)| (m, i)).collect();
        let mut names: Vec<Name> = Vec::new();
        // What each team's unfinished jobs take together, up to the one looked at.
        let mut claimed = vec![Resources::default(); cfg.params.teams.len()];
        for uid in books.queue.values() {
            let Some(job) = books.jobs.get(uid) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            // A job that fails everywhere is tried one task at a time.
            let waiting = if job.suspect() { job.waiting().min(1) } else { job.waiting() };
            let Some(team) = team_of(&spec.crew) else {
                continue;
            };
            claimed[team] += job.need * i64::from(job.loads - job.done_count.min(job.loads));
            if waiting == 0 || job.paused_until > now {
                continue;
            }
            let mut in_zone = vec![0; zones.len()];
            let mut lost_zone = false;
            if spec.apart || spec.together || spec.shape == Shape::Standing {
                for name in job.placed.values() {
                    match books.machines.get(name).and_then(|m| zone_of(&m.yard)) {
                        Some(z) => in_zone[z] += 1,
                        // Where it is is not known yet: `apart` and `together` can't be kept.
                        None => lost_zone = true,
                    }
                }
            }
            if lost_zone && (spec.apart || spec.together) {
                continue;
            }
            let skus = catalog
                .builds
                .iter()
                .map(|b| spec.builds.as_ref().is_none_or(|list| list.contains(&b.sku)))
                .collect();
            let zone = match &spec.yard {
                Some(y) => match zone_of(y) {
                    Some(z) => Some(z),
                    None => continue,
                },
                None => None,
            };
            let avoid = match job.suspect() {
                true => vec![],
                false => job.failed_on.iter().filter_map(|m| index.get(m).copied()).collect(),
            };
            let within = planner::within(&claimed[team], &guarantee(&cfg.params.teams[team]));
            let waited_ms = clock.wall.saturating_sub(job.at_wall);
            let run_ms = l.run_ms(spec);
            let aims = cfg.params.objectives.iter().filter(|o| {
                o.kind == "finished" && o.class.as_deref().is_none_or(|class| class == spec.duty)
            });
            let missed = aims
                .filter_map(|o| o.within_s)
                .chain(spec.due_s)
                .filter(|s| (waited_ms + run_ms) as f64 > s * c::MS_PER_S)
                .count();
            v.snapshot.jobs.push(JobView {
                rank: spec.rank,
                team,
                standing: spec.shape == Shape::Standing,
                arrival: job.stamp,
                waited_ms,
                missed,
                within,
                need: job.need,
                bandwidth: spec.cores * op.bandwidth(&spec.duty),
                run_ms,
                skus,
                zone,
                spot_ok: spec.lendables,
                in_zone,
                zone_cap: spec.zone_cap(),
                together: spec.together,
                waiting,
                begun: job.begun || job.done_count > 0 || !job.placed.is_empty(),
                kit: kit_of(&spec.kit),
                size_gb: spec.size_gb,
                avoid,
            });
            names.push(uid.clone());
        }
        v.jobs = names;
        for t in &cfg.params.teams {
            v.snapshot.teams.push(TeamView {
                used: books.usage.get(&t.name).copied().unwrap_or_default(),
                guarantee: guarantee(t),
                limit: Resources::new(t.cpus_max, t.gpus_max, 0.0),
                share: 0,
            });
        }
        v.snapshot.reserved = l.reservation.as_ref().and_then(|(job, machine)| {
            let j = v.jobs.iter().position(|x| x == job)?;
            Some((j, v.machines.iter().position(|x| x == machine)?))
        });
        v
    }
}

impl Books {
    /// A commit that wrote a machine's key is in: what it names may be ordered.
    fn committed(&mut self, machine: &Name, commit: &Commit) {
        let key = place_key(machine);
        let rec: Option<PlaceRec> = commit.writes.iter().find_map(|w| match w {
            Write::Put { write, data, .. } if *write == key => {
                serde_json::from_str(data.get()).ok()
            }
            _ => None,
        });
        let (Some(rec), Some(m)) = (rec, self.machines.get_mut(machine)) else {
            return;
        };
        for (job, task, attempt) in rec.tasks {
            if let Some(p) = m.placements.get_mut(&(Name::from(job.as_str()), task)) {
                if p.attempt == attempt {
                    p.phase = Phase::Committed;
                }
            }
        }
    }

    /// Proposals that never reached the store are taken back.
    fn retract(&mut self, machine: &Name) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let proposed: Vec<TaskId> = m
            .placements
            .iter()
            .filter(|(_, p)| p.phase == Phase::Proposed && p.ended.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in proposed {
            m.placements.remove(&id);
            let Some(job) = self.jobs.get_mut(&id.0) else {
                continue;
            };
            job.placed.remove(&id.1);
            if let Some(spec) = &job.spec {
                if let Some(u) = self.usage.get_mut(&spec.crew) {
                    *u -= job.need;
                }
            }
            if job.stage == Stage::Live && !job.done.get(id.1) {
                job.returned.insert(id.1);
            }
        }
        let over: Vec<Name> = self
            .jobs
            .values()
            .filter(|j| j.stage != Stage::Live && j.placed.is_empty() && j.settling.is_empty())
            .map(|j| j.uid.clone())
            .collect();
        for uid in over {
            self.drop_if_over(&uid);
        }
    }
}

fn guarantee(t: &crate::settings::Team) -> Resources {
    Resources::new(t.cpus, t.gpus, 0.0)
}

/// Whether a cause means that the machine or the job is at fault.
pub(super) fn is_failure(cause: Cause) -> bool {
    matches!(cause, Cause::Error)
}

/// Whether a shown state holds resources.
pub(super) fn is_on(status: TaskStatus) -> bool {
    status != TaskStatus::Ended
}
