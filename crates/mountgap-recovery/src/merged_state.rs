//! What the records of all sources say together, whatever store they come from.
//!
//! Images of one store are joined key by key, since their revisions can be compared. What a
//! half-written or a set back store holds beside them can't be: its records are joined one by one.
//! A join is a union in which an end beats no end, done tasks only grow, and of two placements of a
//! task the one with the higher attempt counts, since an attempt is placed only once the last is
//! settled. So the order of sources does not matter, and joining again changes nothing.

use crate::image::StoreImage;
use mountgap_records::constants::DONE_CHUNK_TASKS;
use mountgap_records::job::JobSpec;
use mountgap_records::records::{
    chunk_name, parse_chunk_name, parse_key, BatchRecord, Bitmap, DoneTasksRecord, FlagReason,
    FlaggedJobsRecord, JobEndGroupRecord, JobEndRecord, JobStage, Key, PlacementsRecord,
    RebuildRecord, SharesRecord, TermRecord,
};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A task's machine and attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacedTask {
    /// Attempt; of two the higher one is the later.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
}

/// A batch of accepted jobs.
#[derive(Debug, Clone)]
pub struct AcceptedBatch {
    /// The batch as stored.
    pub record: BatchRecord,
    /// Revision of its key in the source, for the order of arrival.
    pub mod_revision: u64,
}

/// What the records of all sources say together.
#[derive(Debug, Clone, Default)]
pub struct MergedState {
    /// Batches of jobs by key, gangs' too.
    pub batches: BTreeMap<String, AcceptedBatch>,
    /// Ends by job.
    pub ends: BTreeMap<String, JobEndRecord>,
    /// Done tasks by job, as stored texts by chunk.
    pub done: BTreeMap<String, BTreeMap<u32, String>>,
    /// Placements by task.
    pub placements: BTreeMap<(String, u32), PlacedTask>,
    /// Jobs that could not be accounted for.
    pub flagged: BTreeMap<String, FlagReason>,
    /// Controllers whose memory an earlier rebuild lacked, where no operator has closed that gap yet.
    pub open_gap: BTreeSet<String>,
    /// The teams' shares.
    pub shares: Option<SharesRecord>,
    /// The catalogue as stored.
    pub catalog: Option<String>,
    /// Highest term.
    pub term: u64,
    /// Keys whose values can't be read.
    pub unreadable: BTreeSet<String>,
}

/// How much a rebuild has recovered, for the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Jobs that go on.
    pub recovered: usize,
    /// Jobs that have ended.
    pub ended: usize,
    /// Jobs that are flagged.
    pub flagged: usize,
    /// Placements of tasks that may run.
    pub placements: usize,
    /// Keys whose values can't be read.
    pub unreadable: usize,
}

impl MergedState {
    /// Reads the records of an image.
    pub fn from_image(image: &StoreImage) -> MergedState {
        let mut merged = MergedState::default();
        for (key, value) in image.iter() {
            if merged.add_value(key, value.mod_revision, &value.data).is_none() {
                merged.unreadable.insert(key.to_string());
            }
        }
        merged
    }

