//! Leadership: a leased key, and a term that only grows, taken in one commit.

use super::store_client::ReadPoint;
use super::{CallPurpose, Controller, Leader};
use crate::constants::{
    ELECTION_JITTER_MS, ELECTION_REFUSALS_MAX, HANDOVER_REST_MS, LEADER_LIFE_MS,
    LEADER_RENEW_CALL_MS, LEADER_RENEW_MS, STATE_CALL_MS, STATE_RETRY_MS, WRITE_SHARE_LEADER,
};
use crate::protocol::http::Response;
use crate::protocol::state::Transaction;
use crate::protocol::state::{
    raw, Condition, Lease, Mutation, NewLease, TransactionApplied, COMMIT_PATH,
};
use crate::storage::records::{leader_key, term_key, LeaderRecord, TermRecord};
use rand::Rng;

/// How far this controller is with becoming leader.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// A call for it is under way.
    busy: bool,
    /// When we may stand, once there is no leader.
    stand_at: Option<u64>,
    /// Elections in a row that were refused although nobody was seen to win.
    refusals: u32,
    /// We handed over and let others go first until then.
    pub rest_until: u64,
}

impl Controller {
    pub(super) fn election_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.leader.is_some()
            || self.election.busy
            || !self.may_campaign()
            || now < self.election.rest_until
        {
            return;
        }
        let vacant = match &self.store.replica().leader {
            None => true,
            // An earlier life of this very controller: it is surely over.
            Some(leader) => {
                leader.value.label == self.settings.label
                    && leader.value.incarnation != self.process_id
            }
        };
        if !vacant {
            self.election.stand_at = None;
            self.election.refusals = 0;
            return;
        }
        let at = match self.election.stand_at {
            Some(at) => at,
            None => {
                let at = now + self.rng.random_range(0..=ELECTION_JITTER_MS);
                self.election.stand_at = Some(at);
                at
            }
        };
        if now < at {
            return;
        }
        self.election.busy = true;
        let body = serde_json::to_vec(&NewLease { life_ms: LEADER_LIFE_MS }).unwrap_or_default();
        self.state_call("POST", "/holds".into(), body, STATE_CALL_MS, CallPurpose::Lease);
    }

    pub(super) fn on_lease_granted(&mut self, reply: Option<Response>) {
        self.election.busy = false;
        self.election.stand_at = None;
        let hold: Option<Lease> = match reply {
            Some(Response { status: 200 | 201, body }) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(hold) = hold else { return };
        let own = |leader: &LeaderRecord| {
            leader.label == self.settings.label && leader.incarnation != self.process_id
        };
        let leader_key_revision = match &self.store.replica().leader {
            None => 0,
            Some(leader) if own(&leader.value) => leader.mod_revision,
            Some(_) => return,
        };
        if self.recovery.is_suspended() && !self.may_campaign() {
            return;
        }
        let term = self.next_term();
        let rec =
            LeaderRecord { label: self.settings.label.clone(), incarnation: self.process_id, term };
        let mut commit = Transaction {
            conditions: vec![
                Condition { key: leader_key(), mod_revision: leader_key_revision },
                Condition {
                    key: term_key(),
                    mod_revision: self.store.replica().mod_revision(&term_key()),
                },
            ],
            writes: vec![
                Mutation::Put {
                    key: leader_key(),
                    value: raw(&rec),
                    lease_id: Some(hold.lease_id),
                },
                Mutation::put(term_key(), &TermRecord { term }),
            ],
        };
        self.add_recovery_writes(&mut commit, term);
        self.election.busy = true;
        self.store.take_writes(2.0, f64::MIN, self.now.monotonic_ms);
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose =
            CallPurpose::Elect { lease_id: hold.lease_id, term, sent: self.store.read_point() };
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    pub(super) fn on_election_response(
        &mut self,
        lease_id: u64,
        term: u64,
        sent: ReadPoint,
        reply: Option<Response>,
    ) {
        self.election.busy = false;
        let won: Option<TransactionApplied> = match reply {
            Some(Response { status: 200, body }) => serde_json::from_slice(&body).ok(),
            Some(Response { status: 409, .. }) => return self.election_refused(),
            // An unanswered commit may still apply. Nobody renews its lease then, so it
            // ends by itself, and the next attempt takes a new term.
            _ => None,
        };
        let Some(won) = won else { return };
        self.election.refusals = 0;
        if !self.applied_to_current_store(sent, won.revision) {
            return;
        }
        if self.leader_revision_was_used(won.revision) {
            log::info!("the leader key has had this stamp before the loss, stands again");
            let path = format!("/holds/{lease_id}");
            return self.state_call("DELETE", path, vec![], STATE_CALL_MS, CallPurpose::StepDown);
        }
        // The watch may have told of our own term before this answer came: only a higher one
        // counts. Taking an equal one for someone else's once cost three terms in a row.
        if self.membership.highest_term() > term {
            return;
        }
        log::info!("leads in term {term}");
        self.membership.note_term(term);
        self.store.note_revision(won.revision);
        self.cloud.set_leader_rate(self.now.monotonic_ms);
        self.leader = Some(Leader::new(
            term,
            won.revision,
            lease_id,
            self.membership.peer_count(),
            self.now.monotonic_ms,
            self.store.replica().hash_keys(),
        ));
        self.set_state_rates();
        self.start_rebuild_if_lost();
        self.request_leader_read();
    }

    /// Somebody else may have won. Where nobody is seen to again and again, the store has keys that we don't
    /// know of.
    fn election_refused(&mut self) {
        self.election.refusals += 1;
        if self.election.refusals >= ELECTION_REFUSALS_MAX {
            self.election.refusals = 0;
            self.suspect_data_loss(None);
        }
    }

    /// Sets this controller's part of what the state service allows all of them.
    pub(super) fn set_state_rates(&mut self) {
        let controllers = self.settings.controllers();
        let write_share = match self.leader.is_some() {
            true => leader_write_share(controllers),
            false => follower_write_share(controllers),
        };
        self.store.set_rates(controllers, write_share, self.now.monotonic_ms);
    }

    pub(super) fn renew_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if leader.renewing || now < leader.renew_at {
            return;
        }
        leader.renewing = true;
        leader.renew_at = now + LEADER_RENEW_MS;
        let lease_id = leader.lease_id;
        let path = format!("/holds/{lease_id}/renew");
        let purpose = CallPurpose::Renew { lease_id };
        self.state_call("POST", path, b"{}".to_vec(), LEADER_RENEW_CALL_MS, purpose);
    }

    pub(super) fn on_lease_renewal_response(&mut self, lease_id: u64, reply: Option<Response>) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.lease_id == lease_id) else {
            return;
        };
        leader.renewing = false;
        match reply {
            Some(Response { status: 200..=299, .. }) => {}
            Some(Response { status: 404, .. }) => {
                self.step_down("the lease has ended");
                self.suspect_stale_leader_key();
            }
            _ => leader.renew_at = now + STATE_RETRY_MS,
        }
    }

    /// Steps down when someone has a higher term, or our key is not ours any more.
    pub(super) fn check_term(&mut self) {
        let Some(leader) = &self.leader else { return };
        if self.membership.highest_term() > leader.term {
            return self.step_down("there is a higher term");
        }
        let known = self.store.replica().revision >= leader.mod_revision;
        if known && self.store.replica().mod_revision(&leader_key()) != leader.mod_revision {
            self.step_down("the leader key is not ours");
        }
    }

    pub(super) fn step_down(&mut self, why: &str) {
        let Some(leader) = self.leader.take() else { return };
        self.abandon_rebuild();
        log::info!("no longer leads in term {}: {why}", leader.term);
        self.set_state_rates();
        self.cloud.set_follower_rate(self.settings.controllers(), self.now.monotonic_ms);
        for held in leader.deferred_heartbeats {
            self.redirect(held.connection());
        }
    }

    /// Gives leadership up so that a controller that hears the workers can take it.
    pub(super) fn hand_over(&mut self, why: &str) {
        let Some(leader) = &self.leader else { return };
        let path = format!("/holds/{}", leader.lease_id);
        self.state_call("DELETE", path, vec![], STATE_CALL_MS, CallPurpose::StepDown);
        self.election.rest_until = self.now.monotonic_ms + HANDOVER_REST_MS;
        self.step_down(why);
    }
}

/// A follower's part of the writes that the state service allows: for users' requests.
pub(super) fn follower_write_share(controllers: usize) -> f64 {
    (1.0 - WRITE_SHARE_LEADER) / controllers as f64
}

/// The leader's part of the writes.
pub(super) fn leader_write_share(controllers: usize) -> f64 {
    WRITE_SHARE_LEADER + follower_write_share(controllers)
}
