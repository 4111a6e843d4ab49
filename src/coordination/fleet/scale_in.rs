//! Scaling in: returns machines that are idle, failed, silent or unreachable.

use super::boot_ms;
use super::forecast::ServiceHeadroom;
use crate::constants::{
    BILLING_MIN_S, BOOT_TIMEOUT_FACTOR, CLOUD_TIMEOUT_MS, DELETION_MACHINES_MAX,
    IDLE_TIMEOUT_BOOT_FACTOR, MS_PER_S, RECLAIM_DELETE_DELAY_MS, SILENT_MINORITY_DIVISOR,
    UNREACHABLE_DELETE_MS, WORKERS_UNREACHABLE_HANDOVER_MS, WORKER_RETRY_S, WORKER_TIMEOUT_S,
};
use crate::coordination::outbox::CallPurpose;
use crate::coordination::{Controller, Leader, Service};
use crate::protocol::cloud::{Catalog, MachineNames};
use crate::protocol::http::Response;
use crate::protocol::Resources;
use crate::settings::Platform;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::MachineName;

/// Heartbeat periods within which a worker has certainly retried a heartbeat that didn't reach the
/// leader.
const RETRY_CYCLE_PERIODS: f64 = 2.5;

impl Controller {
    /// Returns machines that are not needed or can't be used any more.
    pub(super) fn return_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let operator = self.operator.clone();
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        // How long another controller may extend leases in place of an isolated leader.
        let extended_lease_ms = self.isolation_budget_ms() + self.worker_lease_max_ms();
        let Some(leader) = self.leader.as_mut() else { return };
        let workers = &self.settings.params.workers;
        let rules = ReturnRules {
            now,
            catalog: &catalog,
            idle_return_s: operator.idle_return_s,
            lease_ms: (workers.lease_s * MS_PER_S) as u64,
            silent_ms: workers.silent_ms(),
            extended_lease_ms,
        };
        let silent = leader.silent_machines_with_services(now, &self.settings);
        let mut capacity = ServiceCapacity::new(leader, now, &catalog);
        let mut names = Vec::new();
        for machine in leader.cluster.machines.values() {
            // Each idle machine that is returned reduces the spare capacity for the machines after it.
            let is_returnable = rules.is_returnable(machine, &mut capacity);
            if is_returnable || rules.is_unresponsive(machine) || silent.contains(&machine.name) {
                names.push(machine.name.clone());
            }
        }
        // If no heartbeat arrives at all, the leader itself is probably cut off: nothing is deleted.
        if names.is_empty() || now > leader.last_heartbeat_at + WORKERS_UNREACHABLE_HANDOVER_MS {
            return;
        }
        names.truncate(DELETION_MACHINES_MAX);
        if self.cloud.take_request(0.0, now) {
            self.delete_machines(names);
        }
    }

    fn delete_machines(&mut self, names: Vec<MachineName>) {
        let Some(leader) = self.leader.as_mut() else { return };
        for name in &names {
            if let Some(machine) = leader.cluster.machines.get_mut(name) {
                machine.state = MachineState::Deleting;
            }
        }
        log::info!("machine deletion requested: {}", names.join(", "));
        let body = MachineNames { machines: names.iter().map(|name| name.to_string()).collect() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let purpose = CallPurpose::Delete(names);
        self.call(Service::Cloud, "POST", "/hosts/delete".into(), body, CLOUD_TIMEOUT_MS, purpose);
    }

    /// Handles the cloud's response to a deletion.
    pub(in crate::coordination) fn on_deletion_response(
        &mut self,
        names: Vec<MachineName>,
        response: Option<Response>,
    ) {
        if matches!(response, Some(Response { status: 200, .. })) {
            for name in names {
                self.mark_machine_terminated(&name);
            }
            return;
        }
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        for name in names {
            let machine = leader.cluster.machines.get_mut(&name);
            let Some(machine) = machine.filter(|machine| machine.state == MachineState::Deleting)
            else {
                continue;
            };
            // The deletion may still take effect, now or later. It is requested again meanwhile.
            machine.state = match machine.up_at {
                Some(_) => MachineState::Up,
                None => MachineState::AwaitingHeartbeat,
            };
            machine.health.cordon_for_deletion(now);
        }
    }
}

/// The capacity for new services on on-demand machines, while machines are chosen for return.
struct ServiceCapacity {
    headroom: Option<ServiceHeadroom>,
    /// Tasks of the size of the headroom that fit on the machines that are kept.
    free_slots: f64,
}

