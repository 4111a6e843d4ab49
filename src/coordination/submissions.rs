//! Submissions: what can be accepted, and the batches in which it is.
//!
//! Submissions that come together are accepted with one write, a batch. None is answered before its
//! batch is committed or known from a read.

use super::gangs::{gang_tasks_max, zones_suffice};
use super::recovery::SentAt;
use super::sync::FreshReadWaiter;
use super::{CallPurpose, Controller, Requester};
use crate::constants::{
    ARRIVAL_BITS, BATCHES_IN_FLIGHT, BATCH_FRAME_BYTES, BATCH_GATHER_MS, BATCH_HEDGE_MS,
    BATCH_WAIT_MS, COMMIT_BYTES, COMMIT_FRAME_BYTES, CONDITIONS_PER_CHANGE, RETRY_AFTER_BUSY_S,
    RETRY_AFTER_S, STATE_CALL_MS, USER_WAIT_MAX, WRITES_SHORT_SHARE, WRITE_KEEP_USERS,
};
use crate::protocol::cloud::Catalog;
use crate::protocol::state::{
    raw_json, Condition, Mutation, Transaction, TransactionApplied, TransactionConflict,
    COMMIT_PATH,
};
use crate::protocol::users::{JobSpec, JobStatus, JobStatusResponse, Submission};
use crate::protocol::Resources;
use crate::storage::records::{batch_key, gang_batch_key, job_end_key, BatchRecord, JobStage};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A submission that gathers for a batch, with everyone who asked for it.
#[derive(Debug)]
pub(crate) struct Pending {
    requesters: Vec<Requester>,
    spec: Rc<JobSpec>,
    bytes: usize,
    at: u64,
}

/// Jobs that are stored in one value: all of them gangs, or none.
#[derive(Debug)]
struct BatchValue {
    gangs: bool,
    bytes: usize,
    jobs: Vec<Rc<JobSpec>>,
}

impl BatchValue {
    /// Whether a job may stand in this value, of which `cap` bytes are for jobs.
    fn takes(&self, job: &Pending, cap: usize) -> bool {
        self.gangs == job.spec.is_gang() && self.bytes + job.bytes <= cap
    }

    fn add(&mut self, job: &Pending) {
        self.bytes += job.bytes;
        self.jobs.push(job.spec.clone());
    }

    /// The key that this value is stored under.
    fn key(&self, id: &str) -> String {
        match self.gangs {
            true => gang_batch_key(id),
            false => batch_key(id),
        }
    }
}

/// A batch of submissions on its way.
#[derive(Debug)]
pub(crate) struct Batch {
    jobs: Vec<Pending>,
    /// The jobs as divided into values.
    values: Vec<BatchValue>,
    sent_at: u64,
    /// Copies sent, with when each was, and how many are not answered yet.
    copies: Vec<(Transaction, SentAt)>,
    out: u32,
}

impl Controller {
    pub(super) fn submit(&mut self, requester: Requester, body: &[u8]) {
        let submission = match Submission::parse(body) {
            Ok(submission) => submission,
            Err(error) => return self.refuse(requester, 400, &error.to_string(), None),
        };
        let uid = submission.uid().to_string();
        if !self.admit(requester, "POST", "/v1/jobs", body) {
            return;
        }
        if let Some(job) = self.replica.jobs.get(uid.as_str()) {
            if job.value.stage != JobStage::Live {
                return self.answer_known(requester, &uid);
            }
            return self.request_fresh_read(FreshReadWaiter::Submit {
                requester,
                uid,
                verdict: None,
                spec: None,
            });
        }
        let verdict = match submission.into_spec() {
            Err(error) => Err((400, error.to_string())),
            Ok(spec) => self.judge(&spec).map(|()| Rc::new(spec)),
        };
        match verdict {
            Ok(spec) => self.commit_job(requester, spec),
            Err(verdict) => {
                // It may have been accepted elsewhere a moment ago, with another body.
                self.request_fresh_read(FreshReadWaiter::Submit {
                    requester,
                    uid,
                    verdict: Some(verdict),
                    spec: None,
                })
            }
        }
    }

