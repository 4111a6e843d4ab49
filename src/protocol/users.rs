//! Interface between users and controllers: submissions, polls and cancellations of jobs.
//!
//! This module checks the form of a submission. Whether the job can ever run depends on the settings and
//! the machine types; [`crate::coordination`] checks that.

use super::Resources;
use serde::{Deserialize, Serialize};

pub use mountgap_records::job::{
    is_valid_job_id, JobKind, JobSpec, Priority, JOB_ID_PREFIX, TASKS_MAX,
};

/// Maximum length in bytes of the name of a class, team, image, machine type or zone.
const NAME_BYTES_MAX: usize = 100;
/// Maximum number of machine types that a submission may list.
const MACHINE_TYPES_MAX: usize = 64;
/// Maximum of each amount and of each duration in seconds, so that arithmetic in whole thousandths stays
/// exact.
const AMOUNT_MAX: f64 = 1e9;

/// Why a submission is rejected with status 400 (`POST /v1/jobs`); the text is sent to the user.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The value of a field is not allowed.
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
    /// The field is missing or not a string.
    #[error("missing or not a string")]
    NotAString,
    /// The value does not have the form of a job id.
    #[error("must look like job-000412")]
    NotAJobId,
    /// A name is empty or too long.
    #[error("must have 1 to {NAME_BYTES_MAX} bytes")]
    NameLength,
    /// A list has too many entries.
    #[error("too many")]
    TooMany,
    /// The job has no tasks or too many.
    #[error("must lie between 1 and {TASKS_MAX}")]
    TaskCount,
    /// An amount or a duration is negative or too large.
    #[error("out of range")]
    OutOfRange,
    /// A task would use no cores, GPUs or memory.
    #[error("a task must take something")]
    NoResources,
}

impl FieldProblem {
    /// The error that reports this problem of a field.
    fn in_field(self, field: &'static str) -> SubmissionError {
        SubmissionError::InvalidField { field, problem: self }
    }
}

/// A submission of which only the job id has been checked (`POST /v1/jobs`).
///
/// The id is checked before the other fields: a repeated submission of an accepted job is answered with
/// the status of that job, whatever its other fields are.
#[derive(Debug)]
pub struct Submission {
    job_id: String,
    fields: serde_json::Value,
}

impl Submission {
    /// Parses a request body and checks the job id.
    pub fn parse(body: &[u8]) -> Result<Submission, SubmissionError> {
        let fields: serde_json::Value = serde_json::from_slice(body)?;
        let object = fields.as_object().ok_or(SubmissionError::NotAnObject)?;
        let job_id = object.get("uid").and_then(|job_id| job_id.as_str());
        let job_id = job_id.ok_or(FieldProblem::NotAString.in_field("uid"))?.to_string();
        if !is_valid_job_id(&job_id) {
            return Err(FieldProblem::NotAJobId.in_field("uid"));
        }
        Ok(Submission { job_id, fields })
    }

    /// The job id.
    pub fn job_id(&self) -> &str {
        &self.job_id
    }

    /// Checks all other fields and returns the job's specification.
    pub fn into_spec(self) -> Result<JobSpec, SubmissionError> {
        let spec: JobSpec = serde_json::from_value(self.fields)?;
        validate(&spec)?;
        Ok(spec)
    }
}

/// Checks all fields; the error names the first invalid one.
fn validate(spec: &JobSpec) -> Result<(), SubmissionError> {
    validate_names(spec)?;
    if !(1..=TASKS_MAX).contains(&spec.tasks) {
        return Err(FieldProblem::TaskCount.in_field("loads"));
    }
    validate_amounts(spec)?;
    if spec.need() == Resources::default() {
        return Err(FieldProblem::NoResources.in_field("cores"));
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
        return Err(FieldProblem::TooMany.in_field("builds"));
    }
    machine_types.iter().try_for_each(|name| validate_name("builds", name))
}

fn validate_name(field: &'static str, name: &str) -> Result<(), SubmissionError> {
    if name.is_empty() || name.len() > NAME_BYTES_MAX {
        return Err(FieldProblem::NameLength.in_field(field));
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
            return Err(FieldProblem::OutOfRange.in_field(field));
        }
    }
    Ok(())
}

/// Status of a job as users see it (`GET /v1/jobs/{id}`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task is placed on a machine.
    Queued,
    /// At least one task is placed on a machine.
    Running,
    /// All tasks have completed.
    Done,
    /// The job was cancelled by its user or given up by an operator.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response to a submission or a cancellation (`POST /v1/jobs` and `POST /v1/jobs/{id}/withdraw`).
///
/// A controller also parses this from the response of a peer to which it relayed a request; the response
/// to a poll has these fields and more.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatusResponse<'a> {
    /// The job id.
    pub uid: &'a str,
    /// Status of the job.
    pub status: JobStatus,
}

/// Response to a poll (`GET /v1/jobs/{id}`).
#[derive(Debug, Serialize)]
pub struct JobProgressResponse<'a> {
    /// The job id.
    pub uid: &'a str,
    /// Status of the job.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks placed on machines.
    pub running: u32,
}

/// Body of every error response.
#[derive(Debug, Serialize)]
pub struct ErrorResponse<'a> {
    /// The reason, in words for a human reader.
    pub error: &'a str,
}

#[cfg(test)]
mod tests;