impl ServiceCapacity {
    fn new(leader: &Leader, now: u64, catalog: &Catalog) -> ServiceCapacity {
        let headroom = leader.service_headroom(now, catalog);
        let mut free_slots = 0.0;
        for machine in leader.usable_on_demand_machines() {
            free_slots += headroom.as_ref().map_or(0.0, |headroom| {
                leader.cluster.free(machine).fit_count(&headroom.need) as f64
            });
        }
        ServiceCapacity { headroom, free_slots }
    }

    /// Subtracts an empty machine's capacity if the remaining capacity is enough for the headroom. Returns
    /// whether the machine's capacity was subtracted.
    fn try_release(&mut self, machine: &Machine) -> bool {
        let Some(headroom) = self.headroom.as_ref().filter(|_| !machine.spot) else { return true };
        let machine_slots = machine.total.fit_count(&headroom.need) as f64;
        let is_enough = self.free_slots - machine_slots >= headroom.slots;
        if is_enough {
            self.free_slots -= machine_slots;
        }
        is_enough
    }
}

/// The rules by which machines are returned.
struct ReturnRules<'a> {
    now: u64,
    catalog: &'a Catalog,
    /// Idle timeout in seconds; `None`: it depends on the boot time.
    idle_return_s: Option<f64>,
    lease_ms: u64,
    /// Milliseconds without a heartbeat after which a machine counts as silent.
    silent_ms: u64,
    /// Milliseconds after a worker's last heartbeat to the leader for which another controller may have
    /// kept its lease alive.
    extended_lease_ms: u64,
}

impl ReturnRules<'_> {
    /// Whether a machine has failed, failed to boot, is past its lease or is not needed.
    fn is_returnable(&self, machine: &Machine, capacity: &mut ServiceCapacity) -> bool {
        match machine.state {
            MachineState::Booting | MachineState::AwaitingHeartbeat | MachineState::Up
                if machine.failed =>
            {
                true
            }
            MachineState::Terminated | MachineState::Deleting | MachineState::AwaitingHeartbeat => {
                false
            }
            MachineState::Booting => {
                let boot_ms = boot_ms(self.catalog, &machine.type_name);
                self.age_ms(machine) as f64 > boot_ms as f64 * BOOT_TIMEOUT_FACTOR
            }
            MachineState::Up => self.is_returnable_while_up(machine, capacity),
        }
    }

    fn is_returnable_while_up(&self, machine: &Machine, capacity: &mut ServiceCapacity) -> bool {
        let now = self.now;
        let is_empty = machine.is_empty();
        if machine.lease_expired {
            let contact_timeout_ms = self.contact_timeout_ms(machine);
            return machine.last_response_at.is_none_or(|at| now > at + contact_timeout_ms)
                || machine.health.is_cordoned();
        }
        // A silent machine past its reclaim time is deleted at once: to wait until it is missing from the
        // list would delay the restart of its tasks by twice the list lag.
        if let Some(reclaim_at) = machine.reclaim_at {
            let is_past = now > reclaim_at + RECLAIM_DELETE_DELAY_MS;
            let is_silent = machine.last_alive_at.is_none_or(|at| now > at + self.silent_ms);
            return is_empty || (is_past && is_silent);
        }
        if machine.health.is_cordoned() {
            return is_empty;
        }
        if !is_empty {
            return false;
        }
        let is_past_min_charge = self.age_ms(machine) as f64 >= BILLING_MIN_S * MS_PER_S;
        if machine.draining {
            return is_past_min_charge;
        }
        let idle_ms = self.idle_timeout_ms(machine);
        let is_idle = machine.idle_since.is_some_and(|since| now >= since + idle_ms);
        is_idle && is_past_min_charge && capacity.try_release(machine)
    }

    /// Whether a machine sends no heartbeats or receives no commands.
    fn is_unresponsive(&self, machine: &Machine) -> bool {
        match machine.state {
            MachineState::AwaitingHeartbeat => self.never_sent_heartbeat(machine),
            MachineState::Up => self.is_silent(machine) || self.is_unreachable(machine),
            _ => false,
        }
    }

    /// Whether a machine has been silent since before this term, and for so long that its lease has
    /// expired whichever controller renewed it last.
    fn is_silent(&self, machine: &Machine) -> bool {
        let silent_ms = self.contact_timeout_ms(machine).max(self.extended_lease_ms);
        !machine.lease_expired && machine.last_alive_at.is_some_and(|at| self.now > at + silent_ms)
    }

    fn never_sent_heartbeat(&self, machine: &Machine) -> bool {
        self.now > machine.first_known_at + self.lease_ms + UNREACHABLE_DELETE_MS
    }

    /// Whether a machine that receives no commands is to be replaced. If tasks are on it, that is once
    /// its lease must have expired, so that they can restart elsewhere.
    fn is_unreachable(&self, machine: &Machine) -> bool {
        let timeout_ms = match machine.is_empty() {
            true => UNREACHABLE_DELETE_MS,
            false => self.lease_ms,
        };
        machine.unreachable_since.is_some_and(|since| self.now > since + timeout_ms)
    }

    fn age_ms(&self, machine: &Machine) -> u64 {
        self.now.saturating_sub(machine.rented_at)
    }

    /// Milliseconds for which a machine without contact is kept: a lease and a boot. It may reconnect
    /// before a replacement would be up, and a network partition of a zone must not return all of it.
    fn contact_timeout_ms(&self, machine: &Machine) -> u64 {
        self.lease_ms + boot_ms(self.catalog, &machine.type_name)
    }

    /// Idle timeout of a machine in milliseconds.
    fn idle_timeout_ms(&self, machine: &Machine) -> u64 {
        match self.idle_return_s {
            Some(seconds) => (seconds * MS_PER_S) as u64,
            None => {
                let boot_ms = boot_ms(self.catalog, &machine.type_name);
                (boot_ms as f64 * IDLE_TIMEOUT_BOOT_FACTOR) as u64
            }
        }
    }
}

