//! What a job that does not run waits for, in words for users and operators.

use super::gang_rules::gang_tasks_max;
use super::{Controller, Leader};
use crate::protocol::workers::TaskStatus;
use crate::protocol::Resources;
use crate::settings::Team;
use crate::storage::gangs::GangPhase;
use crate::storage::job::Job;
use crate::storage::records::MachineName;
use std::fmt;

/// What a job waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum WaitReason {
    /// A place that is reserved for it.
    Reserved(MachineName),
    /// The end of a pause after failures.
    Paused,
    /// Its team uses as much as it may.
    TeamLimit,
    /// Room on machines that it may use.
    Room,
    /// Gang: one commit can't hold the placements of all its tasks.
    TooLargeToStore {
        /// Tasks that one commit can hold.
        most: usize,
    },
    /// Gang: the commit of its placements.
    Storing,
    /// Gang: images and the start of its other tasks.
    Assembling {
        /// Tasks that wait for an image.
        fetching: usize,
        /// Tasks that wait for the others.
        waiting: usize,
        /// Tasks that no report has shown yet.
        missing: usize,
    },
    /// Gang: tasks of its last attempt that are not proved gone.
    LastAttempt {
        /// How many.
        tasks: usize,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::Reserved(machine) => write!(f, "reserved on {machine}"),
            WaitReason::Paused => write!(f, "failed on several machines, paused"),
            WaitReason::TeamLimit => write!(f, "its team is at its limit"),
            WaitReason::Room => write!(f, "no room that allows it"),
            WaitReason::TooLargeToStore { most } => {
                write!(f, "too large: the store takes {most} tasks of a gang at once")
            }
            WaitReason::Storing => write!(f, "its placements are being stored"),
            WaitReason::Assembling { fetching, waiting, missing } => write!(
                f,
                "its gang assembles: {fetching} fetch the image, {waiting} wait, {missing} are to start"
            ),
            WaitReason::LastAttempt { tasks } => {
                write!(f, "{tasks} tasks of its last attempt may still run")
            }
        }
    }
}

impl Controller {
    /// What a job waits for; none if nothing of it waits.
    pub(super) fn wait_reason(&self, leader: &Leader, job: &Job) -> Option<WaitReason> {
        if let Some(reason) = self.gang_wait_reason(leader, job) {
            return Some(reason);
        }
        if job.waiting() == 0 {
            return None;
        }
        let reserved = leader.reservation.as_ref().filter(|(uid, _)| *uid == job.id);
        Some(match reserved {
            Some((_, machine)) => WaitReason::Reserved(machine.clone()),
            None if job.paused_until > self.now.monotonic_ms => WaitReason::Paused,
            None if self.at_team_limit(leader, job) => WaitReason::TeamLimit,
            None => WaitReason::Room,
        })
    }

    /// What only a gang waits for.
    fn gang_wait_reason(&self, leader: &Leader, job: &Job) -> Option<WaitReason> {
        if !job.is_gang() {
            return None;
        }
        match leader.cluster.gang_phase(job) {
            GangPhase::Running => None,
            GangPhase::Unplaced => {
                let most = gang_tasks_max(self.store.limits(), self.settings.controllers());
                (job.tasks as usize > most).then_some(WaitReason::TooLargeToStore { most })
            }
            GangPhase::Storing => Some(WaitReason::Storing),
            GangPhase::Stopping => Some(WaitReason::LastAttempt { tasks: job.placed_on.len() }),
            GangPhase::Assembling => {
                let shown = |status| {
                    let placements = leader.cluster.placements_of(job);
                    placements.filter(|placement| placement.reported_status == status).count()
                };
                Some(WaitReason::Assembling {
                    fetching: shown(Some(TaskStatus::Pulling)),
                    waiting: shown(Some(TaskStatus::Waiting)),
                    missing: shown(None),
                })
            }
        }
    }

    /// Whether what the job needs at least to go on would put its team over its limit.
    fn at_team_limit(&self, leader: &Leader, job: &Job) -> bool {
        let Some(spec) = &job.spec else { return false };
        let team = self.settings.params.teams.iter().find(|team| team.name == spec.team);
        let limit = team.map_or(Resources::default(), Team::limit);
        let tasks_at_least = if job.is_gang() { i64::from(job.tasks) } else { 1 };
        let mut usage = leader.cluster.usage.get(&spec.team).copied().unwrap_or_default();
        usage += job.need * tasks_at_least;
        !usage.under(&limit)
    }
}
