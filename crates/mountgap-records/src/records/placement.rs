//! The text form of placements in the store.

use super::JobId;
use crate::job::UID_PREFIX;
use serde::{Deserialize, Serialize};

/// Placements of any jobs on any machines, one text after the other ([`StoredPlacement`]). One value
/// holds hundreds, so that one write starts and settles many tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementsRecord {
    /// The texts, separated by spaces.
    pub tasks: String,
}

impl PlacementsRecord {
    /// The placements; what can't be read is left out with a log line.
    pub fn placed(&self) -> impl Iterator<Item = StoredPlacement<'_>> {
        self.tasks.split_ascii_whitespace().filter_map(|text| {
            let placement = StoredPlacement::parse(text);
            if placement.is_none() {
                log::error!("stored placement {text} can't be read");
            }
            placement
        })
    }
}

/// A task on a machine, as stored: `000412/3@n-000231#28000001`, the attempt in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoredPlacement<'a> {
    /// The job's id without its [`UID_PREFIX`].
    pub digits: &'a str,
    /// The task's number.
    pub task: u32,
    /// The machine's name.
    pub machine: &'a str,
    /// The attempt.
    pub attempt: u64,
}

impl<'a> StoredPlacement<'a> {
    fn parse(text: &'a str) -> Option<StoredPlacement<'a>> {
        let (digits, rest) = text.split_once('/')?;
        let (task, rest) = rest.split_once('@')?;
        let (machine, attempt) = rest.rsplit_once('#')?;
        let attempt = u64::from_str_radix(attempt, 16).ok()?;
        Some(StoredPlacement { digits, task: task.parse().ok()?, machine, attempt })
    }

    /// The text form; `None` for a machine whose name can't stand in one.
    pub fn text(uid: &str, task: u32, machine: &str, attempt: u64) -> Option<String> {
        let digits = uid.strip_prefix(UID_PREFIX)?;
        if !machine.bytes().all(may_stand_in_text) {
            return None;
        }
        Some(format!("{digits}/{task}@{machine}#{attempt:x}"))
    }

    /// The job's id.
    pub fn job_id(&self) -> JobId {
        format!("{UID_PREFIX}{}", self.digits).into()
    }
}

/// Whether a byte of a machine's name can stand in a JSON string as it is, and is no separator.
fn may_stand_in_text(byte: u8) -> bool {
    byte.is_ascii_graphic() && byte != b'"' && byte != b'\\'
}
