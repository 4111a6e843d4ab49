//! Users -> controllers: submissions, polls and cancellations ("Users -> controller nodes" of the protocol).
//!
//! Owns what a submission must look like; whether the job can ever run is judged elsewhere, since
//! that takes the settings and the machine types.

use super::Resources;
use serde::{Deserialize, Serialize};

pub use mountgap_records::job::{
    is_valid_job_id, JobKind, JobSpec, Priority, JOB_ID_PREFIX, TASKS_MAX,
};

/// Longest name of a class, team, image, type or zone, in bytes.
const NAME_MAX: usize = 100;
/// Most machine types a submission may list.
const MACHINE_TYPES_MAX: usize = 64;
/// Largest amount or duration accepted; keeps arithmetic exact.
const AMOUNT_MAX: f64 = 1e9;

/// Why a submission is malformed ("400" of "POST /v1/jobs"); the text is part of the answer.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// Not JSON, or a field has another type than the protocol gives it.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field has a value that is not allowed.
    #[error("{field}: {problem}")]
    InvalidField {
        /// Name of the field on the wire.
        field: &'static str,
        /// What is wrong with its value.
        problem: FieldProblem,
    },
}

/// What is wrong with the value of a submission's field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FieldProblem {
    /// There is none, or it is no string.
    #[error("missing or not a string")]
    NotAString,
    /// It has not the form of a job id.
    #[error("must look like job-000412")]
    NotAJobId,
    /// A name is empty or too long.
    #[error("must have 1 to {NAME_MAX} bytes")]
    NameLength,
    /// A list has too many entries.
    #[error("too many")]
    TooMany,
    /// The job has no tasks or too many.
    #[error("must lie between 1 and {TASKS_MAX}")]
    TaskCount,
    /// An amount or a duration is negative, too large or not a number.
    #[error("out of range")]
    OutOfRange,
    /// Tasks take no resources at all.
    #[error("a task must take something")]
    NoResources,
}

impl FieldProblem {
    fn of(self, field: &'static str) -> SubmissionError {
        SubmissionError::InvalidField { field, problem: self }
    }
}

/// A submission of which only the id was read ("POST /v1/jobs" of the protocol).
///
/// The id is read before the rest is judged: a repeat of an accepted job is answered with its state
/// whatever else it carries.
#[derive(Debug)]
pub struct Submission {
    uid: String,
    fields: serde_json::Value,
}

impl Submission {
    /// Reads a request's body as far as the job's id.
    pub fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
        let fields: serde_json::Value = serde_json::from_slice(body)?;
        let object = fields.as_object().ok_or(SubmissionError::NotAnObject)?;
        let uid = object.get("uid").and_then(|uid| uid.as_str());
        let uid = uid.ok_or(FieldProblem::NotAString.of("uid"))?.to_string();
        if !is_valid_job_id(&uid) {
            return Err(FieldProblem::NotAJobId.of("uid"));
        }
        Ok(Submission { uid, fields })
    }

    /// The job's id.
    pub fn uid(&self) -> &str {
        &self.uid
    }

    /// Reads and checks the whole submission.
    pub fn into_spec(self) -> Result<JobSpec, SubmissionError> {
        let spec: JobSpec = serde_json::from_value(self.fields)?;
        validate(&spec)?;
        Ok(spec)
    }
}

/// Checks every field; the first one that is wrong is named.
fn validate(spec: &JobSpec) -> Result<(), SubmissionError> {
    validate_names(spec)?;
    if !(1..=TASKS_MAX).contains(&spec.tasks) {
        return Err(FieldProblem::TaskCount.of("loads"));
    }
    validate_amounts(spec)?;
    if spec.need() == Resources::default() {
        return Err(FieldProblem::NoResources.of("cores"));
    }
    Ok(())
}

fn validate_names(spec: &JobSpec) -> Result<(), SubmissionError> {
    validate_name("duty", &spec.class)?;
    validate_name("crew", &spec.team)?;
    validate_name("kit", &spec.image)?;
    if let Some(zone) = &spec.zone {
        validate_name("yard", zone)?;
    }
    let machine_types = spec.machine_types.as_deref().unwrap_or_default();
    if machine_types.len() > MACHINE_TYPES_MAX {
        return Err(FieldProblem::TooMany.of("builds"));
    }
    machine_types.iter().try_for_each(|name| validate_name("builds", name))
}

fn validate_name(field: &'static str, name: &str) -> Result<(), SubmissionError> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Err(FieldProblem::NameLength.of(field));
    }
    Ok(())
}

fn validate_amounts(spec: &JobSpec) -> Result<(), SubmissionError> {
    let amounts = [
        ("cores", spec.cores),
        ("gpus", spec.gpus),
        ("ram_gb", spec.ram_gb),
        ("size_gb", spec.size_gb),
        ("run_guess_s", spec.run_estimate_s),
        ("mark_every_s", spec.checkpoint_interval_s),
        ("mark_cost_s", spec.checkpoint_cost_s),
        ("due_s", spec.deadline_s.unwrap_or(0.0)),
    ];
    for (field, amount) in amounts {
        if !(0.0..=AMOUNT_MAX).contains(&amount) {
            return Err(FieldProblem::OutOfRange.of(field));
        }
    }
    Ok(())
}

/// A job's state in users' words ("GET /v1/jobs/{id}" of the protocol).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task runs.
    Queued,
    /// A task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user has cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Answer to a submission or a cancellation ("POST /v1/jobs" and "POST /v1/jobs/{id}/withdraw" of the
/// protocol). A controller that passes an answer of a peer on reads it too; the answer to a poll has
/// the same fields and more.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatusResponse<'a> {
    /// The job's id.
    pub uid: &'a str,
    /// Its state.
    pub status: JobStatus,
}

/// Answer to a poll ("GET /v1/jobs/{id}" of the protocol).
#[derive(Debug, Serialize)]
pub struct JobProgressResponse<'a> {
    /// The job's id.
    pub uid: &'a str,
    /// Its state.
    pub status: JobStatus,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks on machines.
    pub running: u32,
}

/// Body of every answer that refuses a request.
#[derive(Debug, Serialize)]
pub struct ErrorResponse<'a> {
    /// The reason, for a person.
    pub error: &'a str,
}

#[cfg(test)]
mod tests;
