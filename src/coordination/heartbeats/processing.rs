//! Applying a heartbeat to the leader's state of its machine and of the tasks on it.

use super::evidence::{update_machine, Evidence, ReportedTasks, ResponseDelivery, StartedTask};
use super::response::{DeferredHeartbeat, TaskAttempt};
use crate::constants::{MS_PER_S, UNREACHABLE_RESET_LEASES};
use crate::coordination::{ConnectionId, Controller, Leader};
use crate::protocol::cloud::Catalog;
use crate::protocol::parse_task;
use crate::protocol::workers::Heartbeat;
use crate::storage::cluster::Adoption;
use crate::storage::machine::{AttemptId, HeartbeatId, Machine, MachineState, StopReason, TaskId};
use crate::storage::records::MachineName;
use std::collections::BTreeSet;

/// A running task that has no placement in the store, though placements are stored before tasks start.
struct UnrecordedTask {
    /// The task's name on the wire.
    task_id: String,
}

impl Controller {
    /// Applies a heartbeat to the leader's state and defers its response, which may wait for a
    /// transaction.
    pub(super) fn process_heartbeat(&mut self, connection: ConnectionId, heartbeat: &Heartbeat) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.last_heartbeat_at = now;
        if leader.fleet.is_terminated(&heartbeat.machine) {
            // A delayed heartbeat of a machine that was deleted.
            return self.redirect(connection);
        }
        let name = MachineName::from(heartbeat.machine.as_str());
        if is_outdated(leader.cluster.machine_entry(&name, now), heartbeat) {
            return self.redirect(connection);
        }
        self.apply_evidence(&name, heartbeat);
        let untracked_tasks = match self.reconcile_untracked_tasks(&name, heartbeat) {
            Ok(untracked_tasks) => untracked_tasks,
            Err(unrecorded) => {
                self.redirect(connection);
                return self.on_unrecorded_task(&name, &unrecorded.task_id);
            }
        };
        let Some(leader) = self.leader.as_mut() else { return };
        let is_idle = |machine: &&mut Machine| machine.is_empty();
        if let Some(machine) = leader.cluster.machines.get_mut(&name).filter(is_idle) {
            machine.idle_since.get_or_insert(now);
        }
        leader.evict_before_reclaim(&name, now, &self.settings.params.workers);
        let has_current_token = heartbeat.fencing_token == leader.term;
        leader.deferred_heartbeats.push(DeferredHeartbeat::new(
            connection,
            name,
            heartbeat,
            has_current_token,
            untracked_tasks,
            now,
        ));
    }

    /// Updates the machine and the placements on it with the evidence of a heartbeat.
    fn apply_evidence(&mut self, name: &MachineName, heartbeat: &Heartbeat) {
        let now = self.now.monotonic_ms;
        let catalog = self.cloud.catalog().map(|catalog| &**catalog);
        let lease_ms = self.settings.params.workers.lease_s * MS_PER_S;
        let reset_after_ms = (lease_ms * UNREACHABLE_RESET_LEASES) as u64;
        let Some(leader) = self.leader.as_mut() else { return };
        let has_current_token = heartbeat.fencing_token == leader.term;
        let keys = leader.cluster.hash_keys();
        let machine = leader.cluster.machine_entry(name, now);
        let id = HeartbeatId::of(heartbeat);
        let delivery = ResponseDelivery::evaluate(machine, id, has_current_token, now);
        update_machine(machine, heartbeat, catalog, has_current_token, now);
        let reported = ReportedTasks::from_heartbeat(heartbeat, keys);
        let evidence = Evidence::collect(machine, &reported, id, has_current_token, now);
        update_reachability(machine, &delivery, &evidence, now, reset_after_ms);
        for started in evidence.started {
            if leader.record_task_started(name, &started, catalog) {
                let start_ms = now - started.placed_at;
                let _ = self.metrics.start_ms.record(start_ms);
                log::debug!(
                    "task running: {} on {name}, {start_ms} ms after placement",
                    started.id
                );
            }
        }
        for ended in evidence.ended {
            leader.record_task_end(name, &ended.id, ended.cause, now, &mut self.rng);
            leader.cluster.settle(name, &ended.id, ended.cause);
            leader.request_planning_pass(now);
        }
    }

    /// Handles reported tasks that have no placement on the machine: some are adopted or left running, the
    /// others are returned and have to be stopped.
    fn reconcile_untracked_tasks(
        &mut self,
        name: &MachineName,
        heartbeat: &Heartbeat,
    ) -> Result<Vec<TaskAttempt>, UnrecordedTask> {
        let now = self.now.monotonic_ms;
        let was_rebuilt = self.store.replica().rebuild.is_some();
        let history_may_be_incomplete = was_rebuilt || self.starts_are_blocked();
        let Some(leader) = self.leader.as_mut() else { return Ok(Vec::new()) };
        let has_current_token = heartbeat.fencing_token == leader.term;
        let mut tasks_of_unknown_jobs = BTreeSet::new();
        let mut to_stop = Vec::new();
        for reported in heartbeat.tasks.iter().filter(|task| task.status.is_on_machine()) {
            let Some((job, index)) = parse_task(&reported.task_id) else { continue };
            let id = AttemptId::new(TaskId::new(job.into(), index), reported.attempt);
            if leader.cluster.placement(name, &id.task).is_some_and(|p| p.attempt == id.number) {
                continue;
            }
            // The heartbeat may be a delayed copy. Only one with this term's token proves what runs there now.
            if history_may_be_incomplete && !has_current_token {
                continue;
            }
            if was_rebuilt && !self.store.replica().jobs.contains_key(&id.task.job) {
                // The job may have been accepted in the lost part of the history, so the task is left running.
                tasks_of_unknown_jobs.insert(id);
                continue;
            }
            if was_rebuilt && leader.cluster.adopt(name, &id, now) != Adoption::Rejected {
                continue;
            }
            log::info!(
                "task without placement: {} attempt {} on {name}",
                reported.task_id,
                id.number
            );
            if has_current_token && !was_rebuilt && self.recovery.is_enabled() {
                return Err(UnrecordedTask { task_id: reported.task_id.clone() });
            }
            to_stop.push(TaskAttempt { task_id: reported.task_id.clone(), attempt: id.number });
            leader.cluster.add_untracked_task(name, &id, now);
        }
        let machine = leader.cluster.machines.get_mut(name);
        if let Some(machine) = machine.filter(|_| !was_rebuilt || has_current_token) {
            machine.unknown_tasks = tasks_of_unknown_jobs;
        }
        Ok(to_stop)
    }
}

