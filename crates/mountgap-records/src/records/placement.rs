//! The stored form of placements.

use super::JobId;
use crate::job::JOB_ID_PREFIX;
use serde::{Deserialize, Serialize};

/// A group of placements of any jobs on any machines. One value holds hundreds of them, so that one
/// write can start and settle many tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementsRecord {
    /// The text form of each [`StoredPlacement`], separated by spaces.
    pub tasks: String,
}

impl PlacementsRecord {
    /// The placements. Those that can't be parsed are logged and skipped.
    pub fn placements(&self) -> impl Iterator<Item = StoredPlacement<'_>> {
        self.tasks.split_ascii_whitespace().filter_map(|text| {
            let placement = StoredPlacement::parse(text);
            if placement.is_none() {
                log::error!("stored placement malformed: {text}, it is ignored");
            }
            placement
        })
    }
}

/// A placement as stored, such as `000412/3@n-000231#28000001`, with the attempt in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoredPlacement<'a> {
    /// The job id without its [`JOB_ID_PREFIX`].
    pub job_digits: &'a str,
    /// The task's index within its job.
    pub index: u32,
    /// The machine's name.
    pub machine: &'a str,
    /// Number of the attempt.
    pub attempt: u64,
}

impl<'a> StoredPlacement<'a> {
    fn parse(text: &'a str) -> Option<StoredPlacement<'a>> {
        let (job_digits, rest) = text.split_once('/')?;
        let (index, rest) = rest.split_once('@')?;
        let (machine, attempt) = rest.rsplit_once('#')?;
        let attempt = u64::from_str_radix(attempt, 16).ok()?;
        Some(StoredPlacement { job_digits, index: index.parse().ok()?, machine, attempt })
    }

    /// The text form; `None` if the job id lacks its prefix, or if the machine's name has characters that the
    /// text form doesn't allow.
    pub fn text(job_id: &str, index: u32, machine: &str, attempt: u64) -> Option<String> {
        let job_digits = job_id.strip_prefix(JOB_ID_PREFIX)?;
        if !machine.bytes().all(is_allowed_in_text) {
            return None;
        }
        Some(format!("{job_digits}/{index}@{machine}#{attempt:x}"))
    }

    /// The job id.
    pub fn job_id(&self) -> JobId {
        format!("{JOB_ID_PREFIX}{}", self.job_digits).into()
    }
}

/// Whether a byte of a machine's name is visible ASCII that needs no escape in a JSON string.
fn is_allowed_in_text(byte: u8) -> bool {
    byte.is_ascii_graphic() && byte != b'"' && byte != b'\\'
}
