//! Batches of submissions: jobs submitted at about the same time are stored with one write.
//!
//! [`Submissions`] owns the submissions that wait for a batch, and the batches that are being committed.

use crate::constants::{
    ARRIVAL_INDEX_BITS, BATCHES_IN_FLIGHT_MAX, BATCH_COLLECT_MS, BATCH_HEDGE_DELAY_MS,
    BATCH_OVERHEAD_BYTES, BATCH_WAIT_MAX_MS, CONDITIONS_PER_CHANGE, LOW_WRITE_BUDGET_SHARE,
    RETRY_AFTER_S, TRANSACTION_BYTES_MAX, TRANSACTION_OVERHEAD_BYTES, USER_WRITE_RESERVE,
    WAITING_USER_REQUESTS_MAX,
};
use crate::coordination::requester::Requester;
use crate::coordination::store_client::ReadPoint;
use crate::coordination::{CallPurpose, Controller};
use crate::protocol::http::Response;
use crate::protocol::routes::JOBS_PATH;
use crate::protocol::state::{
    raw_json, Condition, Mutation, Transaction, TransactionApplied, TransactionConflict,
};
use crate::protocol::users::{JobSpec, JobStatus, JobStatusResponse};
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::limits::StoreLimits;
use crate::storage::records::{batch_key, gang_batch_key, job_end_key, BatchRecord};
use crate::storage::token_bucket::TokenBucket;
use std::rc::Rc;

/// A submission that waits for a batch, with every request that asked for it.
#[derive(Debug)]
struct PendingSubmission {
    requesters: Vec<Requester>,
    spec: Rc<JobSpec>,
    /// Bytes of the job in a stored value, with its framing.
    bytes: usize,
    received_at: u64,
}

/// Jobs that are stored under one key: all of them gangs, or none.
#[derive(Debug)]
struct BatchValue {
    holds_gangs: bool,
    bytes: usize,
    jobs: Vec<Rc<JobSpec>>,
}

impl BatchValue {
    fn new(submission: &PendingSubmission) -> BatchValue {
        BatchValue {
            holds_gangs: submission.spec.is_gang(),
            bytes: submission.bytes,
            jobs: vec![submission.spec.clone()],
        }
    }

    /// Whether the job may be added to this value, in which jobs may take `bytes_max`.
    fn has_capacity_for(&self, submission: &PendingSubmission, bytes_max: usize) -> bool {
        self.holds_gangs == submission.spec.is_gang() && self.bytes + submission.bytes <= bytes_max
    }

    fn add(&mut self, submission: &PendingSubmission) {
        self.bytes += submission.bytes;
        self.jobs.push(submission.spec.clone());
    }

    /// The key that this value is stored under.
    fn key(&self, id: &str) -> String {
        match self.holds_gangs {
            true => gang_batch_key(id),
            false => batch_key(id),
        }
    }
}

/// A copy of a batch that was sent to the state service.
#[derive(Debug)]
struct BatchCopy {
    transaction: Transaction,
    /// The state of the replica when the copy was sent.
    read_point: ReadPoint,
}

/// A batch of submissions that is being committed.
#[derive(Debug)]
struct Batch {
    submissions: Vec<PendingSubmission>,
    /// The jobs, divided into stored values.
    values: Vec<BatchValue>,
    first_sent_at: u64,
    copies: Vec<BatchCopy>,
    /// Number of copies without a response yet.
    unanswered: u32,
}

impl Batch {
    /// Completes the transaction that stores the next copy of the batch, under keys of its own.
    fn transaction(
        &self,
        id: u64,
        process_id: u64,
        accepted_at_wall_ms: u64,
        mut transaction: Transaction,
    ) -> Transaction {
        for submission in &self.submissions {
            let key = job_end_key(&submission.spec.uid);
            transaction.conditions.push(Condition { key, mod_revision: 0 });
        }
        let copy = self.copies.len();
        let mut first = 0;
        for (index, value) in self.values.iter().enumerate() {
            let key = value.key(&format!("{process_id:016x}-{id}-{copy}-{index}"));
            let jobs = value.jobs.clone();
            let record = BatchRecord { at: accepted_at_wall_ms, first, jobs };
            transaction.conditions.push(Condition { key: key.clone(), mod_revision: 0 });
            transaction.writes.push(Mutation::put(key, &record));
            first += value.jobs.len() as u64;
        }
        transaction
    }
}

