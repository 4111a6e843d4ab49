//! Merges the records of all sources, whichever store they come from.
//!
//! Images of one store are merged key by key ([`StoreImage::merge`]), since their revisions can be
//! compared. Revisions of different stores, or of a store that is partly rebuilt or was restored
//! from a backup, can't be: there the records are merged one by one. The merge is a union: an end
//! takes precedence over no end, sets of done tasks are united, and of two placements of a task the
//! one with the higher attempt is kept, since a task is placed again only once its last attempt is
//! settled. So the order of merges doesn't matter (commutative), and repeating one changes nothing
//! (idempotent).

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
    /// Number of the attempt; later attempts have higher numbers.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
}

/// A batch of accepted jobs.
#[derive(Debug, Clone)]
pub struct AcceptedBatch {
    /// The batch as stored.
    pub record: BatchRecord,
    /// Revision of its key in the source, which gives the order of arrival.
    pub mod_revision: u64,
}

/// The merged records of any number of sources.
#[derive(Debug, Clone, Default)]
pub struct MergedState {
    /// Batches of accepted jobs by key, those of gangs included.
    pub batches: BTreeMap<String, AcceptedBatch>,
    /// Ends by job.
    pub ends: BTreeMap<String, JobEndRecord>,
    /// Done tasks by job and by number of the chunk: the bitmap of the chunk as stored text.
    pub done: BTreeMap<String, BTreeMap<u32, String>>,
    /// Placements by job and task.
    pub placements: BTreeMap<(String, u32), PlacedTask>,
    /// Jobs that a rebuild could not account for, with the reason.
    pub flagged: BTreeMap<String, FlagReason>,
    /// Labels of the controllers whose history did not reach back to before the loss in an earlier
    /// rebuild, as long as no operator has closed that history gap.
    pub open_gap: BTreeSet<String>,
    /// The teams' shares.
    pub shares: Option<SharesRecord>,
    /// The catalog as stored.
    pub catalog: Option<String>,
    /// Highest term of all sources.
    pub term: u64,
    /// Keys whose values can't be read.
    pub unreadable: BTreeSet<String>,
}

/// How much a rebuild recovers, for the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeSummary {
    /// Jobs that have not ended and are not flagged.
    pub recovered: usize,
    /// Jobs that have ended.
    pub ended: usize,
    /// Jobs that are flagged, since the rebuild can't account for them.
    pub flagged: usize,
    /// Placements of tasks that may still run.
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

    /// Adds one stored value; `None` if it can't be read.
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

    /// Merges another state into this one. The order of merges doesn't matter (commutative), and
    /// repeating one changes nothing (idempotent).
    pub fn merge(&mut self, other: &MergedState) {
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

    /// Adds a batch. A batch never changes once it is written. If two batches with the same key differ
    /// nevertheless, the one whose jobs are the greater text is kept, so that the result doesn't depend
    /// on the order of the calls.
    fn add_batch(&mut self, key: &str, batch: AcceptedBatch) {
        let jobs_text =
            |record: &BatchRecord| serde_json::to_string(&record.jobs).unwrap_or_default();
        match self.batches.get_mut(key) {
            None => {
                self.batches.insert(key.to_string(), batch);
            }
            Some(known) => {
                let order = |batch: &AcceptedBatch| (jobs_text(&batch.record), batch.record.at);
                let mod_revision = known.mod_revision.max(batch.mod_revision);
                if order(known) < order(&batch) {
                    *known = batch;
                }
                known.mod_revision = mod_revision;
            }
        }
    }

    /// Adds the end of a job. Only sources with different histories can hold two ends of a job;
    /// then a completion takes precedence, since the job has a result.
    fn add_end(&mut self, job: &str, end: JobEndRecord) {
        let precedence =
            |end: &JobEndRecord| (end.stage == JobStage::Done, end.done, end.at, end.tasks);
        match self.ends.get_mut(job) {
            Some(known) if precedence(known) >= precedence(&end) => {}
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
        let order = |shares: &SharesRecord| (shares.term, shares.teams.clone());
        if self.shares.as_ref().is_none_or(|known| order(known) < order(&shares)) {
            self.shares = Some(shares);
        }
    }

    /// Adds a catalog. Catalogs differ in prices, hardly in machine types, so either of two will do
    /// as long as the choice doesn't depend on the order of the calls.
    fn add_catalog(&mut self, catalog: &str) {
        if self.catalog.as_deref().is_none_or(|known| known < catalog) {
            self.catalog = Some(catalog.to_string());
        }
    }

    /// Specifications of all jobs in the batches, by job id.
    pub fn jobs(&self) -> BTreeMap<&str, &Rc<JobSpec>> {
        let records = self.batches.values().flat_map(|batch| &batch.record.jobs);
        records.map(|spec| (spec.uid.as_str(), spec)).collect()
    }

    /// Ids of the jobs that have not ended.
    pub fn live_jobs(&self) -> impl Iterator<Item = &str> {
        self.jobs().into_keys().filter(|job| !self.ends.contains_key(*job))
    }

    /// Flags every job that has not ended. Used when a source is missing that may have confirmed
    /// the end of any of these jobs to its user.
    pub fn flag_live_jobs(&mut self, reason: FlagReason) {
        let live: Vec<String> = self.live_jobs().map(str::to_string).collect();
        live.iter().for_each(|job| self.add_flag(job, reason));
    }

    /// Removes what is no longer needed: batches whose jobs have all ended and have no placements
    /// left, done tasks and flags of ended jobs, and placements of jobs that no batch contains.
    /// Tasks of such unknown jobs are listed in the workers' heartbeats and are left running.
    pub fn remove_obsolete(&mut self) {
        let placed: BTreeSet<&str> = self.placements.keys().map(|(job, _)| job.as_str()).collect();
        let is_finished = |job: &str| self.ends.contains_key(job) && !placed.contains(job);
        let obsolete: Vec<String> = self
            .batches
            .iter()
            .filter(|(_, batch)| batch.record.jobs.iter().all(|job| is_finished(&job.uid)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in obsolete {
            self.batches.remove(&key);
        }
        let known_jobs: BTreeSet<String> = self.jobs().into_keys().map(str::to_string).collect();
        let ends = &self.ends;
        self.placements.retain(|(job, _), _| known_jobs.contains(job));
        self.done.retain(|job, _| known_jobs.contains(job) && !ends.contains_key(job));
        self.flagged.retain(|job, _| known_jobs.contains(job) && !ends.contains_key(job));
    }

    /// Numbers of jobs, placements and unreadable keys, for the log.
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

    /// Bitmaps of done tasks as stored, with the names of their chunks.
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
