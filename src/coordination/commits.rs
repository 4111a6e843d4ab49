//! The leader's commits: starts, settlements, done tasks and ends of jobs, packed together.
//!
//! Placements live in groups, one key each, that hold hundreds of them for any machines and
//! jobs. What starts goes where most has ended, so that one write both settles and starts;
//! the state service takes a few writes a second, and tasks start and end far faster.
//! One commit is under way at a time. Each depends on the stamp of the leader key, of every
//! key that it writes, and on every job that it starts not having ended.

use super::leader::PendingTransaction;
use super::{CallPurpose, Controller};
use crate::constants::{
    COMMIT_BYTES, COMMIT_FRAME_BYTES, CONDITIONS_PER_CHANGE, DONE_BATCH_MS, GARBAGE_PERIOD_MS,
    GROUP_FRAME_BYTES, IMAGES_PERIOD_MS, STATE_CALL_MS, STATE_RETRY_MS, WRITE_RESERVE,
};
use crate::protocol::http::Response;
use crate::protocol::state::Transaction;
use crate::protocol::state::{
    raw, Condition, Mutation, TransactionApplied, TransactionConflict, COMMIT_PATH,
};
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{MachineState, PlacementPhase, TaskId};
use crate::storage::records::{
    catalog_key, chunk_name, done_tasks_key, images_key, job_end_key, leader_key, placements_key,
    shares_key, DoneTasksRecord, ImagesRecord, JobEndRecord, JobId, JobStage, MachineName,
    SharesRecord,
};
use mountgap_recovery::audit::DataLoss;
use std::collections::{BTreeMap, BTreeSet};

/// A placement that a commit stores or takes out.
#[derive(Debug, Clone)]
pub(super) struct PlacementEntry {
    /// The group of placements that it is stored in.
    pub group: u32,
    /// The machine it is on.
    pub machine: MachineName,
    /// The task.
    pub id: TaskId,
    /// Its attempt.
    pub attempt: u64,
    /// Bytes that it takes in the group.
    pub bytes: usize,
}

/// A placement that a commit moves from one group to another.
#[derive(Debug, Clone)]
pub(super) struct PlacementMove {
    /// The group that it has stood in.
    pub from: u32,
    /// The placement, with the group that it goes to.
    pub entry: PlacementEntry,
}

/// What a commit is for, ahead of everything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransactionScope {
    /// Nothing in particular.
    Everything,
    /// Dividing a group that is too large.
    DivideGroup,
    /// Storing a gang that did not fit beside other changes.
    StoreGang,
}

/// A commit being packed.
pub(super) struct TransactionBuilder {
    /// Conditions: key and stamp.
    pub conditions: BTreeMap<String, u64>,
    /// Changes so far.
    pub writes: Vec<Mutation>,
    /// Bytes of their values.
    pub bytes: usize,
    /// Changes at the most.
    pub max_ops: usize,
    /// Conditions at the most.
    pub max_ifs: usize,
    /// Bytes of one value.
    pub value_bytes_max: usize,
}

impl TransactionBuilder {
    fn room(&self, ops: usize, ifs: usize) -> bool {
        self.writes.len() + ops <= self.max_ops && self.conditions.len() + ifs <= self.max_ifs
    }

    /// Adds a write that depends on the key's stamp; false if it does not fit.
    pub(super) fn put(
        &mut self,
        key: String,
        data: Box<serde_json::value::RawValue>,
        mod_revision: u64,
    ) -> bool {
        let bytes = data.get().len();
        let fits = bytes <= self.value_bytes_max
            && self.bytes + bytes <= COMMIT_BYTES - COMMIT_FRAME_BYTES
            && self.room(1, 1);
        if fits {
            self.bytes += bytes;
            self.conditions.insert(key.clone(), mod_revision);
            self.writes.push(Mutation::Put { key, value: data, lease_id: None });
        }
        fits
    }
}

