//! Rules for gangs that don't depend on the leader's state: the largest size, the zones that a gang
//! needs, and whether its tasks save their progress when stopped.

use super::write_shares::leader_write_share;
use crate::constants::{
    GROUP_OVERHEAD_BYTES, HEARTBEAT_JITTER_SHARE, LEADER_WRITE_RESERVE, PLACEMENT_BYTES_MAX,
    TRANSACTION_BYTES_MAX, TRANSACTION_OVERHEAD_BYTES,
};
use crate::protocol::users::JobSpec;
use crate::settings::Workers;
use crate::storage::limits::StoreLimits;

/// Most tasks of a gang: the placements of an attempt are stored in one transaction, whose writes are
/// limited by the state service and by the leader's share of its write rate.
pub(super) fn gang_tasks_max(limits: &StoreLimits, controllers: usize) -> usize {
    let by_bytes = (TRANSACTION_BYTES_MAX - TRANSACTION_OVERHEAD_BYTES) / limits.value_bytes;
    let burst =
        limits.lowest_writes_per_s() * leader_write_share(controllers) - LEADER_WRITE_RESERVE;
    let groups = limits.transaction_ops.min(by_bytes).min(burst as usize).max(1);
    groups * ((limits.value_bytes - GROUP_OVERHEAD_BYTES) / PLACEMENT_BYTES_MAX)
}

/// Whether all tasks of a gang could run at once if `zones` zones offer machine types that it may use.
pub(super) fn zones_suffice(spec: &JobSpec, zones: usize) -> bool {
    !spec.spread || spec.tasks == 1 || (!spec.one_zone && zones > 1)
}

/// Whether a task that is told to stop keeps its progress. Tasks of a gang fail within `gang_peer_s` of
/// the end of another one, so they keep their progress only if all can be told to stop within that time,
/// each in the response to its machine's next heartbeat.
pub(super) fn keeps_progress_when_stopped(spec: &JobSpec, workers: &Workers) -> bool {
    let told_within_s = workers.report_s * (1.0 + HEARTBEAT_JITTER_SHARE);
    let in_time = workers.gang_peer_s <= 0.0 || told_within_s <= workers.gang_peer_s;
    spec.writes_checkpoints() && (!spec.is_gang() || in_time)
}

#[cfg(test)]
mod tests;
