//! Why a job waits, in words for users and operators.

use super::gang_rules::gang_tasks_max;
use super::{Controller, Leader};
use crate::protocol::workers::TaskStatus;
use crate::protocol::Resources;
use crate::settings::Team;
use crate::storage::gangs::GangPhase;
use crate::storage::job::Job;
use crate::storage::records::MachineName;
use std::fmt;

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum WaitReason {
    /// A machine is reserved for it but not free yet.
    Reserved {
        /// The machine.
        machine: MachineName,
        /// Machines that it avoids because its tasks failed there.
        avoided: Vec<MachineName>,
    },
    /// It is in backoff after failures.
    Paused,
    /// Its team is at its resource limit.
    TeamLimit,
    /// No machine that it may use has free resources for it.
    NoCapacity {
        /// Machines that it avoids because its tasks failed there.
        avoided: Vec<MachineName>,
    },
    /// Gang: the placements of its tasks do not fit into one transaction.
    TooLargeToStore {
        /// Tasks whose placements one transaction can hold.
        max_tasks: usize,
    },
    /// Gang: its placements are being stored.
    Storing,
    /// Gang: its placed tasks are not all running yet.
    Assembling {
        /// Tasks that fetch their image.
        fetching: usize,
        /// Tasks that wait for the other tasks of the gang.
        waiting: usize,
        /// Tasks that no heartbeat has shown yet.
        missing: usize,
    },
    /// Gang: it is not proved that all tasks of its last attempt have ended.
    LastAttempt {
        /// Number of tasks that may still run.
        tasks: usize,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WaitReason::Reserved { machine, avoided } => {
                write!(f, "reserved on {machine}{}", avoided_text(avoided))
            }
            WaitReason::Paused => write!(f, "failed on several machines, paused"),
            WaitReason::TeamLimit => write!(f, "its team is at its limit"),
            WaitReason::NoCapacity { avoided } => {
                write!(f, "no room that allows it{}", avoided_text(avoided))
            }
            WaitReason::TooLargeToStore { max_tasks } => {
                write!(f, "too large: the store takes {max_tasks} tasks of a gang at once")
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
    /// Why a job waits; `None` if none of its tasks does.
    pub(super) fn wait_reason(&self, leader: &Leader, job: &Job) -> Option<WaitReason> {
        if let Some(reason) = self.gang_wait_reason(leader, job) {
            return Some(reason);
        }
        if job.waiting_tasks() == 0 {
            return None;
        }
        let reserved = leader.reservation.as_ref().filter(|(job_id, _)| *job_id == job.id);
        let now = self.now.monotonic_ms;
        let avoided = avoided_machines(job, now);
        Some(match reserved {
            Some((_, machine)) => WaitReason::Reserved { machine: machine.clone(), avoided },
            None if job.failures.is_paused(now) => WaitReason::Paused,
            None if self.at_team_limit(leader, job) => WaitReason::TeamLimit,
            None => WaitReason::NoCapacity { avoided },
        })
    }

    /// The reasons that only gangs have.
    fn gang_wait_reason(&self, leader: &Leader, job: &Job) -> Option<WaitReason> {
        if !job.is_gang() {
            return None;
        }
        match leader.cluster.gang_phase(job) {
            GangPhase::Running => None,
            GangPhase::Unplaced => {
                let max_tasks = gang_tasks_max(self.store.limits(), self.settings.controllers());
                (job.tasks as usize > max_tasks)
                    .then_some(WaitReason::TooLargeToStore { max_tasks })
            }
            GangPhase::Storing => Some(WaitReason::Storing),
            GangPhase::Stopping => Some(WaitReason::LastAttempt { tasks: job.placed_on.len() }),
            GangPhase::Assembling => {
                let tasks_reported = |status| {
                    let placements = leader.cluster.placements_of(job);
                    placements.filter(|placement| placement.reported_status == status).count()
                };
                Some(WaitReason::Assembling {
                    fetching: tasks_reported(Some(TaskStatus::Pulling)),
                    waiting: tasks_reported(Some(TaskStatus::Waiting)),
                    missing: tasks_reported(None),
                })
            }
        }
    }

    /// Whether one more task of the job, or all tasks of a gang, would put its team over its limit.
    fn at_team_limit(&self, leader: &Leader, job: &Job) -> bool {
        let Some(spec) = &job.spec else { return false };
        let team = self.settings.params.teams.iter().find(|team| team.name == spec.team);
        let limit = team.map_or(Resources::default(), Team::limit);
        let min_tasks = if job.is_gang() { i64::from(job.tasks) } else { 1 };
        let mut usage = leader.cluster.usage.get(&spec.team).copied().unwrap_or_default();
        usage += job.need * min_tasks;
        !usage.is_within(&limit)
    }
}

/// Names of the machines that a job avoids.
fn avoided_machines(job: &Job, now: u64) -> Vec<MachineName> {
    let machines = job.failures.avoided_machines(now);
    let mut avoided: Vec<MachineName> = machines.map(|(name, _)| name.clone()).collect();
    avoided.sort();
    avoided
}

/// The end of a wait reason that names the machines that a job avoids, if there are any.
fn avoided_text(avoided: &[MachineName]) -> String {
    match avoided.is_empty() {
        true => String::new(),
        false => format!("; avoids {}, where it failed", avoided.join(", ")),
    }
}
