//! Evidence that time gives: worker leases that have expired, and workers that nobody here hears.

use super::Leader;
use crate::constants::{
    CLOCK_DRIFT, LEASE_MARGIN_MS, LEASE_SCAN_MS, MS_PER_S, WORKERS_UNREACHABLE_HANDOVER_MS,
};
use crate::coordination::Controller;
use crate::protocol::peers::Gossip;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::MachineName;

impl Controller {
    /// Settles what was on machines whose lease has surely expired: the worker had shown our token, so
    /// nobody of a lower term can have renewed it, our last response is older than the lease, and no peer
    /// has answered it in our place since.
    pub(super) fn expire_worker_leases(&mut self) {
        let now = self.now.monotonic_ms;
        if self.leader.as_ref().is_none_or(|leader| now < leader.lease_scan_at) {
            return;
        }
        self.metrics.work.lease_scans += 1;
        let lease_ms = self.lease_ms();
        let not_extended_before = self.leases_not_extended_before();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for name in leader.find_expired_leases(lease_ms, not_extended_before, now) {
            log::info!("{name}: silent, its lease has expired");
            leader.cluster.settle_machine(&name);
            leader.plan_soon(now);
        }
    }

    /// The longest time after a response at which a worker may still run tasks, in milliseconds.
    pub(in crate::coordination) fn lease_ms(&self) -> u64 {
        let lease_s = self.settings.params.workers.lease_s * (1.0 + CLOCK_DRIFT);
        (lease_s * MS_PER_S) as u64 + LEASE_MARGIN_MS
    }

    /// All workers are silent here while peers see them come round: someone else should lead.
    pub(super) fn hand_over_if_no_worker_reports(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = &self.leader else { return };
        let is_quiet = now > leader.last_heartbeat_at + WORKERS_UNREACHABLE_HANDOVER_MS
            && now > leader.began_at + WORKERS_UNREACHABLE_HANDOVER_MS;
        let hears_workers =
            |gossip: &Gossip| gossip.workers_seen > 0 && gossip.served_ago_ms.is_some();
        if is_quiet && self.membership.fresh_gossip(now).any(hears_workers) {
            self.hand_over("no worker reports here, but to others they do");
        }
    }
}

impl Leader {
    /// Marks machines whose lease has expired, and sets when to look again.
    fn find_expired_leases(
        &mut self,
        lease_ms: u64,
        not_extended_before: u64,
        now: u64,
    ) -> Vec<MachineName> {
        // No lease that runs now can expire before the oldest of them: until then a look at
        // every machine would find nothing.
        let mut oldest_sign = now;
        let mut expired = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let Some(last_sign) = last_sign_of_lease(machine) else { continue };
            if now > last_sign + lease_ms && last_sign <= not_extended_before {
                machine.lease_expired = true;
                expired.push(machine.name.clone());
            } else {
                oldest_sign = oldest_sign.min(last_sign);
            }
        }
        self.lease_scan_at = (oldest_sign + lease_ms + 1).max(now + LEASE_SCAN_MS);
        expired
    }
}

/// When a machine whose lease we renew was last answered or heard; none if its lease is not ours or
/// has expired.
///
/// One whose heartbeat waits for its response is not silent: it was once taken for silent
/// again when it came back, with a start for it on the way, and that task ran twice.
fn last_sign_of_lease(machine: &Machine) -> Option<u64> {
    let last_response_at = machine.last_response_at?;
    let is_ours =
        machine.has_our_token && !machine.lease_expired && machine.state == MachineState::Up;
    is_ours.then(|| last_response_at.max(machine.last_heartbeat_at.unwrap_or(0)))
}
