//! Groups of bitmaps of done tasks: each is one key of the store, as the leader knows it.

use super::records::JobId;
use std::collections::BTreeMap;

/// A stored group of bitmaps: one key of the store.
#[derive(Debug, Default)]
pub struct DoneTasksGroup {
    /// Revision of its key.
    pub mod_revision: u64,
    /// Job and chunk, with the bytes that it takes at the most.
    pub chunks: BTreeMap<(JobId, u32), usize>,
    /// Bytes of the value at the most.
    pub bytes: usize,
    /// It has changed since it was stored.
    pub dirty: bool,
}

impl DoneTasksGroup {
    /// An empty group whose key was last written at `mod_revision`.
    pub fn new(mod_revision: u64) -> DoneTasksGroup {
        DoneTasksGroup { mod_revision, ..DoneTasksGroup::default() }
    }

    /// Adds a chunk of a job's bitmap, which takes `bytes` at the most.
    pub fn insert(&mut self, job: JobId, chunk: u32, bytes: usize) {
        self.bytes += bytes;
        self.chunks.insert((job, chunk), bytes);
    }

    /// Takes a chunk of a job's bitmap out, if it is there.
    pub fn remove(&mut self, job: &JobId, chunk: u32) {
        self.bytes -= self.chunks.remove(&(job.clone(), chunk)).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
