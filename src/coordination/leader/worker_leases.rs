//! Expiry of worker leases, and handover of leadership when no worker reaches this leader.

use super::Leader;
use crate::constants::{
    CLOCK_DRIFT_SHARE, MS_PER_S, WORKERS_UNREACHABLE_HANDOVER_MS, WORKER_LEASE_MARGIN_MS,
    WORKER_LEASE_SCAN_MS,
};
use crate::coordination::Controller;
use crate::protocol::peers::Gossip;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::MachineName;

impl Controller {
    /// Settles the tasks of machines whose worker lease has certainly expired. The evidence for that: the
    /// worker has shown this term's fencing token, so no leader of a lower term can have renewed the lease
    /// since; the last response is longer ago than the lease; and no peer has extended it since then.
    pub(super) fn expire_worker_leases(&mut self) {
        let now = self.now.monotonic_ms;
        if self.leader.as_ref().is_none_or(|leader| now < leader.next_lease_scan_at) {
            return;
        }
        self.metrics.work.lease_scans += 1;
        let lease_ms = self.worker_lease_max_ms();
        let not_extended_before = self.leases_not_extended_before();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for name in leader.mark_expired_leases(lease_ms, not_extended_before, now) {
            log::info!("worker lease expired: {name} is silent, its tasks are settled as lost");
            leader.cluster.settle_machine(&name);
            leader.request_planning_pass(now);
        }
    }

    /// Milliseconds after a response for which its worker may run tasks at the most: its lease, with clock
    /// drift and a margin added.
    pub(in crate::coordination) fn worker_lease_max_ms(&self) -> u64 {
        let lease_s = self.settings.params.workers.lease_s * (1.0 + CLOCK_DRIFT_SHARE);
        (lease_s * MS_PER_S) as u64 + WORKER_LEASE_MARGIN_MS
    }

    /// Hands leadership over if no worker reaches this leader while workers do reach a peer that is served by
    /// the state service.
    pub(super) fn hand_over_if_no_heartbeats(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = &self.leader else { return };
        let no_worker_is_heard = now > leader.last_heartbeat_at + WORKERS_UNREACHABLE_HANDOVER_MS
            && now > leader.term_began_at + WORKERS_UNREACHABLE_HANDOVER_MS;
        let is_reached_by_workers =
            |gossip: &Gossip| gossip.workers_seen > 0 && gossip.served_ago_ms.is_some();
        if no_worker_is_heard && self.membership.fresh_gossip(now).any(is_reached_by_workers) {
            self.hand_over("no worker reaches this controller, but workers reach others");
        }
    }
}

impl Leader {
    /// Finds machines whose lease has expired, marks them so, and schedules the next scan.
    fn mark_expired_leases(
        &mut self,
        lease_ms: u64,
        not_extended_before: u64,
        now: u64,
    ) -> Vec<MachineName> {
        // Of the leases that are running, the one with the oldest activity expires first. A scan before that
        // would find nothing.
        let mut oldest_activity_at = now;
        let mut expired = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let Some(last_activity_at) = last_lease_activity_at(machine) else { continue };
            if now > last_activity_at + lease_ms && last_activity_at <= not_extended_before {
                machine.lease_expired = true;
                expired.push(machine.name.clone());
            } else {
                oldest_activity_at = oldest_activity_at.min(last_activity_at);
            }
        }
        self.next_lease_scan_at =
            (oldest_activity_at + lease_ms + 1).max(now + WORKER_LEASE_SCAN_MS);
        expired
    }
}

/// When a machine whose lease this leader renews last sent a heartbeat or got a response; `None` if another
/// controller may renew its lease or the lease has expired.
///
/// Heartbeats count too: a machine that has come back and whose heartbeat still waits for its response is not
/// silent. If its lease expired again while a start command is on the way, that task would run twice.
fn last_lease_activity_at(machine: &Machine) -> Option<u64> {
    let last_response_at = machine.last_response_at?;
    let is_ours =
        machine.has_current_token && !machine.lease_expired && machine.state == MachineState::Up;
    is_ours.then(|| last_response_at.max(machine.last_heartbeat_at.unwrap_or(0)))
}
