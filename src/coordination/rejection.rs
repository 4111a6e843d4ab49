//! Why a submission is not accepted.

/// Why a submission is not accepted, in the words that its user is answered with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum Rejection {
    /// It is no submission, or a field is missing or invalid.
    #[error("{0}")]
    Malformed(String),
    /// The settings have no such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// Whether it can run is not known yet.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// No allowed machine type has room for a single task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// It needs more at once than its team may ever use.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// One transaction can't hold the placements of all tasks of the gang.
    #[error("a gang can have {tasks_max} tasks here at the most")]
    GangTooLarge {
        /// Tasks that one transaction can hold.
        tasks_max: usize,
    },
    /// The tasks of the gang can't all be in the zones that it allows.
    #[error("too few zones for all tasks at once")]
    TooFewZones,
}

impl Rejection {
    /// HTTP status of the answer.
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
