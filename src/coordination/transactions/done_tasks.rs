//! Writes of the done-task bitmaps. Chunks of bitmaps are stored in groups, each group under one key.

use super::builder::TransactionBuilder;
use super::pending::PendingTransaction;
use crate::constants::GROUP_OVERHEAD_BYTES;
use crate::protocol::state::raw_json;
use crate::storage::cluster::ClusterState;
use crate::storage::done_tasks_group::DoneTasksGroup;
use crate::storage::records::{chunk_name, done_tasks_key, DoneTasksRecord, JobId};

/// A chunk of a job's bitmap and the maximum bytes that it takes in a stored group.
type SizedChunk = ((JobId, u32), usize);

impl ClusterState {
    /// Adds the groups with changed bitmaps, as many as fit while `writes_kept` writes stay free.
    pub(super) fn pack_done_tasks(
        &mut self,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
        writes_kept: usize,
    ) {
        self.mark_groups_of_changed_chunks(pending, builder.value_bytes_max - GROUP_OVERHEAD_BYTES);
        let is_dirty = |(_, group): &(&u32, &DoneTasksGroup)| group.dirty;
        let dirty_groups: Vec<u32> =
            self.done_groups.iter().filter(is_dirty).map(|(number, _)| *number).collect();
        for number in dirty_groups {
            if !self.split_done_group(number, builder, pending) {
                continue;
            }
            let has_capacity = builder.has_capacity(1 + writes_kept, 1);
            if !has_capacity || !self.pack_done_group(number, builder, pending) {
                return;
            }
        }
    }

    /// Assigns every changed chunk to a group and marks those groups as dirty.
    fn mark_groups_of_changed_chunks(&mut self, pending: &PendingTransaction, bytes_max: usize) {
        let changed_chunks: Vec<(JobId, u32)> = self
            .queue
            .values()
            .filter_map(|job_id| self.jobs.get(job_id))
            .filter(|job| !pending.finished_jobs.contains(&job.id))
            .flat_map(|job| job.dirty_chunks.iter().map(|chunk| (job.id.clone(), *chunk)))
            .collect();
        for (job_id, chunk) in changed_chunks {
            let Some(job) = self.jobs.get(&job_id) else { continue };
            let bytes = job.chunk_bytes(chunk);
            let group = match job.chunk_groups.get(&chunk) {
                Some(group) => *group,
                None => self.assign_done_group(&job_id, chunk, bytes, bytes_max),
            };
            self.done_groups.entry(group).or_default().dirty = true;
        }
    }

    /// Assigns a chunk to the first group with capacity for it, or to a new group.
    fn assign_done_group(
        &mut self,
        job_id: &JobId,
        chunk: u32,
        bytes: usize,
        bytes_max: usize,
    ) -> u32 {
        let with_capacity =
            self.done_groups.iter().find(|(_, group)| group.bytes + bytes <= bytes_max);
        let number = with_capacity.map_or_else(|| self.unused_done_group(), |(number, _)| *number);
        let group = self.done_groups.entry(number).or_default();
        group.insert(job_id.clone(), chunk, bytes);
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.chunk_groups.insert(chunk, number);
        }
        number
    }

    /// The lowest number that no group has.
    fn unused_done_group(&self) -> u32 {
        (0..).find(|number| !self.done_groups.contains_key(number)).unwrap_or(0)
    }

    /// Adds the write of one group; returns false if it does not fit.
    fn pack_done_group(
        &mut self,
        number: u32,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
    ) -> bool {
        let Some(group) = self.done_groups.get_mut(&number) else { return true };
        let mut record = DoneTasksRecord::default();
        for (job_id, chunk) in group.chunks.keys() {
            if let Some(job) = self.jobs.get(job_id) {
                record.bits.insert(chunk_name(job_id, *chunk), job.done.chunk_text(*chunk));
            }
        }
        if !builder.put(done_tasks_key(number), raw_json(&record), group.mod_revision) {
            return false;
        }
        group.dirty = false;
        pending.done_groups.push(number);
        for (job_id, chunk) in group.chunks.keys() {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.dirty_chunks.remove(chunk) {
                pending.done_chunks.push((job_id.clone(), *chunk));
            }
        }
        true
    }

    /// Splits a group that exceeds the value size limit because it was written under a higher one.
    /// The excess chunks move to new groups, which this transaction also writes. The new groups are
    /// packed first, so that no chunk is removed from the old group before its new one is written; a
    /// chunk that is stored in both is read from both. Returns false if the parts do not fit.
    fn split_done_group(
        &mut self,
        number: u32,
        builder: &mut TransactionBuilder,
        pending: &mut PendingTransaction,
    ) -> bool {
        let bytes_max = builder.value_bytes_max - GROUP_OVERHEAD_BYTES;
        let group = self.done_groups.get(&number).filter(|group| group.bytes > bytes_max);
        let Some(group) = group else { return true };
        let parts = parts_to_move(group, bytes_max);
        if !builder.has_capacity(parts.len() + 1, parts.len() + 1) {
            return false;
        }
        log::info!(
            "done-task group split: group {number} exceeds the value size limit, divided into {} groups",
            parts.len() + 1
        );
        for part in parts {
            let target = self.unused_done_group();
            self.move_chunks(number, target, part);
            if !self.pack_done_group(target, builder, pending) {
                return false;
            }
        }
        true
    }

    fn move_chunks(&mut self, source: u32, target: u32, chunks: Vec<SizedChunk>) {
        for ((job_id, chunk), bytes) in chunks {
            if let Some(group) = self.done_groups.get_mut(&source) {
                group.remove(&job_id, chunk);
            }
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.chunk_groups.insert(chunk, target);
            }
            let group = self.done_groups.entry(target).or_default();
            group.insert(job_id, chunk, bytes);
            group.dirty = true;
        }
    }
}

/// The chunks that must leave a group so that it takes at most `bytes_max`, divided into parts that
/// each take at most `bytes_max`.
fn parts_to_move(group: &DoneTasksGroup, bytes_max: usize) -> Vec<Vec<SizedChunk>> {
    let mut parts: Vec<Vec<SizedChunk>> = Vec::new();
    let mut bytes_kept = 0;
    let mut bytes_of_last = 0;
    for (chunk, bytes) in &group.chunks {
        if bytes_kept + bytes <= bytes_max {
            bytes_kept += bytes;
            continue;
        }
        let sized = (chunk.clone(), *bytes);
        match parts.last_mut().filter(|_| bytes_of_last + bytes <= bytes_max) {
            Some(part) => {
                bytes_of_last += bytes;
                part.push(sized);
            }
            None => {
                bytes_of_last = *bytes;
                parts.push(vec![sized]);
            }
        }
    }
    parts
}