impl Controller {
    pub(super) fn commit_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(f) = &leader.pending_transaction {
            if !f.in_flight && f.awaiting_read_since.is_none() && now >= f.not_before {
                self.send_commit();
            }
            return;
        }
        // What was never stored needs no commit to be over.
        if leader.cluster.drop_unstored_settlements() {
            leader.plan_soon(now);
        }
        let batch = now >= leader.done_at;
        let urgent = !leader.cluster.proposals.is_empty()
            || !leader.cluster.completed_jobs.is_empty()
            || leader.cluster.groups.values().any(|g| g.urgent);
        let oversized = leader.cluster.has_oversized_group(self.store.limits().value_bytes);
        // Every second commit divides until no group is too large. Such a commit, and one for a gang that
        // did not fit beside other changes, holds nothing else that can wait, and waits itself for
        // as many writes as a transaction may have.
        let focus = match (oversized && !leader.divided_last, leader.cluster.gang_is_deferred) {
            (true, _) => TransactionScope::DivideGroup,
            (false, true) => TransactionScope::StoreGang,
            (false, false) => TransactionScope::Everything,
        };
        if (urgent || batch) && self.store_is_usable() {
            let left = (self.store.writes_left(now) - WRITE_RESERVE).max(0.0) as usize;
            let most = self.store.limits().transaction_ops;
            let burst = (self.store.write_budget().burst() - WRITE_RESERVE).max(1.0) as usize;
            let least = if focus == TransactionScope::Everything { 1 } else { most.min(burst) };
            if left >= least {
                self.build_commit(batch, focus, left.min(most));
                self.send_commit();
            }
        }
    }

    /// Packs what is to be written into one commit, the most urgent first.
    fn build_commit(&mut self, batch: bool, focus: TransactionScope, max_ops: usize) {
        let now = self.now.monotonic_ms;
        let cap = self.store.limits().value_bytes;
        let Some(leader) = self.leader.as_mut() else { return };
        leader.divided_last = focus == TransactionScope::DivideGroup;
        let mut p = TransactionBuilder {
            conditions: BTreeMap::from([(leader_key(), leader.mod_revision)]),
            writes: Vec::new(),
            bytes: 0,
            max_ops,
            max_ifs: self.store.limits().transaction_ops * CONDITIONS_PER_CHANGE,
            value_bytes_max: cap,
        };
        let mut f = PendingTransaction::default();
        let starting = !leader.cluster.proposals.is_empty();
        // Ends of jobs: users wait for them, but starts go along.
        let ends = match (focus, starting) {
            (TransactionScope::Everything, true) => max_ops.div_ceil(2),
            (TransactionScope::Everything, false) => max_ops,
            _ => 0,
        };
        for uid in &leader.cluster.completed_jobs {
            let Some(job) = leader.cluster.jobs.get(uid) else { continue };
            let rec = JobEndRecord {
                at: job.accepted_at_wall_ms,
                stage: JobStage::Done,
                tasks: job.tasks,
                done: job.done_count,
            };
            if p.writes.len() >= ends || !p.put(job_end_key(uid), raw(&rec), 0) {
                break;
            }
            f.finished_jobs.push(uid.clone());
        }
        if batch && focus == TransactionScope::Everything {
            leader.done_at = now + DONE_BATCH_MS;
            leader.cluster.pack_done(&mut p, &mut f, usize::from(starting));
        }
        leader.cluster.pack_places(&mut p, &mut f, batch, focus);
        if batch && focus == TransactionScope::Everything {
            // Hints and tidying up only with writes to spare.
            let plenty = !self.store.writes_are_short(now);
            if plenty {
                self.pack_rest(&mut p, &mut f);
            }
        }
        if p.writes.is_empty() {
            return;
        }
        let conditions = p
            .conditions
            .into_iter()
            .map(|(key, mod_revision)| Condition { key, mod_revision })
            .collect();
        f.commit = Transaction { conditions, writes: p.writes };
        f.body = serde_json::to_vec(&f.commit).unwrap_or_default();
        if let Some(leader) = self.leader.as_mut() {
            leader.pending_transaction = Some(f);
        }
    }

    /// Catalogue, shares, images on machines, and keys that nobody needs any more.
    fn pack_rest(&mut self, p: &mut TransactionBuilder, f: &mut PendingTransaction) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(catalog) = self.cloud.catalog().filter(|_| !leader.catalog_written) {
            let known = self.store.replica().catalog.as_ref();
            let alike = known.is_some_and(|k| {
                k.value
                    .machine_types
                    .iter()
                    .map(|b| &b.type_name)
                    .eq(catalog.machine_types.iter().map(|b| &b.type_name))
            });
            let mod_revision = known.map_or(0, |k| k.mod_revision);
            leader.catalog_written = alike || p.put(catalog_key(), raw(&**catalog), mod_revision);
        }
        if !leader.shares_written {
            let names = self.settings.params.teams.iter().map(|t| t.name.clone());
            let rec = SharesRecord {
                term: leader.term,
                teams: names.zip(leader.shares.clone()).collect(),
            };
            let mod_revision = self.store.replica().shares.as_ref().map_or(0, |s| s.mod_revision);
            leader.shares_written = p.put(shares_key(), raw(&rec), mod_revision);
        }
        if now >= leader.images_at {
            let mut all = true;
            for (n, rec) in leader.cluster.image_records(p.value_bytes_max).into_iter().enumerate()
            {
                let known = self.store.replica().images.get(&(n as u32));
                if known.is_none_or(|k| k.value != rec) {
                    let mod_revision = known.map_or(0, |k| k.mod_revision);
                    all &= p.put(images_key(n as u32), raw(&rec), mod_revision);
                }
            }
            if all {
                leader.images_at = now + IMAGES_PERIOD_MS;
            }
        }
        if now >= leader.garbage_at && leader.cluster.stale_keys.is_empty() {
            leader.garbage_at = now + GARBAGE_PERIOD_MS;
            // Batches whose jobs are all over, with nothing left on machines.
            let over = |uid: &JobId| {
                self.store.replica().has_ended(uid) && !leader.cluster.jobs.contains_key(uid)
            };
            for (key, batch) in &self.store.replica().batches {
                if batch.value.iter().all(over) {
                    leader.cluster.stale_keys.push((key.to_string(), batch.mod_revision));
                }
            }
        }
        while p.room(1, 1) {
            let Some((key, mod_revision)) = leader.cluster.stale_keys.pop() else { break };
            p.conditions.insert(key.clone(), mod_revision);
            p.writes.push(Mutation::Remove { key: key.clone() });
            f.stale_keys.push((key, mod_revision));
        }
    }

    fn send_commit(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(f) = leader.pending_transaction.as_mut() else { return };
        let n = f.commit.writes.len() as f64;
        if !self.store.take_writes(n, 0.0, now) {
            return;
        }
        f.in_flight = true;
        let body = f.body.clone();
        self.metrics.work.state_writes += n as u64;
        let purpose = CallPurpose::LeaderCommit { term: leader.term };
        self.state_call("POST", COMMIT_PATH.into(), body, STATE_CALL_MS, purpose);
    }

    pub(super) fn on_leader_commit_response(&mut self, term: u64, reply: Option<Response>) {
        let now = self.now.monotonic_ms;
        // An answer to a commit of an earlier term of ours says nothing about this one's.
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) else {
            return;
        };
        let Some(f) = leader.pending_transaction.as_mut() else { return };
        f.in_flight = false;
        match reply {
            Some(Response { status: 200, body }) => {
                match serde_json::from_slice::<TransactionApplied>(&body) {
                    Ok(done) => {
                        let (known, shown) = (leader.mod_revision, done.revision);
                        if shown <= known && self.recovery.notices_losses() {
                            return self.suspect_data_loss(Some(DataLoss::RevisionRegressed {
                                known,
                                shown,
                            }));
                        }
                        self.apply_pending_transaction(shown)
                    }
                    Err(_) => f.outcome_unknown = true,
                }
            }
            Some(Response { status: 409, body }) => {
                let failed = serde_json::from_slice::<TransactionConflict>(&body)
                    .map(|c| c.failed)
                    .unwrap_or_default();
                log::debug!("commit refused: {failed:?}");
                if !f.outcome_unknown && failed.contains(&leader_key()) {
                    self.step_down("the leader key has changed");
                    return self.suspect_stale_leader_key();
                }
                f.awaiting_read_since = Some(now);
                self.request_leader_read();
            }
            // Not executed: if no earlier copy can have been, it is built anew.
            Some(Response { status: 429 | 503, .. }) => {
                f.not_before = now + STATE_RETRY_MS;
                if !f.outcome_unknown {
                    self.discard_pending_transaction();
                }
            }
            Some(Response { status, body }) => {
                log::error!("commit answered {status}: {}", String::from_utf8_lossy(&body));
                f.not_before = now + STATE_RETRY_MS;
                let unclear = f.outcome_unknown;
                if status == 400 {
                    self.store.halve_size_limits();
                }
                match unclear {
                    // Sent again it would be refused for ever, and built anew it might be stored
                    // twice. A new term settles that: earlier copies depend on this one's key.
                    true if status == 400 => {
                        self.step_down("a commit that may be stored is too large by now")
                    }
                    true => {}
                    false => self.discard_pending_transaction(),
                }
            }
            None => f.outcome_unknown = true,
        }
    }

    /// A refused commit, after a fresh read: applied by an earlier copy, or not at all.
    pub(super) fn resolve_unknown_outcome(&mut self, begun: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(f) = leader.pending_transaction.as_mut() else { return };
        let Some(since) = f.awaiting_read_since else { return };
        if begun < since {
            // A read from before the refusal can't tell.
            return self.request_leader_read();
        }
        f.awaiting_read_since = None;
        if !f.outcome_unknown {
            let agrees = |condition: &Condition| {
                self.store.replica().mod_revision(&condition.key) == condition.mod_revision
            };
            let refused_for_nothing = f.commit.conditions.iter().all(agrees);
            self.discard_pending_transaction();
            if refused_for_nothing {
                // The copy holds what the store denies: one of them is wrong.
                self.suspect_data_loss(None);
            }
            return;
        }
        // All or nothing: one written key tells.
        let applied = f.commit.writes.iter().find_map(|w| {
            let Mutation::Put { key, value, .. } = w else {
                return None;
            };
            let before = f.commit.conditions.iter().find(|i| i.key == *key)?.mod_revision;
            let mod_revision = self.store.replica().mod_revision(key);
            if mod_revision <= before {
                return None;
            }
            self.store.replica().holds(key, value).then_some(mod_revision)
        });
        match applied {
            Some(rev) => self.apply_pending_transaction(rev),
            None => self.discard_pending_transaction(),
        }
    }

    /// The commit was not applied and never will be: all of it is to be written again.
    fn discard_pending_transaction(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(f) = leader.pending_transaction.take() else { return };
        for (uid, chunk) in f.chunks {
            if let Some(j) = leader.cluster.jobs.get_mut(&uid).filter(|j| j.stage == JobStage::Live)
            {
                j.dirty_chunks.insert(chunk);
                if let Some(g) = j.chunk_groups.get(&chunk) {
                    leader.cluster.done_groups.entry(*g).or_default().dirty = true;
                }
            }
        }
        for e in &f.additions {
            let held =
                leader.cluster.machines.get(&e.machine).and_then(|m| m.placements.get(&e.id));
            let kept = held
                .is_some_and(|p| p.attempt == e.attempt && p.phase == PlacementPhase::Committed);
            match kept {
                // On the machine whatever the store says: it must be recorded.
                true => leader.cluster.proposals.push_back((e.machine.clone(), e.id.clone())),
                false => leader.cluster.retract(&e.machine, &e.id),
            }
        }
        let gangs: BTreeSet<&JobId> = f.additions.iter().map(|e| &e.id.job).collect();
        for uid in gangs {
            let gang = leader.cluster.jobs.get_mut(uid).and_then(|job| job.gang.as_mut());
            if let Some(gang) = gang {
                gang.forget_attempt();
            }
        }
        // Stamps of keys that changed under us are taken from the replica. Only our own
        // earlier commits and users' requests write, so nothing is lost by that.
        for n in f.groups {
            if let Some(g) = leader.cluster.groups.get_mut(&n) {
                g.mod_revision = self.store.replica().mod_revision(&placements_key(n));
                g.urgent |= !g.settled.is_empty();
            }
        }
        for n in f.done_groups {
            if let Some(g) = leader.cluster.done_groups.get_mut(&n) {
                g.mod_revision = self.store.replica().mod_revision(&done_tasks_key(n));
            }
        }
        for (key, before) in f.stale_keys {
            // Only what is still as it was: it may have come into use again.
            if self.store.replica().mod_revision(&key) == before && before != 0 {
                leader.cluster.stale_keys.push((key, before));
            }
        }
        leader.plan_soon(self.now.monotonic_ms);
        self.check_term();
    }

    fn apply_pending_transaction(&mut self, rev: u64) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let Some(f) = leader.pending_transaction.take() else { return };
        for n in &f.groups {
            leader.cluster.groups.entry(*n).or_default().mod_revision = rev;
        }
        for n in &f.done_groups {
            leader.cluster.done_groups.entry(*n).or_default().mod_revision = rev;
        }
        for uid in &f.finished_jobs {
            log::debug!("{uid}: done");
            leader.cluster.end_job(uid, JobStage::Done);
        }
        leader.cluster.moved(f.moves);
        for e in &f.removals {
            if let Some(g) = leader.cluster.groups.get_mut(&e.group) {
                let key = (e.id.clone(), e.attempt);
                g.settled.remove(&key);
                if let Some((_, bytes)) = g.placements.remove(&key) {
                    g.bytes -= bytes;
                }
            }
            leader.cluster.settlement_committed(&e.machine, &e.id, e.attempt);
        }
        for e in &f.additions {
            let g = leader.cluster.groups.entry(e.group).or_default();
            g.bytes += e.bytes;
            g.placements.insert((e.id.clone(), e.attempt), (e.machine.clone(), e.bytes));
            leader.cluster.committed(&e.machine, &e.id, e.attempt, e.group);
        }
        if !f.removals.is_empty() {
            leader.plan_soon(now);
        }
        let commit = f.commit;
        self.apply_own_transaction(&commit, rev);
    }
}

