//! Spot machines that the cloud is about to take back.

use crate::constants::{MS_PER_S, RECLAIM_CHECKPOINT_MARGIN_S};
use crate::coordination::gang_rules::keeps_progress_when_stopped;
use crate::coordination::Leader;
use crate::protocol::users::{JobKind, JobSpec};
use crate::settings::Workers;
use crate::storage::machine::{Placement, StopReason};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

impl Leader {
    /// Evicts tasks from a machine that the cloud will take: those that can't end in time while
    /// they can still save, and those that can't save at once, so that they start elsewhere.
    pub(super) fn evict_before_reclaim(&mut self, name: &MachineName, now: u64, workers: &Workers) {
        let jobs = &self.cluster.jobs;
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let Some(reclaim_at) = machine.reclaim_at else { return };
        let left_ms = reclaim_at.saturating_sub(now);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for (id, placement) in &mut machine.placements {
            let spec = jobs.get(&id.job).and_then(|job| job.spec.as_ref());
            let is_open = placement.settled.is_none() && placement.stop_reason.is_none();
            let Some(spec) = spec.filter(|_| is_open) else { continue };
            if !must_be_evicted(spec, placement, left_ms, now, workers) {
                continue;
            }
            if spec.is_gang() {
                gangs.insert(id.job.clone());
            } else {
                placement.stop_reason = Some(StopReason::Eviction);
            }
        }
        for uid in gangs {
            self.stop_gang(&uid, StopReason::Eviction, now);
        }
    }
}

/// Whether a task has to leave now a machine that goes in `left_ms`.
fn must_be_evicted(
    spec: &JobSpec,
    placement: &Placement,
    left_ms: u64,
    now: u64,
    workers: &Workers,
) -> bool {
    let Some(running_since) = placement.running_since else { return true };
    if spec.kind == JobKind::Service {
        return true;
    }
    if keeps_progress_when_stopped(spec, workers) {
        let heartbeat_ms = (workers.report_s * MS_PER_S) as u64;
        let save_ms = ((spec.checkpoint_cost_s + RECLAIM_CHECKPOINT_MARGIN_S) * MS_PER_S) as u64;
        return left_ms <= save_ms + heartbeat_ms * 2;
    }
    let estimate_ms = (spec.run_estimate_s * MS_PER_S) as u64;
    estimate_ms.saturating_sub(now - running_since) > left_ms
}
