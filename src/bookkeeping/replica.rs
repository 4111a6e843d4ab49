//! A controller's copy of the store, kept up by watches and zero-wait reads.
//!
//! Answers overlap and come out of order. Every answer holds all changes after the
//! revision it was asked for, so changes at or below the revision reached are old and
//! skipped. Own commits are put in at once, ahead of the watch; what they removed is
//! remembered until the revision has passed.

use super::records::*;
use crate::protocol::cloud::Catalog;
use crate::protocol::state::{Changes, Event, Item};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::HashMap;
use std::rc::Rc;

/// A stored value with the stamp of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Stamped<T> {
    pub stamp: u64,
    pub value: T,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to this revision are in.
    pub rev: u64,
    pub leader: Option<Stamped<LeaderRec>>,
    pub term: Option<Stamped<TermRec>>,
    pub catalog: Option<Stamped<Catalog>>,
    pub shares: Option<Stamped<ShareRec>>,
    pub jobs: HashMap<Name, Stamped<JobRec>>,
    pub done: HashMap<Name, HashMap<u32, Stamped<DoneRec>>>,
    pub places: HashMap<Name, Stamped<PlaceRec>>,
    /// Tasks placed per job, for users' polls.
    placed: HashMap<Name, u32>,
    /// Keys removed ahead of the watch.
    removed: HashMap<String, u64>,
}

fn value<T: DeserializeOwned>(key: &str, data: &RawValue) -> Option<T> {
    match serde_json::from_str(data.get()) {
        Ok(v) => Some(v),
        Err(e) => {
            log::error!("stored value of {key} can't be read: {e}");
            None
        }
    }
}

impl Replica {
    /// Puts in a page of the whole store.
    pub fn apply_item(&mut self, item: &Item) -> Option<Name> {
        self.write(&item.key, &item.data, item.stamp)
    }

