//! Defragmentation: drains underutilized machines so that they can be returned, and moves services
//! off them.

use super::boot_ms;
use super::forecast::ServiceHeadroom;
use crate::constants::{
    DRAIN_SERVICES_LOAD_MAX, DRAIN_SHARE_MAX, DRAIN_UNPLACED_SHARE_MAX, EXCESS_CAPACITY_MS,
    HEADROOM_MACHINES, SERVICE_ARRIVAL_WINDOW_MS, SERVICE_MOVE_PERIOD_MS, SERVICE_MOVE_SHARE,
};
use crate::coordination::{Controller, Leader};
use crate::protocol::cloud::Catalog;
use crate::protocol::users::JobKind;
use crate::protocol::Resources;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{Machine, MachineState, Placement, StopReason, TaskId};
use crate::storage::records::MachineName;

/// A machine with its load.
struct LoadedMachine<'a> {
    machine: &'a Machine,
    /// The share of the machine that is in use.
    load: f64,
}

/// Capacity of the usable machines, in machines.
struct FleetCapacity {
    free: f64,
    /// Free capacity to keep.
    headroom: f64,
}

/// A machine that could be draining.
struct DrainCandidate<'a> {
    machine: &'a Machine,
    load: f64,
    /// Number of service tasks, which would have to be moved.
    services: f64,
}

impl Controller {
    /// Drains underutilized machines, the most expensive first, while the others have capacity for their
    /// tasks and the headroom; undrains machines when capacity is short. One call changes at most a
    /// share of the fleet.
    pub(super) fn defragment(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_mut() else { return };
        let usable = leader.usable_machines();
        let max_machines = ((usable.len() as f64 * DRAIN_SHARE_MAX) as usize).max(1);
        let capacity = leader.fleet_capacity(&usable, self.operator.headroom_share, now);
        if leader.is_short_of_capacity(&usable, &capacity, now) {
            leader.undrain_machines(max_machines, now);
            return;
        }
        let chosen = leader.machines_to_drain(&usable, capacity, max_machines, &catalog, now);
        if chosen.is_empty() {
            leader.fleet.excess_capacity_since = None;
            return;
        }
        let excess_capacity_since = *leader.fleet.excess_capacity_since.get_or_insert(now);
        if now < excess_capacity_since + EXCESS_CAPACITY_MS {
            return;
        }
        leader.fleet.excess_capacity_since = None;
        log::debug!(
            "machines drained: {}; the others have capacity for their tasks",
            chosen.join(", ")
        );
        for name in chosen {
            if let Some(machine) = leader.cluster.machines.get_mut(&name) {
                machine.draining = true;
            }
        }
    }

    /// Evicts services from draining machines if another machine with their image has capacity, a few
    /// at a time, beginning with the machines that have the fewest: they are empty soonest.
    pub(super) fn move_services(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if now < leader.fleet.next_move_at {
            return;
        }
        let chosen = leader.services_to_move();
        if chosen.is_empty() {
            return;
        }
        leader.fleet.next_move_at = now + SERVICE_MOVE_PERIOD_MS;
        for (name, id) in chosen {
            let machine = leader.cluster.machines.get_mut(&name);
            let Some(placement) = machine.and_then(|machine| machine.placements.get_mut(&id))
            else {
                continue;
            };
            log::debug!("service evicted: {id} moves off draining machine {name}");
            placement.stop_reason = Some(StopReason::Eviction);
        }
    }
}

