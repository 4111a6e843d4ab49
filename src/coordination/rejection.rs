//! The reasons for which a submission is not accepted.

/// The reason for which a submission is not accepted; its text is the error that the user gets.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// The body is not a submission, or a field is missing or invalid.
    #[error("{0}")]
    Malformed(String),
    /// The team is not in the settings.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// The cloud's machine types, which decide whether the job can run, are not known yet.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// No machine type that the job allows has capacity for one task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks that must run at once need more than the team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// One transaction can't hold the placements of all tasks of the gang.
    #[error("a gang can have {tasks_max} tasks here at the most")]
    GangTooLarge {
        /// Tasks that one transaction can hold.
        tasks_max: usize,
    },
    /// The gang must be spread over zones, and only one zone is open to it.
    #[error("too few zones for all tasks at once")]
    TooFewZones,
}

impl Rejection {
    /// HTTP status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            Rejection::Malformed(_) => 400,
            Rejection::MachineTypesUnknown => 503,
            Rejection::UnknownTeam(_)
            | Rejection::FitsNoMachineType
            | Rejection::OverTeamLimit
            | Rejection::GangTooLarge { .. }
            | Rejection::TooFewZones => 422,
        }
    }
}

#[cfg(test)]
mod tests;