/// Limits of one batch.
struct BatchLimits {
    /// Bytes of jobs in one value.
    value_bytes: usize,
    /// Number of values, each of which is one write.
    values: usize,
    /// Number of conditions of the transaction.
    conditions: usize,
    /// Conditions reserved among these: one for each value, and the one on the store's rebuild.
    conditions_reserved: usize,
}

/// Submissions that are not accepted yet.
#[derive(Debug)]
pub(in crate::coordination) struct Submissions {
    /// Submissions that wait for a batch.
    pending: Vec<PendingSubmission>,
    /// Batches that are being committed, by number.
    in_flight: HashMap<u64, Batch>,
    batches_created: u64,
}

impl Submissions {
    pub(in crate::coordination) fn new(keys: HashKeys) -> Submissions {
        Submissions { pending: Vec::new(), in_flight: keys.map(), batches_created: 0 }
    }

    /// When [`Controller::send_batches_if_due`] has something to do next if no command comes before.
    pub(in crate::coordination) fn next_wake(&self, writes: &TokenBucket) -> Option<u64> {
        let next_batch_at = self.pending.first().map(|first| {
            let budget_restored_at = writes.available_at(writes.burst() * LOW_WRITE_BUDGET_SHARE);
            let one_write_at = writes.available_at(USER_WRITE_RESERVE + 1.0);
            let sent_at =
                (first.received_at + BATCH_COLLECT_MS).min(budget_restored_at).max(one_write_at);
            sent_at.min(first.received_at + BATCH_WAIT_MAX_MS + 1)
        });
        let hedges = self.in_flight.values().filter(|batch| batch.copies.len() == 1);
        let next_hedge_at =
            hedges.map(|batch| batch.first_sent_at + BATCH_HEDGE_DELAY_MS + 1).min();
        [next_batch_at, next_hedge_at].into_iter().flatten().min()
    }

    /// Takes out the submissions that have waited longer than [`BATCH_WAIT_MAX_MS`].
    fn take_overdue(&mut self, now: u64) -> Vec<PendingSubmission> {
        let is_overdue = |s: &mut PendingSubmission| now > s.received_at + BATCH_WAIT_MAX_MS;
        self.pending.extract_if(.., is_overdue).collect()
    }

    /// Batches whose only copy has had no response for longer than [`BATCH_HEDGE_DELAY_MS`].
    fn batches_to_hedge(&self, now: u64) -> Vec<u64> {
        let is_unanswered = |batch: &Batch| {
            batch.copies.len() == 1 && now > batch.first_sent_at + BATCH_HEDGE_DELAY_MS
        };
        self.in_flight.iter().filter(|(_, batch)| is_unanswered(batch)).map(|(id, _)| *id).collect()
    }

    /// Makes a batch of the waiting submissions that fit, and returns its number; none if none fits.
    fn create_batch(&mut self, limits: &BatchLimits, now: u64) -> Option<u64> {
        let mut values: Vec<BatchValue> = Vec::new();
        let mut chosen: Vec<PendingSubmission> = Vec::new();
        let mut remaining: Vec<PendingSubmission> = Vec::new();
        let mut bytes = 0;
        for submission in std::mem::take(&mut self.pending) {
            // Each job takes a condition; those of the values are reserved.
            let conditions = chosen.len() + limits.conditions_reserved;
            let fits = conditions < limits.conditions
                && bytes + submission.bytes <= TRANSACTION_BYTES_MAX - TRANSACTION_OVERHEAD_BYTES;
            let has_capacity =
                |value: &BatchValue| value.has_capacity_for(&submission, limits.value_bytes);
            match values.iter().position(has_capacity) {
                Some(index) if fits => values[index].add(&submission),
                None if fits && values.len() < limits.values => {
                    values.push(BatchValue::new(&submission));
                }
                _ => {
                    remaining.push(submission);
                    continue;
                }
            }
            bytes += submission.bytes;
            chosen.push(submission);
        }
        self.pending = remaining;
        if chosen.is_empty() {
            return None;
        }
        self.batches_created += 1;
        let batch = Batch {
            submissions: chosen,
            values,
            first_sent_at: now,
            copies: Vec::new(),
            unanswered: 0,
        };
        self.in_flight.insert(self.batches_created, batch);
        Some(self.batches_created)
    }
}

