//! The reports on data loss and rebuilds for operators.

use super::phase::RecoveryPhase;
use super::rebuild::Rebuild;
use crate::coordination::Controller;
use crate::protocol::recovery::{FlaggedJob, LastRebuild, RecoveryReport, UnknownTask};
use crate::snapshots::SnapshotStatus;
use crate::storage::records::{FlagReason, RebuildPhase};
use serde::Serialize;

/// The part of a controller's status that concerns data loss in the store.
#[derive(Debug, Serialize)]
pub(crate) struct RecoveryView {
    phase: &'static str,
    store: Option<String>,
    losses: u64,
    /// Number of keys in the image of the store that is kept for a rebuild.
    image_keys: usize,
    flagged_jobs: usize,
    unknown_tasks: usize,
    /// Whether the last rebuild has a history gap that no operator has closed.
    gap: bool,
    starts_held: bool,
    /// The result of the last snapshot, if snapshots are enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    snapshot: Option<SnapshotStatus>,
}

fn flag_reason_text(reason: FlagReason) -> &'static str {
    match reason {
        FlagReason::MayHaveEnded => "may have been cancelled or completed in the lost history",
    }
}

fn rebuild_phase_text(phase: RebuildPhase) -> &'static str {
    match phase {
        RebuildPhase::Writing => "writing",
        RebuildPhase::Complete => "complete, machines are being accounted for",
        RebuildPhase::Accounted => "complete",
    }
}

impl Controller {
    fn recovery_phase_text(&self) -> &'static str {
        match self.recovery.phase() {
            _ if !self.recovery.is_enabled() => "not enabled",
            _ if self.is_rebuilding() => "rebuilding",
            RecoveryPhase::Following => "following",
            RecoveryPhase::FirstStart { .. } => "first start",
            RecoveryPhase::Verifying { .. } => "verifying",
            RecoveryPhase::Lost { .. } => "lost",
        }
    }

    fn flagged_jobs(&self) -> Vec<FlaggedJob> {
        let groups = self.store.replica().flagged.values().flat_map(|group| &group.value.jobs);
        let jobs = groups.map(|(job, reason)| FlaggedJob {
            job: job.clone(),
            reason: flag_reason_text(*reason).into(),
        });
        jobs.collect()
    }

    fn unknown_tasks(&self) -> Vec<UnknownTask> {
        let machines = self.leader.iter().flat_map(|leader| leader.cluster.machines.values());
        let tasks = machines.flat_map(|machine| {
            machine.unknown_tasks.iter().map(|attempt| UnknownTask {
                machine: machine.name.to_string(),
                task: attempt.task.to_string(),
                attempt: attempt.number,
            })
        });
        tasks.collect()
    }

    /// The part of the status that concerns data loss. None if data loss is not detected.
    pub(in crate::coordination) fn recovery_view(&self) -> Option<RecoveryView> {
        self.recovery.is_enabled().then(|| RecoveryView {
            phase: self.recovery_phase_text(),
            store: self.recovery.identity().map(|id| id.to_string()),
            losses: self.recovery.losses(),
            image_keys: self.recovery.image().len(),
            flagged_jobs: self.flagged_jobs().len(),
            unknown_tasks: self.unknown_tasks().len(),
            gap: self.has_history_gap(),
            starts_held: self.starts_are_blocked(),
            snapshot: self.recovery.snapshot_status().cloned(),
        })
    }

    /// The full report on data loss and rebuilds as this controller knows them.
    pub(super) fn recovery_report(&self) -> RecoveryReport {
        let loss = match self.recovery.phase() {
            RecoveryPhase::Lost { loss, .. } => Some(loss.to_string()),
            RecoveryPhase::Verifying { suspicion, .. } => {
                suspicion.as_ref().map(|loss| loss.to_string())
            }
            _ => None,
        };
        let last = self.store.replica().rebuild.as_ref().map(|record| &record.value);
        RecoveryReport {
            controller: self.settings.label.clone(),
            enabled: self.recovery.is_enabled(),
            phase: self.recovery_phase_text().into(),
            loss,
            store: self.recovery.identity().map(|id| id.to_string()),
            losses: self.recovery.losses(),
            written: self.recovery.rebuild().and_then(Rebuild::progress),
            last_rebuild: last.map(|record| LastRebuild {
                phase: rebuild_phase_text(record.phase).into(),
                owner: record.owner.clone(),
                at: record.at,
                loss: record.loss.clone(),
                sources: record.sources.clone(),
                gap: record.gap.clone(),
            }),
            flagged: self.flagged_jobs(),
            unknown_tasks: self.unknown_tasks(),
        }
    }
}
