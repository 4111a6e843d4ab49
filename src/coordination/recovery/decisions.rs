//! Operators' decisions on jobs that a rebuild has flagged, and on its history gap. Any controller accepts a
//! decision, which takes effect once it is stored.

use super::put_rebuild_record;
use crate::constants::{RETRY_AFTER_S, USER_WRITE_RESERVE};
use crate::coordination::{CallPurpose, ConnectionId, Controller, Requester};
use crate::protocol::http::Response;
use crate::protocol::recovery::{Decision, DecisionAnswer, DecisionRequest};
use crate::protocol::state::{Condition, Mutation, Transaction, TransactionApplied};
use crate::protocol::users::is_valid_job_id;
use crate::storage::records::{flagged_jobs_key, FlaggedJobsRecord, RebuildRecord};
use mountgap_records::constants::REBUILD_KEY;
use std::collections::BTreeSet;

/// A transaction with an operator's decision that was sent to the state service.
#[derive(Debug)]
pub(in crate::coordination) struct DecisionCall {
    connection: ConnectionId,
    transaction: Transaction,
    answer: DecisionAnswer,
}

impl Controller {
    /// Answers with the report on data loss and rebuilds.
    pub(in crate::coordination) fn answer_recovery_report(&mut self, connection: ConnectionId) {
        let body = serde_json::to_vec_pretty(&self.recovery_report()).unwrap_or_default();
        self.respond(connection, 200, None, body);
    }

    /// Handles an operator's decision.
    pub(in crate::coordination) fn handle_decision(
        &mut self,
        connection: ConnectionId,
        decision: Decision,
        body: &[u8],
    ) {
        let requester = Requester::direct(connection, self.now.monotonic_ms);
        let request: DecisionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return self.answer_error(requester, 400, &error.to_string(), None),
        };
        if let Some(job) = request.jobs.iter().find(|job| !is_valid_job_id(job)) {
            return self.answer_error(
                requester,
                400,
                &format!("{job}: must look like job-000412"),
                None,
            );
        }
        if !self.store_is_usable() {
            return self.reject_unavailable(requester);
        }
        self.decide(requester, decision, &request);
    }

    fn decide(&mut self, requester: Requester, decision: Decision, request: &DecisionRequest) {
        let jobs = self.jobs_to_decide(decision, request);
        // Each job may need a write of its own, and another for its group of flagged jobs.
        let jobs_max = (self.store.limits().transaction_ops / 2).max(1);
        let decided: BTreeSet<String> = jobs.iter().take(jobs_max).cloned().collect();
        let left = jobs.len() - decided.len();
        let closes_gap =
            decision == Decision::CloseGap || decision == Decision::Release && request.all;
        let transaction = self.decision_transaction(decision, &decided, closes_gap && left == 0);
        let answer = DecisionAnswer { decided: decided.len(), left };
        if transaction.writes.is_empty() {
            return self.answer_json(requester, 200, &answer);
        }
        self.send_decision(requester, transaction, answer);
    }

    /// The jobs that a decision applies to.
    fn jobs_to_decide(&self, decision: Decision, request: &DecisionRequest) -> Vec<String> {
        let groups = self.store.replica().flagged.values();
        let flagged = groups.flat_map(|group| group.value.jobs.keys()).cloned();
        match (decision, request.all) {
            (Decision::CloseGap, _) => Vec::new(),
            (Decision::Release, false) => {
                flagged.filter(|job| request.jobs.contains(job)).collect()
            }
            (_, true) => flagged.collect(),
            // This includes unknown jobs, which are known only because machines run their tasks.
            (Decision::GiveUp, false) => {
                let open = |job: &&String| !self.store.replica().has_ended(job);
                request.jobs.iter().filter(open).cloned().collect()
            }
        }
    }

    fn decision_transaction(
        &self,
        decision: Decision,
        jobs: &BTreeSet<String>,
        closes_gap: bool,
    ) -> Transaction {
        let mut transaction = Transaction::default();
        if decision == Decision::GiveUp {
            jobs.iter().for_each(|job| self.add_cancellation(job, &mut transaction));
        }
        self.add_flag_removals(jobs, &mut transaction);
        if closes_gap {
            self.add_gap_closure(&mut transaction);
        }
        transaction
    }

    fn send_decision(
        &mut self,
        requester: Requester,
        transaction: Transaction,
        answer: DecisionAnswer,
    ) {
        let writes = transaction.writes.len();
        if !self.store.take_writes(writes as f64, USER_WRITE_RESERVE, self.now.monotonic_ms) {
            return self.answer_error(requester, 503, "too many requests", Some(RETRY_AFTER_S));
        }
        let body = serde_json::to_vec(&transaction).unwrap_or_default();
        let connection = requester.connection();
        let purpose = CallPurpose::Decision(DecisionCall { connection, transaction, answer });
        self.transaction_call(body, writes, purpose);
    }

    /// Adds the writes that remove the flags of jobs.
    fn add_flag_removals(&self, jobs: &BTreeSet<String>, transaction: &mut Transaction) {
        for (group_number, group) in &self.store.replica().flagged {
            if !group.value.jobs.keys().any(|job| jobs.contains(job)) {
                continue;
            }
            let mut kept = FlaggedJobsRecord { jobs: group.value.jobs.clone() };
            kept.jobs.retain(|job, _| !jobs.contains(job));
            let key = flagged_jobs_key(*group_number);
            transaction.writes.push(Mutation::put(key.clone(), &kept));
            transaction.conditions.push(Condition { key, mod_revision: group.mod_revision });
        }
    }

    /// Adds the write that closes the history gap: from then on, a job that is not in the store counts as
    /// never accepted.
    fn add_gap_closure(&self, transaction: &mut Transaction) {
        if !self.has_history_gap() {
            return;
        }
        let Some(known) = &self.store.replica().rebuild else { return };
        let closed = RebuildRecord { gap: Vec::new(), ..known.value.clone() };
        let mod_revision = known.mod_revision;
        transaction.conditions.push(Condition { key: REBUILD_KEY.into(), mod_revision });
        transaction.writes.push(put_rebuild_record(&closed));
    }

    pub(in crate::coordination) fn on_decision_response(
        &mut self,
        call: DecisionCall,
        response: Option<Response>,
    ) {
        let requester = Requester::direct(call.connection, self.now.monotonic_ms);
        match response {
            Some(Response { status: 200, body }) => {
                if let Ok(applied) = serde_json::from_slice::<TransactionApplied>(&body) {
                    self.apply_own_transaction(&call.transaction, applied.revision);
                }
                log::info!("operator decision applied: {} jobs", call.answer.decided);
                self.answer_json(requester, 200, &call.answer);
            }
            _ => {
                self.answer_error(
                    requester,
                    503,
                    "not carried out, ask again",
                    Some(RETRY_AFTER_S),
                );
            }
        }
    }
}
