//! What operators decide on jobs that a rebuild could not account for. Any controller takes a
//! decision; it counts once it is committed.

use crate::constants::{RETRY_AFTER_S, STATE_CALL_MS, WRITE_KEEP_USERS};
use crate::coordination::{CallPurpose, ConnectionId, Controller, Requester};
use crate::protocol::http::Response;
use crate::protocol::recovery::{Decision, DecisionAnswer, DecisionRequest};
use crate::protocol::state::{Condition, Mutation, Transaction, TransactionApplied, COMMIT_PATH};
use crate::protocol::users::valid_uid;
use crate::storage::records::{
    flagged_jobs_key, job_end_key, FlaggedJobsRecord, JobEndRecord, JobStage, RebuildRecord,
};
use mountgap_records::constants::REBUILD_KEY;
use std::collections::BTreeSet;

/// An operator's decision on its way.
#[derive(Debug)]
pub(in crate::coordination) struct DecisionCall {
    connection: ConnectionId,
    commit: Transaction,
    answer: DecisionAnswer,
}

impl Controller {
    /// Answers with what operators are told of losses and rebuilds of the store.
    pub(in crate::coordination) fn answer_recovery_report(&mut self, connection: ConnectionId) {
        let body = serde_json::to_vec_pretty(&self.recovery_report()).unwrap_or_default();
        self.respond(connection, 200, None, body);
    }

    /// Takes an operator's decision.
    pub(in crate::coordination) fn recovery_decision(
        &mut self,
        connection: ConnectionId,
        decision: Decision,
        body: &[u8],
    ) {
        let requester = Requester::direct(connection, self.now.monotonic_ms);
        let request: DecisionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(e) => return self.refuse(requester, 400, &e.to_string(), None),
        };
        if let Some(job) = request.jobs.iter().find(|job| !valid_uid(job)) {
            return self.refuse(requester, 400, &format!("{job}: must look like job-000412"), None);
        }
        if !self.store_is_usable() {
            return self.unavailable(requester);
        }
        self.decide(requester, decision, &request);
    }

    fn decide(&mut self, requester: Requester, decision: Decision, request: &DecisionRequest) {
        let groups = self.store.replica().flagged.values();
        let flagged = groups.flat_map(|group| group.value.jobs.keys()).cloned();
        let jobs: Vec<String> = match (decision, request.all) {
            (Decision::CloseGap, _) => Vec::new(),
            (Decision::Release, false) => {
                flagged.filter(|job| request.jobs.contains(job)).collect()
            }
            (_, true) => flagged.collect(),
            // Also a job of which nothing is known but that its tasks run.
            (Decision::GiveUp, false) => {
                let open = |job: &&String| !self.store.replica().has_ended(job);
                request.jobs.iter().filter(open).cloned().collect()
            }
        };
        // Each job may take a write of its own, and a group of flags another.
        let most = (self.store.limits().transaction_ops / 2).max(1);
        let now_decided: BTreeSet<String> = jobs.iter().take(most).cloned().collect();
        let left = jobs.len() - now_decided.len();
        let mut commit = Transaction::default();
        if decision == Decision::GiveUp {
            now_decided.iter().for_each(|job| self.add_end_of(job, &mut commit));
        }
        self.add_unflagging(&now_decided, &mut commit);
        let closes = decision == Decision::CloseGap || decision == Decision::Release && request.all;
        if closes && left == 0 {
            self.add_closing(&mut commit);
        }
        let answer = DecisionAnswer { decided: now_decided.len(), left };
        if commit.writes.is_empty() {
            return self.answer_json(requester, 200, &answer);
        }
        let ops = commit.writes.len() as f64;
        if !self.store.take_writes(ops, WRITE_KEEP_USERS, self.now.monotonic_ms) {
            return self.refuse(requester, 503, "too many requests", Some(RETRY_AFTER_S));
        }
        self.metrics.work.state_writes += ops as u64;
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose = CallPurpose::Decision(DecisionCall {
            connection: requester.connection(),
            commit,
            answer,
        });
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    /// Ends a job as cancelled.
    fn add_end_of(&self, job: &str, commit: &mut Transaction) {
        let known = self.store.replica().jobs.get(job).map(|known| &known.value);
        let end = JobEndRecord {
            at: known.map_or(self.now.wall_ms, |known| known.at),
            stage: JobStage::Cancelled,
            tasks: known.map_or(0, |known| known.tasks),
            done: self.store.replica().done_bitmap(job).count(),
        };
        commit.conditions.push(Condition { key: job_end_key(job), mod_revision: 0 });
        commit.writes.push(Mutation::put(job_end_key(job), &end));
    }

    fn add_unflagging(&self, jobs: &BTreeSet<String>, commit: &mut Transaction) {
        for (n, group) in &self.store.replica().flagged {
            if !group.value.jobs.keys().any(|job| jobs.contains(job)) {
                continue;
            }
            let kept = group.value.jobs.iter().filter(|(job, _)| !jobs.contains(*job));
            let kept =
                FlaggedJobsRecord { jobs: kept.map(|(job, why)| (job.clone(), *why)).collect() };
            commit
                .conditions
                .push(Condition { key: flagged_jobs_key(*n), mod_revision: group.mod_revision });
            commit.writes.push(Mutation::put(flagged_jobs_key(*n), &kept));
        }
    }

    /// From now on a job that is not known was never accepted.
    fn add_closing(&self, commit: &mut Transaction) {
        let Some(mark) = self.store.replica().rebuild.as_ref().filter(|_| self.has_history_gap())
        else {
            return;
        };
        let closed = RebuildRecord { gap: Vec::new(), ..mark.value.clone() };
        commit
            .conditions
            .push(Condition { key: REBUILD_KEY.into(), mod_revision: mark.mod_revision });
        commit.writes.push(Mutation::put(REBUILD_KEY.into(), &closed));
    }

    pub(in crate::coordination) fn on_decision_response(
        &mut self,
        call: DecisionCall,
        reply: Option<Response>,
    ) {
        let requester = Requester::direct(call.connection, self.now.monotonic_ms);
        match reply {
            Some(Response { status: 200, body }) => {
                if let Ok(done) = serde_json::from_slice::<TransactionApplied>(&body) {
                    self.apply_own_transaction(&call.commit, done.revision);
                }
                log::info!("an operator has decided on {} jobs", call.answer.decided);
                self.answer_json(requester, 200, &call.answer);
            }
            _ => self.refuse(requester, 503, "not carried out, ask again", Some(RETRY_AFTER_S)),
        }
    }
}
