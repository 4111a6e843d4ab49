//! Property tests of images, merged states, audits and write-back, over generated stores and
//! histories.
//!
//! Each iteration has a random seed; a failure prints it, and `BOLERO_RANDOM_SEED` repeats it. For
//! a longer search, set the number of iterations: `BOLERO_RANDOM_ITERATIONS=1000000 cargo test
//! --release -p mountgap-recovery --test properties`.

use bolero::check;
use mountgap_records::records::{
    batch_key, done_tasks_key, job_end_key, placements_key, store_key, term_key, BatchRecord,
    Bitmap, DoneTasksRecord, FlagReason, JobEndRecord, JobStage, PlacementsRecord, StoreIdRecord,
    StoredPlacement, TermRecord,
};
use mountgap_recovery::audit::{audit, DataLoss};
use mountgap_recovery::image::{StoreId, StoreImage};
use mountgap_recovery::merged_state::MergedState;
use mountgap_recovery::write_back::{
    Change, ConditionalChange, DesiredState, RebuildTransaction, TransactionLimits,
};
use serde::Serialize;

const ITERATIONS: usize = 400;
const LIMITS: TransactionLimits = TransactionLimits { value_bytes: 1_024, transaction_ops: 4 };

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("records are JSON")
}

fn batch(job: u64, at: u64) -> String {
    let spec = serde_json::json!({"uid": format!("job-{job}"), "duty": "d", "crew": "c", "shape": "batch",
        "rank": "high", "loads": 70, "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "kit": "k", "size_gb": 1.0,
        "together": false, "apart": false, "lendables": true, "run_guess_s": 1.0, "mark_every_s": 0.0,
        "mark_cost_s": 0.0});
    let jobs = vec![serde_json::from_value(spec).expect("a job")];
    text(&BatchRecord { at, first: 0, jobs })
}

/// A simulated store: its contents and its current revision.
#[derive(Clone)]
struct Store {
    image: StoreImage,
    revision: u64,
}

impl Store {
    fn new(id: u64) -> Store {
        let mut store = Store { image: StoreImage::new(), revision: 0 };
        store.put(store_key(), text(&StoreIdRecord { id }));
        store.put(term_key(), text(&TermRecord { term: 1 }));
        store
    }

    fn put(&mut self, key: String, data: String) {
        self.revision += 1;
        self.image.put(&key, self.revision, &data);
        self.image.advance(self.revision);
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.image.remove(key, self.revision);
        self.image.advance(self.revision);
    }

    /// Makes one change of the kinds that controllers make, chosen by `choice`; none if the chosen
    /// one is not allowed in the present state.
    fn change(&mut self, choice: u8) {
        let job = u64::from(choice % 6);
        let name = format!("job-{job}");
        let accepted = self.image.get(&batch_key(&name)).is_some();
        let ended = self.image.get(&job_end_key(&name)).is_some();
        match choice / 32 {
            0 | 1 if !accepted && !ended => self.put(batch_key(&name), batch(job, self.revision)),
            2 if accepted && !ended => {
                let stage = if choice & 16 == 0 { JobStage::Done } else { JobStage::Cancelled };
                let end = JobEndRecord { at: 0, stage, tasks: 70, done: 0 };
                self.put(job_end_key(&name), text(&end));
            }
            3 if accepted && ended => self.remove(&batch_key(&name)),
            4 => {
                let group = u32::from(choice % 2);
                let attempt = self.revision + 1;
                let tasks = StoredPlacement::text(&name, u32::from(choice % 3), "n-1", attempt);
                self.put(
                    placements_key(group),
                    text(&PlacementsRecord { tasks: tasks.expect("a text") }),
                );
            }
            5 => {
                let mut bits = Bitmap::default();
                bits.set(u32::from(choice));
                let bits = [(format!("{name}/0"), bits.chunk_text(0))].into_iter().collect();
                self.put(done_tasks_key(0), text(&DoneTasksRecord { bits }));
            }
            6 => self.put(term_key(), text(&TermRecord { term: self.image.term() + 1 })),
            _ => {}
        }
    }