impl ClusterState {
    /// Bitmaps that changed, as far as they fit beside `keep` other writes.
    fn pack_done(&mut self, p: &mut TransactionBuilder, f: &mut PendingTransaction, keep: usize) {
        let cap = p.value_bytes_max - GROUP_FRAME_BYTES;
        let dirty: Vec<(JobId, u32)> = self
            .queue
            .values()
            .filter_map(|uid| self.jobs.get(uid))
            .filter(|j| !f.finished_jobs.contains(&j.uid))
            .flat_map(|j| j.dirty_chunks.iter().map(|n| (j.uid.clone(), *n)))
            .collect();
        for (uid, chunk) in dirty {
            let Some(job) = self.jobs.get_mut(&uid) else { continue };
            let bytes = job.chunk_bytes(chunk);
            let n = *job.chunk_groups.entry(chunk).or_insert_with(|| {
                let open = self.done_groups.iter().find(|(_, g)| g.bytes + bytes <= cap);
                let fresh = || (0..).find(|n| !self.done_groups.contains_key(n)).unwrap_or(0);
                let n = open.map_or_else(fresh, |(n, _)| *n);
                let g = self.done_groups.entry(n).or_default();
                g.bytes += bytes;
                g.chunks.insert((uid.clone(), chunk), bytes);
                n
            });
            self.done_groups.entry(n).or_default().dirty = true;
        }
        let dirty: Vec<u32> =
            self.done_groups.iter().filter(|(_, g)| g.dirty).map(|(n, _)| *n).collect();
        for n in dirty {
            if !self.divide_done_group(n, p, f) {
                continue;
            }
            if !p.room(1 + keep, 1) || !self.pack_done_group(n, p, f) {
                return;
            }
        }
    }

