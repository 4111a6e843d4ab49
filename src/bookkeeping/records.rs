//! The stored forms: keys and values of the state service.

use crate::constants as c;
use crate::protocol::users::Spec;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A machine, a job: shared names.
pub type Name = Rc<str>;

/// The leased key that names the leader.
pub fn leader_key() -> String {
    format!("{}leader", c::KEY_ROOT)
}

/// The key that holds the term, which only grows.
pub fn term_key() -> String {
    format!("{}term", c::KEY_ROOT)
}

/// The key of the last known catalogue, so that submissions can be judged without the cloud.
pub fn catalog_key() -> String {
    format!("{}catalog", c::KEY_ROOT)
}

/// The key of the teams' shares.
pub fn shares_key() -> String {
    format!("{}shares", c::KEY_ROOT)
}

/// The key of a job.
pub fn job_key(uid: &str) -> String {
    format!("{}job/{uid}", c::KEY_ROOT)
}

/// The key of one bitmap of done tasks.
pub fn done_key(uid: &str, chunk: u32) -> String {
    format!("{}done/{uid}/{chunk}", c::KEY_ROOT)
}

/// The key of a machine's placements.
pub fn place_key(machine: &str) -> String {
    format!("{}place/{machine}", c::KEY_ROOT)
}

/// A key, taken apart.
#[derive(Debug, PartialEq)]
pub enum Key<'a> {
    Leader,
    Term,
    Catalog,
    Shares,
    Job(&'a str),
    Done(&'a str, u32),
    Place(&'a str),
}

/// Takes a key apart; `None` for keys of others.
pub fn parse_key(key: &str) -> Option<Key<'_>> {
    let rest = key.strip_prefix(c::KEY_ROOT)?;
    Some(match rest {
        "leader" => Key::Leader,
        "term" => Key::Term,
        "catalog" => Key::Catalog,
        "shares" => Key::Shares,
        _ => {
            let (kind, name) = rest.split_once('/')?;
            match kind {
                "job" => Key::Job(name),
                "place" => Key::Place(name),
                "done" => {
                    let (uid, chunk) = name.rsplit_once('/')?;
                    Key::Done(uid, chunk.parse().ok()?)
                }
                _ => return None,
            }
        }
    })
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRec {
    pub label: String,
    pub incarnation: u64,
    pub term: u64,
}

/// The highest term ever taken.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TermRec {
    pub term: u64,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    Live,
    Done,
    Withdrawn,
}

/// A job. Its key is written when it is accepted and when it ends, so that the stamp of a
/// live job is its arrival number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRec {
    /// Time of day of the acceptance, in milliseconds.
    pub at: u64,
    pub stage: Stage,
    pub loads: u32,
    /// Dropped when the job is done: nothing asks for it any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Rc<Spec>>,
}

/// A bitmap of done tasks as text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DoneRec {
    pub bits: String,
}

/// A machine's placements: job, task, attempt; and the images it holds, newest last.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceRec {
    pub tasks: Vec<(String, u32, u64)>,
    #[serde(default)]
    pub kits: Vec<(String, f64)>,
}

/// The teams' shares of the machines, in thousandths of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRec {
    pub term: u64,
    pub teams: Vec<(String, i64)>,
}

/// A set of tasks, a bit each.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// Whether the task is in the set.
    pub fn get(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    /// Adds a task; false if it was there.
    pub fn set(&mut self, i: u32) -> bool {
        let w = i as usize / 64;
        if self.words.len() <= w {
            self.words.resize(w + 1, 0);
        }
        let fresh = self.words[w] >> (i % 64) & 1 == 0;
        self.words[w] |= 1 << (i % 64);
        fresh
    }

    /// Size of the set.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// Text form of the tasks of one chunk.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let per = (c::DONE_CHUNK_TASKS / 64) as usize;
        let from = (chunk as usize * per).min(self.words.len());
        let to = (from + per).min(self.words.len());
        let mut out = String::new();
        for w in &self.words[from..to] {
            out.push_str(&format!("{w:016x}"));
        }
        out
    }

    /// Adds the tasks of a chunk's text form; text that isn't one adds nothing.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        let per = (c::DONE_CHUNK_TASKS / 64) as usize;
        let from = chunk as usize * per;
        if !text.is_ascii() || chunk > crate::protocol::users::LOADS_MAX / c::DONE_CHUNK_TASKS {
            return;
        }
        for (i, at) in (0..text.len()).step_by(16).take(per).enumerate() {
            let Some(word) = text.get(at..at + 16).and_then(|t| u64::from_str_radix(t, 16).ok())
            else {
                return;
            };
            if self.words.len() <= from + i {
                self.words.resize(from + i + 1, 0);
            }
            self.words[from + i] |= word;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bitmaps_survive_their_text_form() {
        let mut a = Bitmap::default();
        for i in [0, 63, 64, 8_191, 8_192, 99_999] {
            assert!(a.set(i) && !a.set(i));
        }
        let mut b = Bitmap::default();
        for chunk in 0..=99_999 / c::DONE_CHUNK_TASKS {
            assert!(a.chunk_text(chunk).len() <= 2_048);
            b.add_chunk(chunk, &a.chunk_text(chunk));
        }
        assert_eq!(b.count(), 6);
        assert!(b.get(99_999) && b.get(8_191) && !b.get(1));
        b.add_chunk(0, "zz");
        assert_eq!(b.count(), 6);
    }

    #[test]
    fn keys_are_taken_apart_as_they_are_made() {
        assert_eq!(parse_key(&job_key("job-1")), Some(Key::Job("job-1")));
        assert_eq!(parse_key(&done_key("job-1", 3)), Some(Key::Done("job-1", 3)));
        assert_eq!(parse_key(&place_key("n-1")), Some(Key::Place("n-1")));
        assert_eq!(parse_key("mg/new/thing"), None);
    }
}