    fn apply(&mut self, transaction: &RebuildTransaction) {
        self.revision += 1;
        for ConditionalChange { change, expected_revision } in &transaction.changes {
            assert_eq!(
                self.image.mod_revision(change.key()),
                *expected_revision,
                "the condition matches the stored revision"
            );
            match change {
                Change::Put { key, data } => self.image.put(key, self.revision, data),
                Change::Remove { key } => self.image.remove(key, self.revision),
            }
        }
        self.image.advance(self.revision);
    }
}

/// A store with an identity after a sequence of changes.
fn store_after(id: u64, changes: &[u8]) -> Store {
    let mut store = Store::new(id);
    changes.iter().for_each(|choice| store.change(*choice));
    store
}

/// Jobs, ends, done tasks, placements, flags and term of a merged state as comparable text, without
/// the revisions.
fn contents_of(merged: &MergedState) -> String {
    let batches: Vec<_> = merged
        .batches
        .iter()
        .map(|(key, batch)| (key, text(&batch.record.jobs), batch.record.at))
        .collect();
    format!(
        "{batches:?} {:?} {:?} {:?} {:?} {}",
        merged.ends, merged.done, merged.placements, merged.flagged, merged.term
    )
}

fn merge_all(states: &[&MergedState]) -> MergedState {
    let mut all = MergedState::default();
    states.iter().for_each(|merged| all.merge(merged));
    all
}

#[test]
fn a_later_image_passes_the_audit_and_merges_with_an_earlier_one_to_itself() {
    check!().with_type::<(Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(first, then)| {
            let early = store_after(7, first);
            let mut late = early.clone();
            then.iter().for_each(|choice| late.change(*choice));
            assert_eq!(audit(&early.image, &late.image), Ok(()));
            let one = early.image.merge(&late.image).expect("same store");
            let other = late.image.merge(&early.image).expect("same store");
            assert_eq!(one, late.image, "the merge equals the later image, removals included");
            assert_eq!(one, other);
            assert_eq!(one.merge(&early.image).expect("same store"), one);
        },
    );
}

#[test]
fn a_restored_backup_fails_the_audit_even_if_its_revisions_are_higher() {
    check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(kept, lost, since)| {
            let backup = store_after(7, kept);
            let mut known = backup.clone();
            // An accepted job and an end, both confirmed to users, are missing from the backup.
            known.put(batch_key("job-91"), batch(91, 1));
            lost.iter().for_each(|choice| known.change(*choice));
            known.put(
                job_end_key("job-92"),
                text(&JobEndRecord { at: 0, stage: JobStage::Done, tasks: 1, done: 1 }),
            );
            let mut observed = backup;
            observed.revision += 1_000;
            since.iter().for_each(|choice| observed.change(*choice));
            observed.image.advance(observed.revision);
            assert!(audit(&known.image, &observed.image).is_err());
        },
    );
}

#[test]
fn a_missing_placement_is_detected_as_data_loss() {
    // If a loss of nothing but a placement goes unnoticed, the running task is started a second
    // time.
    let backup = store_after(7, &[]);
    let mut known = backup.clone();
    let tasks = StoredPlacement::text("job-1", 0, "n-1", 9).expect("a text");
    known.put(placements_key(0), text(&PlacementsRecord { tasks }));
    let mut observed = backup;
    observed.revision += 1_000;
    observed.image.advance(observed.revision);
    assert_eq!(
        audit(&known.image, &observed.image),
        Err(DataLoss::KeyMismatch { key: placements_key(0) })
    );
}

#[test]
fn an_empty_store_and_a_different_store_are_distinguished() {
    let known = store_after(7, &[]).image;
    let empty = audit(&known, &StoreImage::new());
    assert_eq!(empty, Err(DataLoss::IdentityMissing { known: StoreId(7) }));
    let other = audit(&known, &store_after(8, &[0; 9]).image);
    assert_eq!(other, Err(DataLoss::IdentityChanged { known: StoreId(7), observed: StoreId(8) }));
    let other = store_after(8, &[]).image;
    assert!(known.merge(&other).is_err());
}