impl Leader {
    /// Usable machines with their load.
    fn usable_machines(&self) -> Vec<LoadedMachine<'_>> {
        let machines = self.cluster.machines.values().filter(|machine| machine.is_usable());
        machines
            .map(|machine| LoadedMachine { machine, load: load(&self.cluster, machine) })
            .collect()
    }

    /// Free capacity of the usable machines, and how much of it to keep.
    fn fleet_capacity(
        &self,
        usable: &[LoadedMachine<'_>],
        headroom_share: f64,
        now: u64,
    ) -> FleetCapacity {
        let free: f64 = usable.iter().map(|loaded| 1.0 - loaded.load).sum();
        let busy: f64 = usable.iter().map(|loaded| loaded.load).sum();
        let batch_now: f64 = usable
            .iter()
            .map(|loaded| loaded.load * (1.0 - service_share(&self.cluster, loaded.machine)))
            .sum();
        // The batch load expected from recent arrivals, as far as it exceeds the present one.
        let expected_increase = (self.expected_batch_machines(now) - batch_now).max(0.0);
        FleetCapacity {
            free,
            headroom: (busy + expected_increase) * headroom_share
                + expected_increase
                + HEADROOM_MACHINES,
        }
    }

    /// Whether all machines are needed, or it is too early in the term to forecast the demand.
    fn is_short_of_capacity(
        &self,
        usable: &[LoadedMachine<'_>],
        capacity: &FleetCapacity,
        now: u64,
    ) -> bool {
        // A few tasks that can't be placed because of their constraints (a zone, a machine type) must
        // not keep a large fleet from scaling in.
        let machine_size =
            usable.first().map_or(Resources::default(), |loaded| loaded.machine.total);
        let unplaced = self.fleet.unplaced.iter();
        let unplaced: f64 =
            unplaced.map(|tasks| tasks.slots * tasks.need.share_of(&machine_size)).sum();
        let many_unplaced = unplaced > usable.len() as f64 * DRAIN_UNPLACED_SHARE_MAX;
        let is_early = now < self.term_began_at + SERVICE_ARRIVAL_WINDOW_MS / 2;
        many_unplaced || capacity.free < capacity.headroom || is_early
    }

    /// Undrains machines, the one with the highest load first: it has the most work that then needn't
    /// move.
    fn undrain_machines(&mut self, max_machines: usize, now: u64) {
        self.fleet.excess_capacity_since = None;
        let cluster = &self.cluster;
        let mut draining: Vec<(f64, MachineName)> = cluster
            .machines
            .values()
            .filter(|machine| {
                machine.draining
                    && machine.state == MachineState::Up
                    && !machine.health.is_cordoned()
            })
            .map(|machine| (load(cluster, machine), machine.name.clone()))
            .collect();
        draining.sort_by(|(load, _), (other_load, _)| other_load.total_cmp(load));
        for (_, name) in draining.into_iter().take(max_machines) {
            if let Some(machine) = self.cluster.machines.get_mut(&name) {
                log::debug!("machine undrained: {name}, capacity is short");
                machine.draining = false;
                self.request_planning_pass(now);
            }
        }
    }

    /// Machines to drain: as many as leave the headroom and the slots for new services.
    fn machines_to_drain(
        &self,
        usable: &[LoadedMachine<'_>],
        mut capacity: FleetCapacity,
        max_machines: usize,
        catalog: &Catalog,
        now: u64,
    ) -> Vec<MachineName> {
        let headroom = self.service_headroom(now, catalog);
        let service_slots = |machine: &Machine| match &headroom {
            Some(headroom) if !machine.spot => {
                self.cluster.capacity_for_services(machine).fit_count(&headroom.need) as f64
            }
            _ => 0.0,
        };
        let headroom_slots =
            headroom.as_ref().map_or(0.0, |headroom: &ServiceHeadroom| headroom.slots);
        let mut free_slots: f64 = usable.iter().map(|loaded| service_slots(loaded.machine)).sum();
        let mut chosen = Vec::new();
        for candidate in self.drain_candidates(usable, catalog, now) {
            if chosen.len() >= max_machines || capacity.free - 1.0 < capacity.headroom {
                break;
            }
            // Its free slots are lost, and its services take slots on other machines.
            let slots_left = free_slots - service_slots(candidate.machine) - candidate.services;
            if candidate.machine.spot || headroom.is_none() || slots_left >= headroom_slots {
                free_slots = slots_left;
                capacity.free -= 1.0;
                chosen.push(candidate.machine.name.clone());
            }
        }
        chosen
    }

    /// Machines worth draining: on-demand ones before spot ones, which cost less, then those with the
    /// fewest service tasks, then those with the lowest load.
    fn drain_candidates<'a>(
        &self,
        usable: &[LoadedMachine<'a>],
        catalog: &Catalog,
        now: u64,
    ) -> Vec<DrainCandidate<'a>> {
        let is_underutilized = |candidate: &DrainCandidate<'_>| {
            candidate.services == 0.0 || candidate.load <= DRAIN_SERVICES_LOAD_MAX
        };
        let is_past_min_uptime = |machine: &Machine| {
            machine.up_at.is_some_and(|up_at| now > up_at + boot_ms(catalog, &machine.type_name))
        };
        let mut candidates: Vec<DrainCandidate<'_>> = usable
            .iter()
            .map(|&LoadedMachine { machine, load }| {
                let services = service_count(&self.cluster, machine);
                DrainCandidate { machine, load, services }
            })
            .filter(|candidate| {
                is_underutilized(candidate) && is_past_min_uptime(candidate.machine)
            })
            .collect();
        candidates.sort_by(|left, right| {
            let by_price = left.machine.spot.cmp(&right.machine.spot);
            by_price
                .then(left.services.total_cmp(&right.services))
                .then(left.load.total_cmp(&right.load))
        });
        candidates
    }

    /// Running service tasks on draining machines that fit on another machine.
    fn services_to_move(&self) -> Vec<(MachineName, TaskId)> {
        let cluster = &self.cluster;
        let mut draining: Vec<(f64, &Machine)> = cluster
            .machines
            .values()
            .filter(|machine| machine.draining && machine.state == MachineState::Up)
            .map(|machine| (service_count(cluster, machine), machine))
            .filter(|(services, _)| *services > 0.0)
            .collect();
        draining.sort_by(|(services, _), (others, _)| services.total_cmp(others));
        let max_moves = ((cluster.machines.len() as f64 * SERVICE_MOVE_SHARE) as usize).max(1);
        let mut targets = MoveTargets::new(cluster);
        let mut chosen = Vec::new();
        let tasks = draining.iter().flat_map(|(_, machine)| {
            machine.placements.iter().map(move |(id, placement)| (machine, id, placement))
        });
        for (machine, id, placement) in tasks {
            if chosen.len() >= max_moves {
                break;
            }
            if targets.try_reserve(cluster, machine, id, placement) {
                chosen.push((machine.name.clone(), id.clone()));
            }
        }
        chosen
    }
}