impl Leader {
    /// Machines with services that have missed a whole cycle of heartbeats and retries, if they are few,
    /// all others send heartbeats and the services fit there. Deleting such a machine proves at once
    /// that its tasks have ended; waiting for the lease or the list takes twice as long. If it was only
    /// cut off, its tasks would end with the lease anyway.
    fn silent_machines_with_services(&self, now: u64, settings: &Platform) -> Vec<MachineName> {
        let workers = &settings.params.workers;
        // A heartbeat that fails, its timeout, a retry at a controller that doesn't lead, and a retry
        // here.
        let retry_cycle_s =
            workers.report_s * RETRY_CYCLE_PERIODS + WORKER_TIMEOUT_S + WORKER_RETRY_S * 2.0;
        let retry_cycle_ms = (retry_cycle_s * MS_PER_S) as u64;
        let recent_ms = workers.silent_ms();
        let cluster = &self.cluster;
        let is_known = |machine: &&Machine| {
            matches!(machine.state, MachineState::Up | MachineState::AwaitingHeartbeat)
                && !machine.failed
        };
        let missed_retry_cycle = |machine: &Machine| {
            let last_alive_at = machine.last_alive_at.unwrap_or(0).max(self.term_began_at);
            !machine.lease_expired
                && now > last_alive_at.max(machine.first_known_at) + retry_cycle_ms
        };
        let was_alive_recently =
            |machine: &Machine| machine.last_alive_at.is_some_and(|at| now <= at + recent_ms);
        let known: Vec<&Machine> = cluster.machines.values().filter(is_known).collect();
        let (silent, others): (Vec<&Machine>, Vec<&Machine>) =
            known.iter().copied().partition(|machine| missed_retry_cycle(machine));
        let alive = known.iter().filter(|machine| was_alive_recently(machine)).count();
        let are_few = silent.len() * SILENT_MINORITY_DIVISOR <= known.len();
        if !are_few || alive + silent.len() < known.len() {
            return Vec::new();
        }
        let targets: Vec<&Machine> =
            others.into_iter().filter(|machine| machine.is_usable() && !machine.spot).collect();
        silent
            .into_iter()
            .filter(|machine| services_fit_elsewhere(cluster, machine, &targets))
            .map(|machine| machine.name.clone())
            .collect()
    }
}

/// Whether a machine has services and all of them fit on the other machines.
fn services_fit_elsewhere(cluster: &ClusterState, machine: &Machine, targets: &[&Machine]) -> bool {
    let services: Vec<Resources> = machine
        .placements
        .iter()
        .filter(|(id, placement)| placement.settled.is_none() && cluster.is_service(&id.job))
        .filter_map(|(id, _)| cluster.jobs.get(&id.job).map(|job| job.need))
        .collect();
    let Some(need) = services.first() else { return false };
    let mut slots = 0;
    for target in targets {
        slots += cluster.capacity_for_services(target).fit_count(need);
    }
    slots >= services.len() as i64
}

#[cfg(test)]
mod tests;
