//! Laws of images, merged states, audits and write-back, over generated stores and histories.
//!
//! Bounded and seeded here. A longer search: `BOLERO_RANDOM_ITERATIONS=1000000 cargo test --release -p
//! mountgap-recovery --test laws`.

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

/// A store that is changed, with its revisions.
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

    /// A change such as controllers make: `what` chooses it.
    fn change(&mut self, what: u8) {
        let job = u64::from(what % 6);
        let name = format!("job-{job}");
        let accepted = self.image.get(&batch_key(&name)).is_some();
        let ended = self.image.get(&job_end_key(&name)).is_some();
        match what / 32 {
            0 | 1 if !accepted && !ended => self.put(batch_key(&name), batch(job, self.revision)),
            2 if accepted && !ended => {
                let stage = if what & 16 == 0 { JobStage::Done } else { JobStage::Cancelled };
                let end = JobEndRecord { at: 0, stage, tasks: 70, done: 0 };
                self.put(job_end_key(&name), text(&end));
            }
            3 if accepted && ended => self.remove(&batch_key(&name)),
            4 => {
                let group = u32::from(what % 2);
                let attempt = self.revision + 1;
                let tasks = StoredPlacement::text(&name, u32::from(what % 3), "n-1", attempt);
                self.put(
                    placements_key(group),
                    text(&PlacementsRecord { tasks: tasks.expect("a text") }),
                );
            }
            5 => {
                let mut bits = Bitmap::default();
                bits.set(u32::from(what));
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
                "it depends on what is there"
            );
            match change {
                Change::Put { key, data } => self.image.put(key, self.revision, data),
                Change::Remove { key } => self.image.remove(key, self.revision),
            }
        }
        self.image.advance(self.revision);
    }
}

fn history(id: u64, changes: &[u8]) -> Store {
    let mut store = Store::new(id);
    changes.iter().for_each(|what| store.change(*what));
    store
}

/// What a merged state holds, in a form that can be compared.
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

fn joined(states: &[&MergedState]) -> MergedState {
    let mut all = MergedState::default();
    states.iter().for_each(|merged| all.join(merged));
    all
}

#[test]
fn a_history_goes_on_from_each_of_its_moments_and_images_of_it_join_to_the_latest() {
    check!().with_type::<(Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(first, then)| {
            let early = history(7, first);
            let mut late = early.clone();
            then.iter().for_each(|what| late.change(*what));
            assert_eq!(audit(&early.image, &late.image), Ok(()));
            let one = early.image.join(&late.image).expect("one store");
            let other = late.image.join(&early.image).expect("one store");
            assert_eq!(one, late.image, "the later one knows more, removals too");
            assert_eq!(one, other);
            assert_eq!(one.join(&early.image).expect("one store"), one);
        },
    );
}

#[test]
fn what_is_lost_shows_also_when_revisions_have_grown_past_it() {
    check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(kept, lost, since)| {
            let backup = history(7, kept);
            let mut known = backup.clone();
            // An accepted job and an end: what users were told.
            known.put(batch_key("job-91"), batch(91, 1));
            lost.iter().for_each(|what| known.change(*what));
            known.put(
                job_end_key("job-92"),
                text(&JobEndRecord { at: 0, stage: JobStage::Done, tasks: 1, done: 1 }),
            );
            let mut shown = backup;
            shown.revision += 1_000;
            since.iter().for_each(|what| shown.change(*what));
            shown.image.advance(shown.revision);
            assert!(audit(&known.image, &shown.image).is_err());
        },
    );
}

#[test]
fn a_placement_that_is_gone_shows_a_loss() {
    // A task was once started a second time: only its placement had been lost.
    let backup = history(7, &[]);
    let mut known = backup.clone();
    let tasks = StoredPlacement::text("job-1", 0, "n-1", 9).expect("a text");
    known.put(placements_key(0), text(&PlacementsRecord { tasks }));
    let mut shown = backup;
    shown.revision += 1_000;
    shown.image.advance(shown.revision);
    assert_eq!(
        audit(&known.image, &shown.image),
        Err(DataLoss::KeyMismatch { key: placements_key(0) })
    );
}