#[test]
fn merging_states_is_commutative_associative_and_idempotent() {
    check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(a, b, c)| {
            let of =
                |id, changes: &Vec<u8>| MergedState::from_image(&store_after(id, changes).image);
            let (a, b, c) = (of(1, a), of(2, b), of(3, c));
            let all = merge_all(&[&a, &b, &c]);
            assert_eq!(contents_of(&all), contents_of(&merge_all(&[&c, &a, &b])));
            assert_eq!(contents_of(&all), contents_of(&merge_all(&[&merge_all(&[&b, &c]), &a])));
            assert_eq!(contents_of(&all), contents_of(&merge_all(&[&all, &b, &all])));
            for merged in [&a, &b, &c] {
                assert!(merged.ends.keys().all(|job| all.ends.contains_key(job)), "ends are kept");
                for ((job, task), placed) in &merged.placements {
                    let kept = &all.placements[&(job.clone(), *task)];
                    assert!(kept.attempt >= placed.attempt, "the later attempt is kept");
                }
                for task in 0..256 {
                    let done = |state: &MergedState| {
                        (0..6).any(|job| state.is_done(&format!("job-{job}"), task))
                    };
                    assert!(!done(merged) || done(&all), "done tasks are kept");
                }
            }
        },
    );
}

#[test]
fn an_interrupted_rebuild_that_is_taken_over_writes_the_same_state() {
    check!().with_type::<(Vec<u8>, Vec<u8>, u8, bool)>().with_iterations(ITERATIONS).for_each(
        |(lost, left, stop_after, with_flags)| {
            let mut merged = MergedState::from_image(&store_after(7, lost).image);
            if *with_flags {
                merged.flag_live_jobs(FlagReason::MayHaveEnded);
            }
            let mut store = store_after(7, left);
            merged.merge(&MergedState::from_image(&store.image));
            merged.remove_obsolete();
            let desired = DesiredState::new(&merged, StoreId(9), &store.image, &LIMITS);
            let mut transactions = 0;
            while let Some(transaction) = desired.next_transaction(&store.image, &LIMITS) {
                if transactions == u32::from(*stop_after) {
                    break;
                }
                assert!(transaction.changes.len() <= LIMITS.transaction_ops);
                store.apply(&transaction);
                transactions += 1;
                assert!(transactions < 10_000, "the rebuild ends");
            }
            // The controller that takes over merges the same sources and what is already written.
            let mut resumed = merged.clone();
            resumed.merge(&MergedState::from_image(&store.image));
            resumed.remove_obsolete();
            let desired = DesiredState::new(&resumed, StoreId(9), &store.image, &LIMITS);
            while let Some(transaction) = desired.next_transaction(&store.image, &LIMITS) {
                store.apply(&transaction);
            }
            let mut written = MergedState::from_image(&store.image);
            written.term = merged.term;
            assert_eq!(
                contents_of(&written).replace("at: ", ""),
                contents_of(&merged).replace("at: ", "")
            );
            assert_eq!(store.image.identity(), Some(StoreId(9)));
        },
    );
}

#[test]
fn values_stay_within_the_limit_and_large_batches_are_split() {
    let mut store = Store::new(7);
    let jobs: Vec<_> = (0..40)
        .flat_map(|n| serde_json::from_str::<BatchRecord>(&batch(n, 3)).expect("a batch").jobs)
        .collect();
    store.put(batch_key("large"), text(&BatchRecord { at: 3, first: 0, jobs }));
    for n in 0..400_u64 {
        let end = JobEndRecord { at: n, stage: JobStage::Done, tasks: 1, done: 1 };
        store.put(job_end_key(&format!("job-{}", 1_000 + n)), text(&end));
    }
    let merged = MergedState::from_image(&store.image);
    let mut empty = Store { image: StoreImage::new(), revision: 0 };
    let desired = DesiredState::new(&merged, StoreId(1), &empty.image, &LIMITS);
    while let Some(transaction) = desired.next_transaction(&empty.image, &LIMITS) {
        for ConditionalChange { change, .. } in &transaction.changes {
            let Change::Put { data, .. } = change else {
                panic!("an empty store has nothing to remove")
            };
            assert!(data.len() <= LIMITS.value_bytes, "{} bytes", data.len());
        }
        empty.apply(&transaction);
    }
    let written = MergedState::from_image(&empty.image);
    assert_eq!(written.ends, merged.ends);
    assert_eq!(written.jobs().len(), 40);
    assert!(empty.image.len() < 80, "ends are written in groups: {} keys", empty.image.len());
}