    /// Puts in an answer of a watch or a read; gives the jobs that changed.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Name> {
        let mut touched = Vec::new();
        let from = self.rev;
        for ev in changes.events.iter().filter(|e| e.stamp > from) {
            touched.extend(self.event(ev));
        }
        self.rev = self.rev.max(changes.ledger_rev);
        let rev = self.rev;
        self.removed.retain(|_, r| *r > rev);
        touched
    }

    fn event(&mut self, ev: &Event) -> Option<Name> {
        if let (Some(key), Some(data)) = (&ev.write, &ev.data) {
            if self.removed.get(key).is_some_and(|r| *r >= ev.stamp) {
                return None;
            }
            return self.write(key, data, ev.stamp);
        }
        if let Some(key) = &ev.remove {
            self.remove(key, ev.stamp);
        }
        None
    }

    /// Stamp of a key; 0 if it doesn't exist.
    pub fn stamp(&self, key: &str) -> u64 {
        fn of<T>(s: Option<&Stamped<T>>) -> u64 {
            s.map_or(0, |s| s.stamp)
        }
        match parse_key(key) {
            Some(Key::Leader) => of(self.leader.as_ref()),
            Some(Key::Term) => of(self.term.as_ref()),
            Some(Key::Catalog) => of(self.catalog.as_ref()),
            Some(Key::Shares) => of(self.shares.as_ref()),
            Some(Key::Job(u)) => of(self.jobs.get(u)),
            Some(Key::Done(u, n)) => of(self.done.get(u).and_then(|d| d.get(&n))),
            Some(Key::Place(m)) => of(self.places.get(m)),
            None => 0,
        }
    }

    /// Whether a key of the leader's own making holds just this value.
    pub fn holds(&self, key: &str, data: &RawValue) -> bool {
        fn same<T: DeserializeOwned + PartialEq>(held: Option<&T>, data: &RawValue) -> bool {
            held.is_some() && held == serde_json::from_str(data.get()).ok().as_ref()
        }
        match parse_key(key) {
            Some(Key::Place(m)) => same(self.places.get(m).map(|s| &s.value), data),
            Some(Key::Done(u, n)) => {
                same(self.done.get(u).and_then(|d| d.get(&n)).map(|s| &s.value), data)
            }
            Some(Key::Job(u)) => {
                let rec: Option<JobRec> = serde_json::from_str(data.get()).ok();
                self.jobs.get(u).map(|s| s.value.stage) == rec.map(|r| r.stage)
            }
            Some(Key::Shares) => same(self.shares.as_ref().map(|s| &s.value), data),
            Some(Key::Catalog) => true,
            _ => false,
        }
    }

    /// Puts in one value; older ones than what is held are skipped. Gives the job that changed.
    pub fn write(&mut self, key: &str, data: &RawValue, stamp: u64) -> Option<Name> {
        if self.stamp(key) >= stamp {
            return None;
        }
        match parse_key(key)? {
            Key::Leader => self.leader = value(key, data).map(|value| Stamped { stamp, value }),
            Key::Term => self.term = value(key, data).map(|value| Stamped { stamp, value }),
            Key::Catalog => self.catalog = value(key, data).map(|value| Stamped { stamp, value }),
            Key::Shares => self.shares = value(key, data).map(|value| Stamped { stamp, value }),
            Key::Job(uid) => {
                let value = value(key, data)?;
                let uid: Name = match self.jobs.get_key_value(uid) {
                    Some((k, _)) => k.clone(),
                    None => uid.into(),
                };
                self.jobs.insert(uid.clone(), Stamped { stamp, value });
                return Some(uid);
            }
            Key::Done(uid, n) => {
                let value = value(key, data)?;
                self.done.entry(uid.into()).or_default().insert(n, Stamped { stamp, value });
            }
            Key::Place(m) => {
                let value: PlaceRec = value(key, data)?;
                self.count_placed(&value, 1);
                if let Some(old) = self.places.insert(m.into(), Stamped { stamp, value }) {
                    self.count_placed(&old.value, -1);
                }
            }
        }
        None
    }

    /// Takes out a key that was removed at `stamp`.
    pub fn remove(&mut self, key: &str, stamp: u64) {
        if self.stamp(key) >= stamp {
            return;
        }
        if stamp > self.rev {
            self.removed.insert(key.to_string(), stamp);
        }
        match parse_key(key) {
            Some(Key::Leader) => self.leader = None,
            Some(Key::Term) => self.term = None,
            Some(Key::Catalog) => self.catalog = None,
            Some(Key::Shares) => self.shares = None,
            Some(Key::Job(uid)) => {
                self.jobs.remove(uid);
            }
            Some(Key::Done(uid, n)) => {
                if let Some(d) = self.done.get_mut(uid) {
                    d.remove(&n);
                    if d.is_empty() {
                        self.done.remove(uid);
                    }
                }
            }
            Some(Key::Place(m)) => {
                if let Some(old) = self.places.remove(m) {
                    self.count_placed(&old.value, -1);
                }
            }
            None => {}
        }
    }

    fn count_placed(&mut self, rec: &PlaceRec, by: i64) {
        for (job, _, _) in &rec.tasks {
            let n = match self.placed.get_mut(job.as_str()) {
                Some(n) => n,
                None => self.placed.entry(Rc::from(job.as_str())).or_default(),
            };
            *n = (i64::from(*n) + by).max(0) as u32;
            if *n == 0 {
                self.placed.remove(job.as_str());
            }
        }
    }

    /// Tasks of a job that are on machines, as far as the store tells.
    pub fn placed(&self, uid: &str) -> u32 {
        self.placed.get(uid).copied().unwrap_or(0)
    }

    /// Done tasks of a job.
    pub fn done_bitmap(&self, uid: &str) -> Bitmap {
        let mut bits = Bitmap::default();
        for (n, rec) in self.done.get(uid).into_iter().flatten() {
            bits.add_chunk(*n, &rec.value.bits);
        }
        bits
    }

    /// The highest term known from the store.
    pub fn term(&self) -> u64 {
        self.term.as_ref().map_or(0, |t| t.value.term)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::state::raw;

    fn put(key: String, rec: &PlaceRec, stamp: u64) -> Event {
        Event { write: Some(key), remove: None, data: Some(raw(rec)), stamp }
    }

    #[test]
    fn an_older_answer_that_comes_late_changes_nothing() {
        let mut r = Replica::default();
        let one = PlaceRec { tasks: vec![("job-1".into(), 0, 7)], kits: vec![] };
        let none = PlaceRec::default();
        let new = Changes { ledger_rev: 9, events: vec![put(place_key("n-1"), &none, 8)] };
        let old = Changes { ledger_rev: 5, events: vec![put(place_key("n-1"), &one, 4)] };
        r.apply(&new);
        r.apply(&old);
        assert_eq!(r.places["n-1"].value, none);
        assert_eq!((r.rev, r.placed("job-1")), (9, 0));
    }

    #[test]
    fn a_key_removed_ahead_of_the_watch_does_not_come_back() {
        let mut r = Replica::default();
        let one = PlaceRec { tasks: vec![("job-1".into(), 0, 7)], kits: vec![] };
        r.write(&place_key("n-1"), &raw(&one), 4);
        r.remove(&place_key("n-1"), 6);
        r.apply(&Changes { ledger_rev: 5, events: vec![put(place_key("n-1"), &one, 4)] });
        assert!(r.places.is_empty(), "the write at 4 is older than the removal at 6");
        assert_eq!(r.placed("job-1"), 0);
        r.apply(&Changes { ledger_rev: 8, events: vec![put(place_key("n-1"), &one, 8)] });
        assert_eq!(r.places.len(), 1, "a later write counts");
    }
}
