//! Eviction of tasks from spot machines that the cloud is about to reclaim.

use crate::constants::{MS_PER_S, RECLAIM_CHECKPOINT_MARGIN_S};
use crate::coordination::gang_rules::keeps_progress_when_stopped;
use crate::coordination::Leader;
use crate::protocol::users::{JobKind, JobSpec};
use crate::settings::Workers;
use crate::storage::machine::{Placement, StopReason};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

impl Leader {
    /// Evicts tasks from a machine that the cloud will reclaim. Tasks that save when they are stopped stay until
    /// there is just enough time left for that. Others are evicted at once, to start elsewhere, except running
    /// tasks that are expected to end in time and are no services.
    pub(super) fn evict_before_reclaim(&mut self, name: &MachineName, now: u64, workers: &Workers) {
        let jobs = &self.cluster.jobs;
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let Some(reclaim_at) = machine.reclaim_at else { return };
        let remaining_ms = reclaim_at.saturating_sub(now);
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for (id, placement) in &mut machine.placements {
            let spec = jobs.get(&id.job).and_then(|job| job.spec.as_ref());
            let is_active = placement.settled.is_none() && placement.stop_reason.is_none();
            let Some(spec) = spec.filter(|_| is_active) else { continue };
            if !must_be_evicted(spec, placement, remaining_ms, now, workers) {
                continue;
            }
            if spec.is_gang() {
                gangs.insert(id.job.clone());
            } else {
                placement.stop_reason = Some(StopReason::Eviction);
            }
        }
        for job_id in gangs {
            self.stop_gang(&job_id, StopReason::Eviction, now);
        }
    }
}

/// Whether a task must be evicted now from a machine that is reclaimed in `remaining_ms`.
fn must_be_evicted(
    spec: &JobSpec,
    placement: &Placement,
    remaining_ms: u64,
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
        return remaining_ms <= save_ms + heartbeat_ms * 2;
    }
    let estimate_ms = (spec.run_estimate_s * MS_PER_S) as u64;
    estimate_ms.saturating_sub(now - running_since) > remaining_ms
}
