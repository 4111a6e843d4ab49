//! Scaling in: idle, failed, silent or unreachable machines are returned.

use super::boot_ms;
use super::forecast::ServiceHeadroom;
use crate::constants::{
    BOOT_LOST, CHARGE_MIN_S, CLOUD_TIMEOUT_MS, DELETION_MACHINES_MAX, IDLE_RETURN_BOOTS, MS_PER_S,
    RECLAIM_PAST_MS, SILENT_DELETE_MS, SILENT_MINORITY_DIVISOR, WORKERS_UNREACHABLE_HANDOVER_MS,
    WORKER_RETRY_S, WORKER_TIMEOUT_S,
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

/// Report periods in which a worker that can't reach us has surely had its next try.
const MISSED_ROUND_PERIODS: f64 = 2.5;

impl Controller {
    /// Returns machines that are not needed or of no use any more.
    pub(super) fn return_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let operator = self.operator.clone();
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        // Leases may be kept in our place for so long after we were last heard.
        let isolated_ms = self.isolation_budget_ms() + self.worker_lease_max_ms();
        let Some(leader) = self.leader.as_mut() else { return };
        let workers = &self.settings.params.workers;
        let rules = ReturnRules {
            now,
            catalog: &catalog,
            idle_return_s: operator.idle_return_s,
            lease_ms: (workers.lease_s * MS_PER_S) as u64,
            silent_ms: workers.silent_ms(),
            isolated_ms,
        };
        let silent = leader.silent_services(now, &self.settings);
        let mut room = ServiceRoom::new(leader, now, &catalog);
        let mut names = Vec::new();
        for machine in leader.cluster.machines.values() {
            // Each machine that is not needed takes room from those after it.
            let is_surplus = rules.is_surplus(machine, &mut room);
            if is_surplus || rules.is_lost(machine) || silent.contains(&machine.name) {
                names.push(machine.name.clone());
            }
        }
        // A leader that hears nobody must not take that for the death of all.
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
        log::info!("returns {}", names.join(", "));
        let body = MachineNames { machines: names.iter().map(|name| name.to_string()).collect() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let purpose = CallPurpose::Delete(names);
        self.call(Service::Cloud, "POST", "/hosts/delete".into(), body, CLOUD_TIMEOUT_MS, purpose);
    }

    /// Takes in what the cloud answered to a deletion.
    pub(in crate::coordination) fn on_deletion_response(
        &mut self,
        names: Vec<MachineName>,
        reply: Option<Response>,
    ) {
        if matches!(reply, Some(Response { status: 200, .. })) {
            for name in names {
                self.machine_gone(&name);
            }
            return;
        }
        let Some(leader) = self.leader.as_mut() else { return };
        for name in names {
            let machine = leader.cluster.machines.get_mut(&name);
            let Some(machine) = machine.filter(|machine| machine.state == MachineState::Deleting)
            else {
                continue;
            };
            // Perhaps carried out, perhaps later: asked for again.
            machine.state = match machine.up_at {
                Some(_) => MachineState::Up,
                None => MachineState::AwaitingHeartbeat,
            };
            machine.cordoned = true;
        }
    }
}

/// Room for services to come, on ordinary machines.
struct ServiceRoom {
    headroom: Option<ServiceHeadroom>,
    /// Tasks that find room on what is not returned.
    free_slots: f64,
}

impl ServiceRoom {
    fn new(leader: &Leader, now: u64, catalog: &Catalog) -> ServiceRoom {
        let headroom = leader.service_headroom(now, catalog);
        let mut free_slots = 0.0;
        for machine in leader.usable_ordinary_machines() {
            free_slots += headroom
                .as_ref()
                .map_or(0.0, |headroom| leader.cluster.free(machine).times(&headroom.need) as f64);
        }
        ServiceRoom { headroom, free_slots }
    }

    /// Gives up an empty machine's room if there is enough without it. Returns whether there is.
    fn try_give_up(&mut self, machine: &Machine) -> bool {
        let Some(headroom) = self.headroom.as_ref().filter(|_| !machine.spot) else { return true };
        let here = machine.total.times(&headroom.need) as f64;
        let is_enough = self.free_slots - here >= headroom.slots;
        if is_enough {
            self.free_slots -= here;
        }
        is_enough
    }
}

/// When a machine is returned.
struct ReturnRules<'a> {
    now: u64,
    catalog: &'a Catalog,
    /// Seconds after which an idle machine is returned; `None`: by its boot time.
    idle_return_s: Option<f64>,
    lease_ms: u64,
    /// Milliseconds without a sign of life after which a machine counts as silent.
    silent_ms: u64,
    /// Milliseconds for which a lease may be kept by others after we were last heard.
    isolated_ms: u64,
}

