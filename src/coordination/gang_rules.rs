//! What holds for any gang, whoever leads: how large one may be, which zones it needs, and when it saves.

use super::write_shares::leader_write_share;
use crate::constants::{
    COMMIT_BYTES, COMMIT_FRAME_BYTES, GROUP_FRAME_BYTES, HEARTBEAT_JITTER_SHARE,
    PLACEMENT_BYTES_MAX, WRITE_RESERVE,
};
use crate::protocol::users::JobSpec;
use crate::settings::Workers;
use crate::storage::limits::StoreLimits;

/// Most tasks of a gang: the placements of an attempt go into one transaction, which can have no more
/// changes than a leader may make at once.
pub(super) fn gang_tasks_max(limits: &StoreLimits, controllers: usize) -> usize {
    let by_bytes = (COMMIT_BYTES - COMMIT_FRAME_BYTES) / limits.value_bytes;
    let burst = limits.lowest_writes_per_s() * leader_write_share(controllers) - WRITE_RESERVE;
    let groups = limits.transaction_ops.min(by_bytes).min(burst as usize).max(1);
    groups * ((limits.value_bytes - GROUP_FRAME_BYTES) / PLACEMENT_BYTES_MAX)
}

/// Whether all tasks of a gang could ever be in the zones at once, of which so many hold machines
/// that it may use.
pub(super) fn zones_suffice(spec: &JobSpec, zones: usize) -> bool {
    !spec.spread || spec.tasks == 1 || (!spec.one_zone && zones > 1)
}

/// Whether a task that is told to stop keeps its progress. Those of a gang do if all of them can be told
/// in time, each in the response to its next heartbeat.
pub(super) fn saves_when_stopped(spec: &JobSpec, workers: &Workers) -> bool {
    let told_within_s = workers.report_s * (1.0 + HEARTBEAT_JITTER_SHARE);
    let in_time = workers.gang_peer_s <= 0.0 || told_within_s <= workers.gang_peer_s;
    spec.saves() && (!spec.is_gang() || in_time)
}

#[cfg(test)]
mod tests;