/// Whether a heartbeat is superseded by what is known of its machine.
fn is_outdated(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    // Delayed or duplicated: the worker no longer waits for its response.
    let is_late = HeartbeatId::of(heartbeat) <= machine.newest_heartbeat;
    // Sent before the lease expired and delayed on the way: the tasks that it reports have ended, and the worker
    // has begun another incarnation since. To accept it would bring back a machine that is still cut off, with
    // tasks that have been started elsewhere.
    let is_of_expired_lease =
        machine.lease_expired && heartbeat.incarnation <= machine.newest_heartbeat.incarnation;
    is_late || is_of_expired_lease
}

/// Updates whether responses reach the machine. While none does, tasks that were never reported there are
/// stopped, so that the next heartbeat settles them and they start elsewhere.
fn update_reachability(
    machine: &mut Machine,
    delivery: &ResponseDelivery,
    evidence: &Evidence,
    now: u64,
    reset_after_ms: u64,
) {
    let missed_response_signs = delivery.missed_response_signs + u32::from(evidence.start_missed);
    let delivered = delivery.delivered || evidence.start_arrived;
    if machine.record_response_delivery(missed_response_signs, delivered, now, reset_after_ms) {
        log::info!(
            "machine unreachable: {} sends heartbeats but gets no response, so it gets no new tasks",
            machine.name
        );
    }
    if machine.unreachable_since.is_none() {
        return;
    }
    for placement in machine.placements.values_mut() {
        if placement.reported_status.is_none() {
            placement.stop_reason.get_or_insert(StopReason::Eviction);
        }
    }
}

impl Leader {
    /// Records that a task is running and that its machine holds its image. Returns whether the job and the
    /// machine are known.
    fn record_task_started(
        &mut self,
        machine_name: &MachineName,
        started: &StartedTask,
        catalog: Option<&Catalog>,
    ) -> bool {
        let Some(job) = self.cluster.jobs.get_mut(&started.id.job) else { return false };
        job.has_started = true;
        if let Some(gang) = &mut job.gang {
            gang.record_running();
        }
        let Some(spec) = job.spec.clone() else { return false };
        let Some(machine) = self.cluster.machines.get_mut(machine_name) else { return false };
        let machine_type = catalog.and_then(|catalog| catalog.machine_type(&machine.type_name));
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.record_image(&spec.image, spec.size_gb, cache_gb);
        true
    }

    /// Whether a transaction that is in flight or due may add commands to the response to a machine's heartbeat.
    pub(super) fn may_get_commands(&self, machine_name: &MachineName) -> bool {
        self.cluster.machines.get(machine_name).is_some_and(|machine| {
            let takes_new_tasks = machine.state == MachineState::Up
                && !machine.health.is_cordoned()
                && machine.reclaim_at.is_none();
            machine.uncommitted_placements > 0 || takes_new_tasks
        })
    }
}