impl ReturnRules<'_> {
    /// Whether a machine has failed, was never up, is given up or is not needed.
    fn is_surplus(&self, machine: &Machine, room: &mut ServiceRoom) -> bool {
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
                self.age_ms(machine) as f64 > boot_ms as f64 * BOOT_LOST
            }
            MachineState::Up => self.is_surplus_while_up(machine, room),
        }
    }

    fn is_surplus_while_up(&self, machine: &Machine, room: &mut ServiceRoom) -> bool {
        let now = self.now;
        let is_empty = machine.is_empty();
        if machine.lease_expired {
            let give_up_ms = self.give_up_ms(machine);
            return machine.last_response_at.is_none_or(|at| now > at + give_up_ms)
                || machine.cordoned;
        }
        // Empty, or past its time and silent: to wait for the list would hold its
        // tasks for twice its lag.
        if let Some(reclaim_at) = machine.reclaim_at {
            let is_past = now > reclaim_at + RECLAIM_PAST_MS;
            let is_silent = machine.last_alive_at.is_none_or(|at| now > at + self.silent_ms);
            return is_empty || (is_past && is_silent);
        }
        if machine.cordoned {
            return is_empty;
        }
        if !is_empty {
            return false;
        }
        let is_paid_for = self.age_ms(machine) as f64 >= CHARGE_MIN_S * MS_PER_S;
        if machine.draining {
            return is_paid_for;
        }
        let idle_ms = self.idle_return_ms(machine);
        let is_idle = machine.idle_since.is_some_and(|since| now >= since + idle_ms);
        is_idle && is_paid_for && room.try_give_up(machine)
    }

    /// Whether nothing can be told or ordered about a machine any more.
    fn is_lost(&self, machine: &Machine) -> bool {
        match machine.state {
            MachineState::AwaitingHeartbeat => self.never_reported(machine),
            MachineState::Up => self.is_silent(machine) || self.is_unreachable(machine),
            _ => false,
        }
    }

    /// Silent since before this term: nobody may tell any more what runs there.
    fn is_silent(&self, machine: &Machine) -> bool {
        let silent_ms = self.give_up_ms(machine).max(self.isolated_ms);
        !machine.lease_expired && machine.last_alive_at.is_some_and(|at| self.now > at + silent_ms)
    }

    fn never_reported(&self, machine: &Machine) -> bool {
        self.now > machine.first_known_at + self.lease_ms + SILENT_DELETE_MS
    }

    /// What nobody can order about any more is replaced: with tasks on it once its lease
    /// must be over, so that they start elsewhere.
    fn is_unreachable(&self, machine: &Machine) -> bool {
        let patience_ms = match machine.is_empty() {
            true => SILENT_DELETE_MS,
            false => self.lease_ms,
        };
        machine.unreachable_since.is_some_and(|since| self.now > since + patience_ms)
    }

    fn age_ms(&self, machine: &Machine) -> u64 {
        self.now.saturating_sub(machine.rented_at)
    }

    /// Milliseconds for which a machine that is cut off is kept. It may come back, and another one in
    /// its place takes a boot before it is of use. A zone that was cut off was once returned whole.
    fn give_up_ms(&self, machine: &Machine) -> u64 {
        self.lease_ms + boot_ms(self.catalog, &machine.type_name)
    }

    /// Milliseconds after which an idle machine is returned.
    fn idle_return_ms(&self, machine: &Machine) -> u64 {
        match self.idle_return_s {
            Some(seconds) => (seconds * MS_PER_S) as u64,
            None => {
                let boot_ms = boot_ms(self.catalog, &machine.type_name);
                (boot_ms as f64 * IDLE_RETURN_BOOTS) as u64
            }
        }
    }
}

impl Leader {
    /// Machines with services that have missed a whole round of reports while nearly all
    /// others report, and whose services have a place elsewhere: deleting them is evidence
    /// at once, where a lease or the list take twice as long. If they were only cut off, their
    /// tasks would have ended with the lease all the same.
    fn silent_services(&self, now: u64, settings: &Platform) -> Vec<MachineName> {
        let workers = &settings.params.workers;
        // A report that fails, the worker's wait for it, one at a wrong controller, and back.
        let round_s =
            workers.report_s * MISSED_ROUND_PERIODS + WORKER_TIMEOUT_S + WORKER_RETRY_S * 2.0;
        let round_ms = (round_s * MS_PER_S) as u64;
        let recent_ms = workers.silent_ms();
        let cluster = &self.cluster;
        let is_known = |machine: &&Machine| {
            matches!(machine.state, MachineState::Up | MachineState::AwaitingHeartbeat)
                && !machine.failed
        };
        let missed_round = |machine: &Machine| {
            let last_alive_at = machine.last_alive_at.unwrap_or(0).max(self.term_began_at);
            !machine.lease_expired && now > last_alive_at.max(machine.first_known_at) + round_ms
        };
        let reported_lately =
            |machine: &Machine| machine.last_alive_at.is_some_and(|at| now <= at + recent_ms);
        let known: Vec<&Machine> = cluster.machines.values().filter(is_known).collect();
        let (silent, others): (Vec<&Machine>, Vec<&Machine>) =
            known.iter().copied().partition(|machine| missed_round(machine));
        let reporting = known.iter().filter(|machine| reported_lately(machine)).count();
        let are_few = silent.len() * SILENT_MINORITY_DIVISOR <= known.len();
        if !are_few || reporting + silent.len() < known.len() {
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

/// Whether a machine has services, and other machines have room for all of them.
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
        slots += cluster.room_for_services(target).times(need);
    }
    slots >= services.len() as i64
}

#[cfg(test)]
mod tests;