#[test]
fn an_empty_store_and_another_one_are_told_apart() {
    let known = history(7, &[]).image;
    let empty = audit(&known, &StoreImage::new());
    assert_eq!(empty, Err(DataLoss::IdentityMissing { known: StoreId(7) }));
    let other = audit(&known, &history(8, &[0; 9]).image);
    assert_eq!(other, Err(DataLoss::IdentityChanged { known: StoreId(7), observed: StoreId(8) }));
    let other = history(8, &[]).image;
    assert!(known.join(&other).is_err());
}

#[test]
fn joins_of_merged_states_know_no_order_and_no_repetition() {
    check!().with_type::<(Vec<u8>, Vec<u8>, Vec<u8>)>().with_iterations(ITERATIONS).for_each(
        |(a, b, c)| {
            let of = |id, changes: &Vec<u8>| MergedState::from_image(&history(id, changes).image);
            let (a, b, c) = (of(1, a), of(2, b), of(3, c));
            let all = joined(&[&a, &b, &c]);
            assert_eq!(contents_of(&all), contents_of(&joined(&[&c, &a, &b])));
            assert_eq!(contents_of(&all), contents_of(&joined(&[&joined(&[&b, &c]), &a])));
            assert_eq!(contents_of(&all), contents_of(&joined(&[&all, &b, &all])));
            for merged in [&a, &b, &c] {
                assert!(merged.ends.keys().all(|job| all.ends.contains_key(job)), "an end stays");
                for ((job, task), placed) in &merged.placements {
                    let kept = &all.placements[&(job.clone(), *task)];
                    assert!(kept.attempt >= placed.attempt, "the later attempt counts");
                }
                for task in 0..256 {
                    let done =
                        |p: &MergedState| (0..6).any(|job| p.is_done(&format!("job-{job}"), task));
                    assert!(!done(merged) || done(&all), "done tasks only grow");
                }
            }
        },
    );
}

#[test]
fn a_rebuild_that_stops_anywhere_and_is_taken_over_ends_the_same() {
    check!().with_type::<(Vec<u8>, Vec<u8>, u8, bool)>().with_iterations(ITERATIONS).for_each(
        |(lost, left, stop, flags)| {
            let mut merged = MergedState::from_image(&history(7, lost).image);
            if *flags {
                merged.flag_live_jobs(FlagReason::MayHaveEnded);
            }
            let mut store = history(7, left);
            merged.join(&MergedState::from_image(&store.image));
            merged.tidy();
            let desired = DesiredState::new(&merged, StoreId(9), &store.image, &LIMITS);
            let mut transactions = 0;
            while let Some(transaction) = desired.next_transaction(&store.image, &LIMITS) {
                if transactions == u32::from(*stop) {
                    break;
                }
                assert!(transaction.changes.len() <= LIMITS.transaction_ops);
                store.apply(&transaction);
                transactions += 1;
                assert!(transactions < 10_000, "it comes to an end");
            }
            // Whoever takes over draws on the same sources and on what is written.
            let mut again = merged.clone();
            again.join(&MergedState::from_image(&store.image));
            again.tidy();
            let desired = DesiredState::new(&again, StoreId(9), &store.image, &LIMITS);
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
fn values_keep_to_the_limit_and_large_batches_are_divided() {
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
            let Change::Put { data, .. } = change else { panic!("nothing is there to remove") };
            assert!(data.len() <= LIMITS.value_bytes, "{} bytes", data.len());
        }
        empty.apply(&transaction);
    }
    let written = MergedState::from_image(&empty.image);
    assert_eq!(written.ends, merged.ends);
    assert_eq!(written.jobs().len(), 40);
    assert!(empty.image.len() < 80, "ends are written together: {} keys", empty.image.len());
}