impl Controller {
    /// Adds a valid submission to those that wait for a batch. A repeated submission of a waiting job is
    /// answered together with the first one.
    pub(super) fn add_to_batch(&mut self, requester: Requester, spec: Rc<JobSpec>) {
        let bytes = raw_json(&spec).get().len() + BATCH_OVERHEAD_BYTES;
        if bytes + BATCH_OVERHEAD_BYTES > self.store.limits().value_bytes {
            let reason = "the submission is too large to be kept";
            return self.answer_error(requester, 422, reason, None);
        }
        let pending = &mut self.submissions.pending;
        if pending.len() >= WAITING_USER_REQUESTS_MAX {
            return self.reject_overloaded(requester);
        }
        match pending.iter_mut().find(|submission| submission.spec.uid == spec.uid) {
            Some(submission) => submission.requesters.push(requester),
            None => pending.push(PendingSubmission {
                requesters: vec![requester],
                spec,
                bytes,
                received_at: self.now.monotonic_ms,
            }),
        }
    }

    /// Sends the waiting submissions as a batch. While the write budget is low they wait longer, so
    /// that one write stores more of them. A submission that has waited too long is relayed to a
    /// peer or rejected.
    pub(in crate::coordination) fn send_batches_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.recovery.is_suspended() {
            let pending = std::mem::take(&mut self.submissions.pending);
            return pending.into_iter().for_each(|submission| self.relay_submission(submission));
        }
        for submission in self.submissions.take_overdue(now) {
            self.relay_submission(submission);
        }
        // Hedging: the state service takes a few hundred milliseconds now and then, and a second copy
        // of the batch is mostly answered at once. It has keys of its own. If both are committed, the
        // earlier one counts, as for any job that is in two batches.
        for id in self.submissions.batches_to_hedge(now) {
            self.send_batch(id, 0.0);
        }
        let Some(first) = self.submissions.pending.first() else { return };
        let is_collecting = now < first.received_at + BATCH_COLLECT_MS;
        if self.store.is_write_budget_low(now) && is_collecting {
            return;
        }
        if self.submissions.in_flight.len() >= BATCHES_IN_FLIGHT_MAX {
            return;
        }
        let limits = self.batch_limits(now);
        if let Some(id) = self.submissions.create_batch(&limits, now) {
            // The limits already keep the batch within the write budget.
            self.send_batch(id, f64::MIN);
        }
    }

    fn batch_limits(&mut self, now: u64) -> BatchLimits {
        let writes_left = self.store.writes_left(now) - USER_WRITE_RESERVE;
        let StoreLimits { value_bytes, transaction_ops, .. } = *self.store.limits();
        // Each value takes one write.
        let values = (writes_left.max(0.0) as usize).min(transaction_ops);
        BatchLimits {
            value_bytes: value_bytes - BATCH_OVERHEAD_BYTES,
            values,
            conditions: (transaction_ops * CONDITIONS_PER_CHANGE).min(1 << ARRIVAL_INDEX_BITS),
            conditions_reserved: values + self.reserved_conditions(),
        }
    }

    /// Sends a copy of a batch if that leaves at least `reserve` writes in the budget.
    fn send_batch(&mut self, id: u64, reserve: f64) {
        let now = self.now.monotonic_ms;
        let read_point = self.store.read_point();
        let mut depending_on_rebuild = Transaction::default();
        self.add_rebuild_condition(&mut depending_on_rebuild);
        let Some(batch) = self.submissions.in_flight.get_mut(&id) else { return };
        let writes = batch.values.len();
        if !self.store.take_writes(writes as f64, reserve, now) {
            return;
        }
        let transaction =
            batch.transaction(id, self.process_id, self.now.wall_ms, depending_on_rebuild);
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let copy = batch.copies.len();
        batch.copies.push(BatchCopy { transaction, read_point });
        batch.unanswered += 1;
        let purpose = CallPurpose::Submit { batch: id, copy };
        self.transaction_call(body, writes, purpose);
    }

    /// Relays a submission that we can't accept to a peer, once for each request.
    fn relay_submission(&mut self, submission: PendingSubmission) {
        let body = serde_json::to_vec(&*submission.spec).unwrap_or_default();
        for requester in submission.requesters {
            self.relay_or_reject(requester, "POST", JOBS_PATH.into(), body.clone());
        }
    }

    pub(in crate::coordination) fn on_batch_response(
        &mut self,
        id: u64,
        copy: usize,
        response: Option<Response>,
    ) {
        // The batch is gone if another copy has decided it.
        let Some(batch) = self.submissions.in_flight.get_mut(&id) else { return };
        batch.unanswered -= 1;
        let is_decided = matches!(response, Some(Response { status: 200 | 409, .. }));
        if !is_decided && batch.unanswered > 0 {
            return;
        }
        let Some(batch) = self.submissions.in_flight.remove(&id) else { return };
        match response {
            Some(Response { status: 200, body }) => self.accept_batch(batch, copy, &body),
            Some(Response { status: 409, body }) => self.resolve_batch_conflict(batch, &body),
            Some(Response { status: 429, .. }) => self.reject_batch(batch),
            _ => batch.submissions.into_iter().for_each(|s| self.relay_submission(s)),
        }
    }

    /// Answers the submissions of a batch that was committed.
    ///
    /// The batch is not applied to the replica ahead of the watch: if a job is in two batches the
    /// earlier one counts, and the watch delivers them in order.
    fn accept_batch(&mut self, batch: Batch, copy: usize, body: &[u8]) {
        if let Ok(applied) = serde_json::from_slice::<TransactionApplied>(body) {
            let BatchCopy { transaction, read_point } = &batch.copies[copy];
            if !self.applied_to_trusted_store(*read_point, applied.revision) {
                // The transaction was applied to a store that has lost data, so it accepts nothing.
                return batch.submissions.into_iter().for_each(|s| self.relay_submission(s));
            }
            self.record_own_transaction(transaction, applied.revision);
            self.store.record_revision(applied.revision);
        }
        for submission in batch.submissions {
            self.confirm_submission(submission);
        }
    }

    fn confirm_submission(&mut self, submission: PendingSubmission) {
        let PendingSubmission { requesters, spec, received_at, .. } = submission;
        let waited_ms = self.now.monotonic_ms - received_at;
        self.metrics.work.accepted += 1;
        let _ = self.metrics.submit_ms.record(waited_ms);
        log::debug!(
            "job accepted: {} after {waited_ms} ms, tasks {}, class {}, team {}, image {} of {} GB, \
             deadline_s {:?}",
            spec.uid,
            spec.tasks,
            spec.class,
            spec.team,
            spec.image,
            spec.size_gb,
            spec.deadline_s
        );
        for requester in requesters {
            let accepted = JobStatusResponse { uid: &spec.uid, status: JobStatus::Queued };
            self.answer_json(requester, 201, &accepted);
        }
    }

    /// Handles a conflict: the batch was not stored because a condition failed. A submission whose
    /// job has ended by now is answered after a fresh read; the others wait for a batch again.
    fn resolve_batch_conflict(&mut self, batch: Batch, body: &[u8]) {
        let failed_keys = TransactionConflict::failed_keys(body);
        for submission in batch.submissions {
            if !failed_keys.contains(&job_end_key(&submission.spec.uid)) {
                self.submissions.pending.push(submission);
                continue;
            }
            for requester in submission.requesters {
                let job_id = submission.spec.uid.clone();
                self.request_read_for_submission(requester, job_id, None);
            }
        }
    }

    /// Rejects the submissions of a batch that hit the state service's rate limit.
    fn reject_batch(&mut self, batch: Batch) {
        for requester in batch.submissions.into_iter().flat_map(|s| s.requesters) {
            self.answer_error(requester, 503, "too many submissions", Some(RETRY_AFTER_S));
        }
    }
}