/// Machines to which services may move, with their free resources.
struct MoveTargets<'a> {
    machines: Vec<(&'a Machine, Resources)>,
}

impl<'a> MoveTargets<'a> {
    fn new(cluster: &'a ClusterState) -> MoveTargets<'a> {
        let machines = cluster.machines.values().filter(|machine| machine.is_usable());
        MoveTargets { machines: machines.map(|machine| (machine, cluster.free(machine))).collect() }
    }

    /// Reserves resources for a running service task on a machine of the same type and zone that holds
    /// its image. Returns false if there is none or the task is already stopping or settled.
    fn try_reserve(
        &mut self,
        cluster: &ClusterState,
        from: &Machine,
        id: &TaskId,
        placement: &Placement,
    ) -> bool {
        let Some(job) = cluster.jobs.get(&id.job) else { return false };
        let Some(spec) = job.spec.as_ref().filter(|spec| spec.kind == JobKind::Service) else {
            return false;
        };
        let runs = placement.running_since.is_some();
        if placement.settled.is_some() || placement.stop_reason.is_some() || !runs {
            return false;
        }
        let target = self.machines.iter_mut().find(|(target, free)| {
            target.zone == from.zone
                && (!target.spot || spec.spot_allowed)
                && target.type_name == from.type_name
                && target.images.iter().any(|(image, _)| *image == spec.image)
                && free.fits(&job.need)
        });
        let Some((_, free)) = target else { return false };
        *free -= job.need;
        true
    }
}

/// The share of a machine that is in use: 0 if it is empty, 1 if it is full.
fn load(cluster: &ClusterState, machine: &Machine) -> f64 {
    let mut used = machine.total;
    used -= cluster.free(machine);
    used.share_of(&machine.total)
}

/// Number of unsettled service tasks on a machine.
fn service_count(cluster: &ClusterState, machine: &Machine) -> f64 {
    let placements = machine.placements.iter();
    let services = placements
        .filter(|(id, placement)| placement.settled.is_none() && cluster.is_service(&id.job));
    services.count() as f64
}

/// The share of services in a machine's load.
fn service_share(cluster: &ClusterState, machine: &Machine) -> f64 {
    let (mut service_load, mut whole_load) = (0.0, 0.0);
    for (id, placement) in &machine.placements {
        let (None, Some(job)) = (placement.settled, cluster.jobs.get(&id.job)) else { continue };
        let share = job.need.share_of(&machine.total);
        whole_load += share;
        if cluster.is_service(&id.job) {
            service_load += share;
        }
    }
    if whole_load > 0.0 {
        service_load / whole_load
    } else {
        0.0
    }
}