    /// Writes one group of bitmaps; false if it does not fit.
    fn pack_done_group(
        &mut self,
        n: u32,
        p: &mut TransactionBuilder,
        f: &mut PendingTransaction,
    ) -> bool {
        let Some(group) = self.done_groups.get_mut(&n) else { return true };
        let mut rec = DoneTasksRecord::default();
        for (uid, chunk) in group.chunks.keys() {
            if let Some(job) = self.jobs.get(uid) {
                rec.bits.insert(chunk_name(uid, *chunk), job.done.chunk_text(*chunk));
            }
        }
        if !p.put(done_tasks_key(n), raw(&rec), group.mod_revision) {
            return false;
        }
        group.dirty = false;
        f.done_groups.push(n);
        for (uid, chunk) in group.chunks.keys() {
            if let Some(job) = self.jobs.get_mut(uid) {
                if job.dirty_chunks.remove(chunk) {
                    f.chunks.push((uid.clone(), *chunk));
                }
            }
        }
        true
    }

    /// Makes a group of bitmaps fit into a value if it was written when values might be larger: chunks
    /// go to groups of their own, which this commit writes too. A chunk that stands in two groups is
    /// read from both, so the parts are written before the rest. False if the commit has no room.
    fn divide_done_group(
        &mut self,
        n: u32,
        p: &mut TransactionBuilder,
        f: &mut PendingTransaction,
    ) -> bool {
        let cap = p.value_bytes_max - GROUP_FRAME_BYTES;
        let Some(group) = self.done_groups.get(&n).filter(|g| g.bytes > cap) else { return true };
        let mut parts: Vec<Vec<((JobId, u32), usize)>> = Vec::new();
        let (mut kept, mut filled) = (0, cap);
        for (chunk, bytes) in &group.chunks {
            if kept + bytes <= cap {
                kept += bytes;
                continue;
            }
            if filled + bytes > cap {
                parts.push(Vec::new());
                filled = 0;
            }
            filled += bytes;
            parts.last_mut().expect("just made").push((chunk.clone(), *bytes));
        }
        if !p.room(parts.len() + 1, parts.len() + 1) {
            return false;
        }
        log::info!("group {n} of bitmaps: divided into {}", parts.len() + 1);
        for part in parts {
            let to = (0..).find(|n| !self.done_groups.contains_key(n)).unwrap_or(0);
            for ((uid, chunk), bytes) in part {
                if let Some(from) = self.done_groups.get_mut(&n) {
                    from.bytes -= from.chunks.remove(&(uid.clone(), chunk)).unwrap_or(0);
                }
                if let Some(job) = self.jobs.get_mut(&uid) {
                    job.chunk_groups.insert(chunk, to);
                }
                let group = self.done_groups.entry(to).or_default();
                group.bytes += bytes;
                group.chunks.insert((uid, chunk), bytes);
                group.dirty = true;
            }
            if !self.pack_done_group(to, p, f) {
                return false;
            }
        }
        true
    }

    /// The images on machines, in parts that fit into a value each.
    fn image_records(&self, cap: usize) -> Vec<ImagesRecord> {
        let mut parts: Vec<ImagesRecord> = Vec::new();
        let mut bytes = cap;
        for m in self
            .machines
            .values()
            .filter(|m| !m.images.is_empty() && m.state != MachineState::Terminated)
        {
            // Each image is named once a part; index and comma take a few bytes each.
            let names: usize = m.images.iter().map(|(k, _)| k.len() + 24).sum();
            let most = m.name.len() + 8 + m.images.len() * 5;
            if bytes + names + most + GROUP_FRAME_BYTES > cap {
                parts.push(ImagesRecord::default());
                bytes = 0;
            }
            let Some(part) = parts.last_mut() else { continue };
            let mut held = Vec::new();
            for (image, gb) in &m.images {
                let i = match part.images.iter().position(|(k, _)| k == image) {
                    Some(i) => i,
                    None => {
                        part.images.push((image.clone(), *gb));
                        bytes += image.len() + 24;
                        part.images.len() - 1
                    }
                };
                held.push(i);
            }
            bytes += most;
            part.held.insert(m.name.to_string(), held);
        }
        parts
    }
}