    /// Adds one stored value; none if it can't be read.
    fn add_value(&mut self, key: &str, mod_revision: u64, data: &str) -> Option<()> {
        fn read<T: DeserializeOwned>(data: &str) -> Option<T> {
            serde_json::from_str(data).ok()
        }
        match parse_key(key) {
            Some(Key::Batch(_) | Key::GangBatch(_)) => {
                let record = read(data)?;
                self.add_batch(key, AcceptedBatch { record, mod_revision });
            }
            Some(Key::JobEnd(job)) => self.add_end(job, read(data)?),
            Some(Key::JobEndGroup(_)) => {
                let group: JobEndGroupRecord = read(data)?;
                group.ends.into_iter().for_each(|(job, end)| self.add_end(&job, end));
            }
            Some(Key::DoneTasks(_)) => {
                let group: DoneTasksRecord = read(data)?;
                for (name, text) in &group.bits {
                    let (job, chunk) = parse_chunk_name(name)?;
                    self.add_done(job, chunk, text);
                }
            }
            Some(Key::Placements(_)) => {
                let group: PlacementsRecord = read(data)?;
                for placed in group.placements() {
                    let task = (placed.job_id().to_string(), placed.index);
                    let machine = placed.machine.to_string();
                    self.add_placement(task, PlacedTask { attempt: placed.attempt, machine });
                }
            }
            Some(Key::FlaggedJobs(_)) => {
                let group: FlaggedJobsRecord = read(data)?;
                group.jobs.into_iter().for_each(|(job, reason)| self.add_flag(&job, reason));
            }
            Some(Key::Term) => self.term = self.term.max(read::<TermRecord>(data)?.term),
            Some(Key::Shares) => self.add_shares(read(data)?),
            Some(Key::Catalog) => self.add_catalog(data),
            Some(Key::Rebuild) => self.open_gap.extend(read::<RebuildRecord>(data)?.gap),
            Some(Key::Leader | Key::Images(_) | Key::Store) | None => {}
        }
        Some(())
    }

    /// Joins what another merged state says. The order of joins does not matter, and joining again
    /// changes nothing.
    pub fn join(&mut self, other: &MergedState) {
        for (key, batch) in &other.batches {
            self.add_batch(key, batch.clone());
        }
        for (job, end) in &other.ends {
            self.add_end(job, end.clone());
        }
        for (job, chunks) in &other.done {
            chunks.iter().for_each(|(chunk, text)| self.add_done(job, *chunk, text));
        }
        for (task, placed) in &other.placements {
            self.add_placement(task.clone(), placed.clone());
        }
        for (job, reason) in &other.flagged {
            self.add_flag(job, *reason);
        }
        other.shares.iter().for_each(|shares| self.add_shares(shares.clone()));
        other.catalog.iter().for_each(|catalog| self.add_catalog(catalog));
        self.term = self.term.max(other.term);
        self.open_gap.extend(other.open_gap.iter().cloned());
        self.unreadable.extend(other.unreadable.iter().cloned());
    }

    /// A batch is never changed once it is written; should two differ, the larger text counts
    /// everywhere.
    fn add_batch(&mut self, key: &str, batch: AcceptedBatch) {
        let jobs_text =
            |record: &BatchRecord| serde_json::to_string(&record.jobs).unwrap_or_default();
        match self.batches.get_mut(key) {
            None => {
                self.batches.insert(key.to_string(), batch);
            }
            Some(known) => {
                let rank = |batch: &AcceptedBatch| (jobs_text(&batch.record), batch.record.at);
                let mod_revision = known.mod_revision.max(batch.mod_revision);
                if rank(known) < rank(&batch) {
                    *known = batch;
                }
                known.mod_revision = mod_revision;
            }
        }
    }

    /// Of two ends of a job, which only sources of different histories can have, completion counts:
    /// there is a result.
    fn add_end(&mut self, job: &str, end: JobEndRecord) {
        let rank = |end: &JobEndRecord| (end.stage == JobStage::Done, end.done, end.at, end.tasks);
        match self.ends.get_mut(job) {
            Some(known) if rank(known) >= rank(&end) => {}
            Some(known) => *known = end,
            None => {
                self.ends.insert(job.to_string(), end);
            }
        }
    }

    fn add_done(&mut self, job: &str, chunk: u32, text: &str) {
        let known = self.done.entry(job.to_string()).or_default().entry(chunk).or_default();
        let mut bits = Bitmap::default();
        bits.add_chunk(chunk, known);
        bits.add_chunk(chunk, text);
        *known = bits.chunk_text(chunk);
    }