    /// Whether the job can ever run: 422 with the reason if not, 503 if we can't tell.
    fn judge(&self, spec: &JobSpec) -> Result<(), (u16, String)> {
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return Err((422, format!("unknown team {}", spec.team)));
        };
        let Some(catalog) = &self.catalog else {
            return Err((503, "machine types are not known yet".into()));
        };
        let need = spec.need();
        let fits = catalog.machine_types.iter().any(|b| {
            spec.machine_types.as_ref().is_none_or(|list| list.contains(&b.type_name))
                && spec.zone.as_ref().is_none_or(|y| b.zones.contains(y))
                && Resources::new(b.cores, b.gpus, b.ram_gb).fits(&need)
        });
        if !fits {
            return Err((422, "a task fits no allowed machine type".into()));
        }
        let all = need * i64::from(spec.tasks_at_once());
        let limit = Resources::new(team.cpus_max, team.gpus_max, 0.0);
        if !all.under(&limit) {
            return Err((422, "more than the team's limit".into()));
        }
        if spec.is_gang() {
            self.judge_gang(spec, catalog)?;
        }
        Ok(())
    }

    /// What only a gang can fail at: all of its tasks have to be placed at once.
    fn judge_gang(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), (u16, String)> {
        let most = gang_tasks_max(&self.limits, self.settings.controllers());
        if spec.tasks as usize > most {
            return Err((422, format!("a gang can have {most} tasks here at the most")));
        }
        let allowed =
            |name: &String| spec.machine_types.as_ref().is_none_or(|list| list.contains(name));
        let types = catalog.machine_types.iter().filter(|t| allowed(&t.type_name));
        let zones: BTreeSet<&String> = types
            .filter(|t| Resources::new(t.cores, t.gpus, t.ram_gb).fits(&spec.need()))
            .flat_map(|t| &t.zones)
            .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone))
            .collect();
        if !zones_suffice(spec, zones.len()) {
            return Err((422, "too few zones for all tasks at once".into()));
        }
        Ok(())
    }

    /// Takes a job that is to be accepted into the next batch. A repeat joins the first.
    fn commit_job(&mut self, requester: Requester, spec: Rc<JobSpec>) {
        let bytes = raw_json(&spec).get().len() + BATCH_FRAME_BYTES;
        if bytes + BATCH_FRAME_BYTES > self.limits.value_bytes {
            return self.refuse(requester, 422, "the submission is too large to be kept", None);
        }
        if self.gathering_submissions.len() >= USER_WAIT_MAX {
            return self.refuse(requester, 503, "too much to do", Some(RETRY_AFTER_BUSY_S));
        }
        match self.gathering_submissions.iter_mut().find(|p| p.spec.uid == spec.uid) {
            Some(p) => p.requesters.push(requester),
            None => self.gathering_submissions.push(Pending {
                requesters: vec![requester],
                spec,
                bytes,
                at: self.now.monotonic_ms,
            }),
        }
    }

    /// Writes submissions that have gathered. While writes are short they gather for longer, so
    /// that one write accepts more of them; none waits for longer than its user would call
    /// quick, it is passed on or refused then.
    pub(super) fn batches_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.recovery.holds() {
            let gathered = std::mem::take(&mut self.gathering_submissions);
            return gathered.into_iter().for_each(|p| self.pass_submission(p));
        }
        let late = |p: &Pending| now > p.at + BATCH_WAIT_MS;
        for p in self.gathering_submissions.extract_if(.., |p| late(p)).collect::<Vec<_>>() {
            self.pass_submission(p);
        }
        // The state service takes a few hundred milliseconds now and then. A second copy, under
        // keys of its own, is mostly answered at once; whichever comes first counts, as with
        // any job that stands in two batches.
        let slow: Vec<u64> = self
            .submission_batches
            .iter()
            .filter(|(_, b)| b.copies.len() == 1 && now > b.sent_at + BATCH_HEDGE_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in slow {
            self.send_batch(id, 0.0);
        }
        let Some(first) = self.gathering_submissions.first() else { return };
        let short = self.write_budget.left(now) < self.write_budget.burst() * WRITES_SHORT_SHARE;
        if short && now < first.at + BATCH_GATHER_MS {
            return;
        }
        if self.submission_batches.len() >= BATCHES_IN_FLIGHT {
            return;
        }
        let cap = self.limits.value_bytes - BATCH_FRAME_BYTES;
        let txn = self.limits.transaction_ops;
        let left = self.write_budget.left(now) - WRITE_KEEP_USERS;
        let max_ops = (left.max(0.0) as usize).min(txn);
        // As many values as there are writes for, each filled with jobs.
        let mut values: Vec<BatchValue> = Vec::new();
        let mut jobs: Vec<Pending> = Vec::new();
        let mut wait: Vec<Pending> = Vec::new();
        let mut bytes = 0;
        for p in std::mem::take(&mut self.gathering_submissions) {
            // A condition a job and one a value.
            let conditions = jobs.len() + max_ops + self.conditions_kept();
            let fits = conditions < (txn * CONDITIONS_PER_CHANGE).min(1 << ARRIVAL_BITS)
                && bytes + p.bytes <= COMMIT_BYTES - COMMIT_FRAME_BYTES;
            let open = values.iter().position(|value| value.takes(&p, cap));
            match open {
                Some(i) if fits => values[i].add(&p),
                None if fits && values.len() < max_ops => {
                    let gangs = p.spec.is_gang();
                    values.push(BatchValue { gangs, bytes: p.bytes, jobs: vec![p.spec.clone()] });
                }
                _ => {
                    wait.push(p);
                    continue;
                }
            }
            bytes += p.bytes;
            jobs.push(p);
        }
        self.gathering_submissions = wait;
        if jobs.is_empty() {
            return;
        }
        self.batches_made += 1;
        let id = self.batches_made;
        self.submission_batches
            .insert(id, Batch { jobs, values, sent_at: now, copies: Vec::new(), out: 0 });
        self.send_batch(id, f64::MIN);
    }

    /// When batches have to be looked at again if nothing comes in before.
    pub(super) fn batches_wake(&self) -> Option<u64> {
        let gathered = self.gathering_submissions.first().map(|first| {
            let plenty =
                self.write_budget.available_at(self.write_budget.burst() * WRITES_SHORT_SHARE);
            let one = self.write_budget.available_at(WRITE_KEEP_USERS + 1.0);
            let sent = (first.at + BATCH_GATHER_MS).min(plenty).max(one);
            sent.min(first.at + BATCH_WAIT_MS + 1)
        });
        let hedges = self.submission_batches.values().filter(|b| b.copies.len() == 1);
        let hedge = hedges.map(|b| b.sent_at + BATCH_HEDGE_MS + 1).min();
        [gathered, hedge].into_iter().flatten().min()
    }

    /// Sends a copy of a batch, if that leaves `keep` writes.
    fn send_batch(&mut self, id: u64, keep: f64) {
        let now = self.now.monotonic_ms;
        let sent = self.sent_at();
        let mut commit = Transaction::default();
        self.depend_on_rebuild(&mut commit);
        let Some(b) = self.submission_batches.get_mut(&id) else { return };
        if !self.write_budget.take(b.values.len() as f64, keep, now) {
            return;
        }
        for p in &b.jobs {
            commit.conditions.push(Condition { key: job_end_key(&p.spec.uid), mod_revision: 0 });
        }
        let mut first = 0;
        for (i, value) in b.values.iter().enumerate() {
            let key = value.key(&format!("{:016x}-{id}-{}-{i}", self.process_id, b.copies.len()));
            let rec = BatchRecord { at: self.now.wall_ms, first, jobs: value.jobs.clone() };
            commit.conditions.push(Condition { key: key.clone(), mod_revision: 0 });
            commit.writes.push(Mutation::put(key, &rec));
            first += value.jobs.len() as u64;
        }
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let copy = b.copies.len();
        b.copies.push((commit, sent));
        b.out += 1;
        self.metrics.work.state_writes += b.values.len() as u64;
        let purpose = CallPurpose::Submit { batch: id, copy };
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    /// A peer may be able to take a submission that we can't.
    fn pass_submission(&mut self, p: Pending) {
        let body = serde_json::to_vec(&*p.spec).unwrap_or_default();
        for requester in p.requesters {
            self.relay_or_refuse(requester, "POST", "/v1/jobs".into(), body.clone());
        }
    }

    pub(super) fn on_batch_response(
        &mut self,
        id: u64,
        copy: usize,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        // Another copy may have been answered already.
        let Some(b) = self.submission_batches.get_mut(&id) else { return };
        b.out -= 1;
        let decided = matches!(reply, Some((200 | 409, _)));
        if !decided && b.out > 0 {
            return;
        }
        let Some(batch) = self.submission_batches.remove(&id) else { return };
        match reply {
            // Not put into the replica ahead of the watch: of a job that stands in two batches
            // the earlier counts, and the watch tells them in their order.
            Some((200, body)) => {
                if let Ok(done) = serde_json::from_slice::<TransactionApplied>(&body) {
                    let (commit, sent) = &batch.copies[copy];
                    if !self.confirmed_in_store(*sent, done.revision) {
                        // In a store that has lost data: nothing is accepted by that.
                        return batch.jobs.into_iter().for_each(|p| self.pass_submission(p));
                    }
                    self.record_own_transaction(commit, done.revision);
                    self.store_sync.max_rev = self.store_sync.max_rev.max(done.revision);
                }
                for p in batch.jobs {
                    self.metrics.work.accepted += 1;
                    let _ = self.metrics.submit_ms.record(self.now.monotonic_ms - p.at);
                    log::debug!(
                        "{}: accepted in {} ms, {} tasks of {} for {}, {} of {} GB, due after {:?} s",
                        p.spec.uid,
                        self.now.monotonic_ms - p.at,
                        p.spec.tasks,
                        p.spec.class,
                        p.spec.team,
                        p.spec.image,
                        p.spec.size_gb,
                        p.spec.deadline_s
                    );
                    for requester in p.requesters {
                        let accepted =
                            JobStatusResponse { uid: &p.spec.uid, status: JobStatus::Queued };
                        self.answer_json(requester, 201, &accepted);
                    }
                }
            }
            // One of them has ended in the meantime: that one is answered as it is, the others
            // gather again.
            Some((409, body)) => {
                let failed = serde_json::from_slice::<TransactionConflict>(&body)
                    .map(|c| c.failed)
                    .unwrap_or_default();
                for p in batch.jobs {
                    if failed.contains(&job_end_key(&p.spec.uid)) {
                        for requester in p.requesters {
                            let uid = p.spec.uid.clone();
                            let spec = None;
                            self.request_fresh_read(FreshReadWaiter::Submit {
                                requester,
                                uid,
                                verdict: None,
                                spec,
                            });
                        }
                    } else {
                        self.gathering_submissions.push(p);
                    }
                }
            }
            Some((429, _)) => {
                for p in batch.jobs {
                    for requester in p.requesters {
                        self.refuse(requester, 503, "too many submissions", Some(RETRY_AFTER_S));
                    }
                }
            }
            _ => {
                for p in batch.jobs {
                    self.pass_submission(p);
                }
            }
        }
    }

    /// A submission after a fresh read: known, or judged.
    pub(super) fn submit_known(
        &mut self,
        requester: Requester,
        uid: String,
        verdict: Option<(u16, String)>,
        spec: Option<Rc<JobSpec>>,
    ) {
        if self.replica.jobs.contains_key(uid.as_str()) {
            return self.answer_known(requester, &uid);
        }
        // It may have been accepted in the lost history, whatever is wrong with it now.
        if verdict.is_some() && self.has_gap() {
            return self.unavailable(requester);
        }
        match (verdict, spec) {
            (Some((status, reason)), _) => {
                let retry = (status == 503).then_some(RETRY_AFTER_S);
                self.refuse(requester, status, &reason, retry)
            }
            (None, Some(spec)) => self.commit_job(requester, spec),
            (None, None) => self.unavailable(requester),
        }
    }
}
