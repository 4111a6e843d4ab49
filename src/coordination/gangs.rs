//! Gangs as the leader sees them: attempts that can't become complete, and stops that take all tasks.

use super::election::leader_write_share;
use super::leader::was_never_ordered;
use super::{Controller, Leader};
use crate::constants::{
    COMMIT_BYTES, COMMIT_FRAME_BYTES, GANG_SCAN_MS, GROUP_FRAME_BYTES, MS_PER_S,
    PLACEMENT_BYTES_MOST, REPORT_JITTER, SILENT_PERIODS, WORKER_RETRY_S, WORKER_WAIT_S,
    WRITE_RESERVE,
};
use crate::protocol::users::JobSpec;
use crate::protocol::workers::EndCause;
use crate::settings::Workers;
use crate::storage::limits::StoreLimits;
use crate::storage::machine::{Machine, MachineState, StopReason, TaskId};
use crate::storage::records::{JobId, MachineName};
use std::collections::BTreeSet;

/// Most tasks of a gang: the placements of an attempt go into one commit, which can have no more
/// changes than a leader may make at once.
pub(super) fn gang_tasks_max(limits: &StoreLimits, controllers: usize) -> usize {
    let by_bytes = (COMMIT_BYTES - COMMIT_FRAME_BYTES) / limits.value_bytes;
    let burst = limits.lowest_writes_per_s() * leader_write_share(controllers) - WRITE_RESERVE;
    let groups = limits.transaction_ops.min(by_bytes).min(burst as usize).max(1);
    groups * ((limits.value_bytes - GROUP_FRAME_BYTES) / PLACEMENT_BYTES_MOST)
}

/// Whether all tasks of a gang could ever be in the zones at once, of which so many hold machines
/// that it may use.
pub(super) fn zones_suffice(spec: &JobSpec, zones: usize) -> bool {
    !spec.spread || spec.tasks == 1 || (!spec.one_zone && zones > 1)
}

/// Whether a task that is told to stop keeps its progress. Those of a gang do if all of them can be told
/// in time, each in the answer to its next report.
pub(super) fn saves_when_stopped(spec: &JobSpec, workers: &Workers) -> bool {
    let told_within_s = workers.report_s * (1.0 + REPORT_JITTER);
    let in_time = workers.gang_peer_s <= 0.0 || told_within_s <= workers.gang_peer_s;
    spec.saves() && (!spec.is_gang() || in_time)
}

/// Milliseconds of silence after which a machine is not waited for: longer than a worker takes to report
/// again when it has missed one answer.
fn silent_ms(workers: &Workers) -> u64 {
    let missed_answer_s = WORKER_WAIT_S + WORKER_RETRY_S + workers.report_s;
    (missed_answer_s.max(workers.report_s * SILENT_PERIODS) * MS_PER_S) as u64
}

impl Leader {
    /// Stops all tasks of a gang; those that were never ordered are settled at once.
    pub(super) fn stop_gang(&mut self, uid: &JobId, halt: StopReason, now: u64) {
        self.cluster.stop_gang(uid, halt);
        let Some(job) = self.cluster.jobs.get(uid) else { return };
        let nowhere: Vec<(MachineName, u32)> = job
            .placed_on
            .iter()
            .filter(|(task, machine)| {
                let machine = self.cluster.machines.get(*machine);
                let held =
                    machine.and_then(|m| m.placements.get(&TaskId::new(uid.clone(), **task)));
                held.is_some_and(|p| p.settled.is_none() && was_never_ordered(p, self.term))
            })
            .map(|(task, machine)| (machine.clone(), *task))
            .collect();
        for (machine, task) in nowhere {
            self.cluster.settle(&machine, &TaskId::new(uid.clone(), task), EndCause::Lost);
        }
        self.plan_soon(now);
    }

    /// Stops the attempts of gangs that can't become complete: a task is to start on a machine that
    /// has fallen silent, and no task of the gang was seen running.
    fn stop_hopeless_gangs(&mut self, workers: &Workers, now: u64) {
        let silent = silent_ms(workers);
        let lost = |m: &Machine| {
            m.state != MachineState::Up
                || m.lease_expired
                || m.unreachable_since.is_some()
                || m.last_alive_at.is_none_or(|t| now > t + silent)
        };
        let cluster = &self.cluster;
        let mut hopeless: BTreeSet<JobId> = BTreeSet::new();
        for uid in cluster.queue.values() {
            let Some(job) = cluster.jobs.get(uid) else { continue };
            // One that has run goes on if the machine is only cut off, and ends by itself if not.
            if job.gang.as_ref().is_none_or(|gang| gang.running) {
                continue;
            }
            let missing = job.placed_on.iter().any(|(task, machine)| {
                let Some(m) = cluster.machines.get(machine) else { return false };
                let held = m.placements.get(&TaskId::new(uid.clone(), *task));
                // What an earlier leader has placed may run there.
                let heard = m.has_our_token || now > self.began_at + silent * 2;
                held.is_some_and(|p| p.reported_status.is_none() && p.stop_reason.is_none())
                    && heard
                    && lost(m)
            });
            if missing {
                hopeless.insert(uid.clone());
            }
        }
        for uid in hopeless {
            log::info!("{uid}: its gang can't become complete, the attempt is stopped");
            self.stop_gang(&uid, StopReason::NotNeeded, now);
        }
    }
}

impl Controller {
    pub(super) fn gangs_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.gang_scan_at) else {
            return;
        };
        leader.gang_scan_at = now + GANG_SCAN_MS;
        leader.stop_hopeless_gangs(&self.settings.params.workers, now);
    }
}

#[cfg(test)]
mod tests;
