//! Groups of bitmaps of done tasks. Each group is stored under one key.

use super::records::JobId;
use std::collections::BTreeMap;

/// A stored group of chunks of bitmaps.
#[derive(Debug, Default)]
pub struct DoneTasksGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Upper bound of the size of each chunk in bytes, by job and chunk number.
    pub chunks: BTreeMap<(JobId, u32), usize>,
    /// Upper bound of the size in bytes of all chunks in the stored value: the sum over `chunks`.
    pub bytes: usize,
    /// Whether it has changed since it was stored.
    pub dirty: bool,
}

impl DoneTasksGroup {
    /// An empty group whose key was last written at `mod_revision`.
    pub fn new(mod_revision: u64) -> DoneTasksGroup {
        DoneTasksGroup { mod_revision, ..DoneTasksGroup::default() }
    }

    /// Adds a chunk of a job's bitmap that takes at most `bytes`.
    pub fn insert(&mut self, job: JobId, chunk: u32, bytes: usize) {
        self.bytes += bytes;
        self.chunks.insert((job, chunk), bytes);
    }

    /// Removes a chunk of a job's bitmap, if the group has it.
    pub fn remove(&mut self, job: &JobId, chunk: u32) {
        self.bytes -= self.chunks.remove(&(job.clone(), chunk)).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