    fn add_placement(&mut self, task: (String, u32), placed: PlacedTask) {
        match self.placements.get_mut(&task) {
            Some(known) if *known >= placed => {}
            Some(known) => *known = placed,
            None => {
                self.placements.insert(task, placed);
            }
        }
    }

    fn add_flag(&mut self, job: &str, reason: FlagReason) {
        let known = self.flagged.entry(job.to_string()).or_insert(reason);
        *known = (*known).max(reason);
    }

    fn add_shares(&mut self, shares: SharesRecord) {
        let rank = |shares: &SharesRecord| (shares.term, shares.teams.clone());
        if self.shares.as_ref().is_none_or(|known| rank(known) < rank(&shares)) {
            self.shares = Some(shares);
        }
    }

    /// Prices move and types stay: any of two catalogues does, as long as it is the same for all.
    fn add_catalog(&mut self, catalog: &str) {
        if self.catalog.as_deref().is_none_or(|known| known < catalog) {
            self.catalog = Some(catalog.to_string());
        }
    }

    /// Descriptions of all jobs, by job.
    pub fn jobs(&self) -> BTreeMap<&str, &Rc<JobSpec>> {
        let records = self.batches.values().flat_map(|batch| &batch.record.jobs);
        records.map(|spec| (spec.uid.as_str(), spec)).collect()
    }

    /// Jobs that have not ended.
    pub fn live_jobs(&self) -> impl Iterator<Item = &str> {
        self.jobs().into_keys().filter(|job| !self.ends.contains_key(*job))
    }

    /// Flags every job that has not ended: some source is lost that may have told its user
    /// of an end.
    pub fn flag_live_jobs(&mut self, reason: FlagReason) {
        let live: Vec<String> = self.live_jobs().map(str::to_string).collect();
        live.iter().for_each(|job| self.add_flag(job, reason));
    }

    /// Takes out what is of no use any more: batches whose jobs have all ended with nothing left on
    /// machines, done tasks and flags of ended jobs, and placements of jobs that no source
    /// describes. The latter's tasks are found by the workers' reports and left alone.
    pub fn tidy(&mut self) {
        let placed: BTreeSet<&str> = self.placements.keys().map(|(job, _)| job.as_str()).collect();
        let over = |job: &str| self.ends.contains_key(job) && !placed.contains(job);
        let spent: Vec<String> = self
            .batches
            .iter()
            .filter(|(_, batch)| batch.record.jobs.iter().all(|job| over(&job.uid)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in spent {
            self.batches.remove(&key);
        }
        let described: BTreeSet<String> = self.jobs().into_keys().map(str::to_string).collect();
        let ends = &self.ends;
        self.placements.retain(|(job, _), _| described.contains(job));
        self.done.retain(|job, _| described.contains(job) && !ends.contains_key(job));
        self.flagged.retain(|job, _| described.contains(job) && !ends.contains_key(job));
    }

    /// How many jobs and placements there are, for the log.
    pub fn summary(&self) -> MergeSummary {
        let live = self.live_jobs().count();
        MergeSummary {
            recovered: live - self.flagged.len().min(live),
            ended: self.ends.len(),
            flagged: self.flagged.len(),
            placements: self.placements.len(),
            unreadable: self.unreadable.len(),
        }
    }

    /// Done tasks as stored, by the name of their chunk.
    pub fn done_chunks(&self) -> impl Iterator<Item = (String, &String)> {
        self.done.iter().flat_map(|(job, chunks)| {
            chunks.iter().map(move |(chunk, text)| (chunk_name(job, *chunk), text))
        })
    }

    /// Whether a task is known to be done.
    pub fn is_done(&self, job: &str, task: u32) -> bool {
        let chunk = task / DONE_CHUNK_TASKS;
        let mut bits = Bitmap::default();
        if let Some(text) = self.done.get(job).and_then(|chunks| chunks.get(&chunk)) {
            bits.add_chunk(chunk, text);
        }
        bits.get(task)
    }
}
