//! Leadership: a leased key, and a term that only grows, taken in one commit.

use super::recovery::SentAt;
use super::{Controller, Leader, Purpose};
use crate::constants::{
    ELECTION_JITTER_MS, ELECTION_REFUSALS_MAX, HANDOVER_REST_MS, LEADER_LIFE_MS,
    LEADER_RENEW_CALL_MS, LEADER_RENEW_MS, STATE_CALL_MS, STATE_RETRY_MS, STATE_RPS_SHARE,
    WRITE_SHARE_LEADER,
};
use crate::protocol::state::Commit;
use crate::protocol::state::{raw, Committed, If, Lease, NewLease, Write, COMMIT_PATH};
use crate::storage::records::{leader_key, term_key, LeaderRec, TermRec};
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
        let now = self.now.mono;
        if self.leader.is_some()
            || self.election.busy
            || !self.may_stand()
            || now < self.election.rest_until
        {
            return;
        }
        let vacant = match &self.replica.leader {
            None => true,
            // An earlier life of this very controller: it is surely over.
            Some(l) => l.value.label == self.cfg.label && l.value.incarnation != self.incarnation,
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
        self.state_call("POST", "/holds".into(), body, STATE_CALL_MS, Purpose::Lease);
    }

    pub(super) fn lease_granted(&mut self, reply: Option<(u16, Vec<u8>)>) {
        self.election.busy = false;
        self.election.stand_at = None;
        let hold: Option<Lease> = match reply {
            Some((200 | 201, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(hold) = hold else { return };
        let own = |l: &LeaderRec| l.label == self.cfg.label && l.incarnation != self.incarnation;
        let leader_stamp = match &self.replica.leader {
            None => 0,
            Some(l) if own(&l.value) => l.stamp,
            Some(_) => return,
        };
        if self.recovery.holds() && !self.may_stand() {
            return;
        }
        let term = self.next_term();
        let rec = LeaderRec { label: self.cfg.label.clone(), incarnation: self.incarnation, term };
        let mut commit = Commit {
            conditions: vec![
                If { key: leader_key(), stamp: leader_stamp },
                If { key: term_key(), stamp: self.replica.stamp(&term_key()) },
            ],
            writes: vec![
                Write::Put { write: leader_key(), data: raw(&rec), lease_id: Some(hold.lease_id) },
                Write::put(term_key(), &TermRec { term }),
            ],
        };
        self.add_to_election(&mut commit, term);
        self.election.busy = true;
        self.writes.take(2.0, f64::MIN, self.now.mono);
        let body = serde_json::to_vec(&commit).unwrap_or_default();
        let purpose = Purpose::Elect { lease_id: hold.lease_id, term, sent: self.sent_at() };
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    pub(super) fn elected(
        &mut self,
        lease_id: u64,
        term: u64,
        sent: SentAt,
        reply: Option<(u16, Vec<u8>)>,
    ) {
        self.election.busy = false;
        let won: Option<Committed> = match reply {
            Some((200, body)) => serde_json::from_slice(&body).ok(),
            Some((409, _)) => return self.election_refused(),
            // An unanswered commit may still apply. Nobody renews its lease then, so it
            // ends by itself, and the next attempt takes a new term.
            _ => None,
        };
        let Some(won) = won else { return };
        self.election.refusals = 0;
        if !self.won_in_present_store(sent, won.ledger_rev) {
            return;
        }
        if self.leader_stamp_was_used(won.ledger_rev) {
            log::info!("the leader key has had this stamp before the loss, stands again");
            let path = format!("/holds/{lease_id}");
            return self.state_call("DELETE", path, vec![], STATE_CALL_MS, Purpose::StepDown);
        }
        // The watch may have told of our own term before this answer came: only a higher one
        // counts. Taking an equal one for someone else's once cost three terms in a row.
        if self.term_heard > term {
            return;
        }
        log::info!("leads in term {term}");
        self.term_heard = term;
        self.sync.max_rev = self.sync.max_rev.max(won.ledger_rev);
        let all = self.cfg.params.cloud.rps * STATE_RPS_SHARE;
        self.cloud.set_rate(all, self.now.mono);
        self.leader = Some(Leader::new(
            term,
            won.ledger_rev,
            lease_id,
            self.peers.len(),
            self.now.mono,
            self.replica.hash_keys(),
        ));
        self.set_state_rates();
        self.begin_rebuild_if_lost();
        self.leader_wants_fresh();
    }

    /// Somebody else may have won. Where nobody is seen to again and again, the store has keys that we don't
    /// know of.
    fn election_refused(&mut self) {
        self.election.refusals += 1;
        if self.election.refusals >= ELECTION_REFUSALS_MAX {
            self.election.refusals = 0;
            self.suspect(None);
        }
    }

    /// Sets this controller's part of what the state service allows all of them.
    pub(super) fn set_state_rates(&mut self) {
        let controllers = self.cfg.controllers();
        let share = match self.leader.is_some() {
            true => leader_write_share(controllers),
            false => follower_write_share(controllers),
        };
        self.writes.set_rate(self.limits.writes_per_s * share, self.now.mono);
        let reads = self.limits.requests_per_s * STATE_RPS_SHARE / controllers as f64;
        self.reads.set_rate(reads, self.now.mono);
    }

    pub(super) fn renew_due(&mut self) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if l.renewing || now < l.renew_at {
            return;
        }
        l.renewing = true;
        l.renew_at = now + LEADER_RENEW_MS;
        let lease_id = l.lease_id;
        let path = format!("/holds/{lease_id}/renew");
        let purpose = Purpose::Renew { lease_id };
        self.state_call("POST", path, b"{}".to_vec(), LEADER_RENEW_CALL_MS, purpose);
    }

    pub(super) fn renewed(&mut self, lease_id: u64, reply: Option<(u16, Vec<u8>)>) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut().filter(|l| l.lease_id == lease_id) else {
            return;
        };
        l.renewing = false;
        match reply {
            Some((200..=299, _)) => {}
            Some((404, _)) => {
                self.step_down("the lease has ended");
                self.doubt_leader_key();
            }
            _ => l.renew_at = now + STATE_RETRY_MS,
        }
    }

    /// Steps down when someone has a higher term, or our key is not ours any more.
    pub(super) fn check_term(&mut self) {
        let Some(l) = &self.leader else { return };
        if self.term_heard > l.term {
            return self.step_down("there is a higher term");
        }
        let known = self.replica.rev >= l.stamp;
        if known && self.replica.stamp(&leader_key()) != l.stamp {
            self.step_down("the leader key is not ours");
        }
    }

    pub(super) fn step_down(&mut self, why: &str) {
        let Some(l) = self.leader.take() else { return };
        self.leave_rebuild();
        log::info!("no longer leads in term {}: {why}", l.term);
        self.set_state_rates();
        let rps = self.cfg.params.cloud.rps * STATE_RPS_SHARE / self.cfg.controllers() as f64;
        self.cloud.set_rate(rps, self.now.mono);
        for held in l.held {
            self.redirect(held.conn);
        }
    }

    /// Gives leadership up so that a controller that hears the workers can take it.
    pub(super) fn hand_over(&mut self, why: &str) {
        let Some(l) = &self.leader else { return };
        let path = format!("/holds/{}", l.lease_id);
        self.state_call("DELETE", path, vec![], STATE_CALL_MS, Purpose::StepDown);
        self.election.rest_until = self.now.mono + HANDOVER_REST_MS;
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
