//! Defragmentation: thinly used machines are emptied so that they can be returned, and services
//! move off them.

use super::boot_ms;
use super::forecast::ServiceHeadroom;
use crate::constants::{
    ARRIVAL_WINDOW_MS, CLOSE_SHARE, EXCESS_ROOM_MS, HEADROOM_MACHINES, LOW_LOAD_SHARE, MOVE_GAP_MS,
    MOVE_SHARE, UNPLACED_SHARE,
};
use crate::coordination::{Controller, Leader};
use crate::protocol::cloud::Catalog;
use crate::protocol::users::JobKind;
use crate::protocol::Resources;
use crate::storage::cluster::ClusterState;
use crate::storage::machine::{Machine, MachineState, Placement, StopReason, TaskId};
use crate::storage::records::MachineName;

/// A machine and the share of it that is in use.
struct LoadedMachine<'a> {
    machine: &'a Machine,
    load: f64,
}

/// Room of the machines that are open, in machines.
struct FleetRoom {
    free: f64,
    /// What has to stay free.
    headroom: f64,
}

/// A machine that could be emptied.
struct DrainCandidate<'a> {
    machine: &'a Machine,
    load: f64,
    /// Tasks of services, which would have to move.
    services: f64,
}

impl Controller {
    /// Drains the dearest thinly used machines when the others have room for their work and
    /// for work to come; opens such machines again when that is no longer so. How many at a
    /// time grows with the fleet.
    pub(super) fn consolidate(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_mut() else { return };
        let open = leader.open_machines();
        let most = ((open.len() as f64 * CLOSE_SHARE) as usize).max(1);
        let room = leader.fleet_room(&open, self.operator.headroom_share, now);
        if leader.is_short_of_room(&open, &room, now) {
            leader.reopen_machines(most, now);
            return;
        }
        let chosen = leader.machines_to_drain(&open, room, most, &catalog, now);
        if chosen.is_empty() {
            leader.fleet.excess_since = None;
            return;
        }
        let excess_since = *leader.fleet.excess_since.get_or_insert(now);
        if now < excess_since + EXCESS_ROOM_MS {
            return;
        }
        leader.fleet.excess_since = None;
        log::debug!("closes {}, the others have room for their work", chosen.join(", "));
        for name in chosen {
            if let Some(machine) = leader.cluster.machines.get_mut(&name) {
                machine.draining = true;
            }
        }
    }

    /// Moves services off machines that are being emptied to where their image is, a few at a
    /// time, those first that leave their machine soonest empty.
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
        leader.fleet.next_move_at = now + MOVE_GAP_MS;
        for (name, id) in chosen {
            let machine = leader.cluster.machines.get_mut(&name);
            let Some(placement) = machine.and_then(|machine| machine.placements.get_mut(&id))
            else {
                continue;
            };
            log::debug!("{id}: moves off {name}");
            placement.stop_reason = Some(StopReason::Eviction);
        }
    }
}

impl Leader {
    /// Machines that count as room for work, with their load.
    fn open_machines(&self) -> Vec<LoadedMachine<'_>> {
        let machines = self.cluster.machines.values().filter(|machine| machine.is_usable());
        machines
            .map(|machine| LoadedMachine { machine, load: load(&self.cluster, machine) })
            .collect()
    }

    fn fleet_room(&self, open: &[LoadedMachine<'_>], headroom_share: f64, now: u64) -> FleetRoom {
        let free: f64 = open.iter().map(|loaded| 1.0 - loaded.load).sum();
        let busy: f64 = open.iter().map(|loaded| loaded.load).sum();
        let batch_now: f64 = open
            .iter()
            .map(|loaded| loaded.load * (1.0 - service_share(&self.cluster, loaded.machine)))
            .sum();
        // What comes at the usual rate may be more than what runs at this moment.
        let lull = (self.batch_machines(now) - batch_now).max(0.0);
        FleetRoom { free, headroom: (busy + lull) * headroom_share + lull + HEADROOM_MACHINES }
    }

    /// Whether all machines are needed, or too little is known yet to tell.
    fn is_short_of_room(&self, open: &[LoadedMachine<'_>], room: &FleetRoom, now: u64) -> bool {
        // A few tasks that find no place for reasons of their own (a zone, a kind of machine) must
        // not keep hundreds of machines open.
        let whole = open.first().map_or(Resources::default(), |loaded| loaded.machine.total);
        let unplaced = self.fleet.unplaced.iter();
        let unplaced: f64 = unplaced.map(|tasks| tasks.slots * tasks.need.share_of(&whole)).sum();
        let many_unplaced = unplaced > open.len() as f64 * UNPLACED_SHARE;
        let is_early = now < self.term_began_at + ARRIVAL_WINDOW_MS / 2;
        many_unplaced || room.free < room.headroom || is_early
    }

    /// Opens machines again that are being emptied, the fullest first: they have the most work that
    /// need not move.
    fn reopen_machines(&mut self, most: usize, now: u64) {
        self.fleet.excess_since = None;
        let cluster = &self.cluster;
        let mut drained: Vec<(f64, MachineName)> = cluster
            .machines
            .values()
            .filter(|machine| {
                machine.draining && machine.state == MachineState::Up && !machine.cordoned
            })
            .map(|machine| (load(cluster, machine), machine.name.clone()))
            .collect();
        drained.sort_by(|(load, _), (other_load, _)| other_load.total_cmp(load));
        for (_, name) in drained.into_iter().take(most) {
            if let Some(machine) = self.cluster.machines.get_mut(&name) {
                log::debug!("{name}: opened again");
                machine.draining = false;
                self.plan_soon(now);
            }
        }
    }

    /// Machines to empty: as many as leave the headroom and the room for services to come.
    fn machines_to_drain(
        &self,
        open: &[LoadedMachine<'_>],
        mut room: FleetRoom,
        most: usize,
        catalog: &Catalog,
        now: u64,
    ) -> Vec<MachineName> {
        let headroom = self.service_headroom(now, catalog);
        let service_slots = |machine: &Machine| match &headroom {
            Some(headroom) if !machine.spot => {
                self.cluster.room_for_services(machine).times(&headroom.need) as f64
            }
            _ => 0.0,
        };
        let wanted_slots =
            headroom.as_ref().map_or(0.0, |headroom: &ServiceHeadroom| headroom.slots);
        let mut free_slots: f64 = open.iter().map(|loaded| service_slots(loaded.machine)).sum();
        let mut chosen = Vec::new();
        for candidate in self.drain_candidates(open, catalog, now) {
            if chosen.len() >= most || room.free - 1.0 < room.headroom {
                break;
            }
            // Its room is gone, and what it holds takes room elsewhere.
            let slots_left = free_slots - service_slots(candidate.machine) - candidate.services;
            if candidate.machine.spot || headroom.is_none() || slots_left >= wanted_slots {
                free_slots = slots_left;
                room.free -= 1.0;
                chosen.push(candidate.machine.name.clone());
            }
        }
        chosen
    }

    /// Machines worth emptying: the dearest kind first, then those with the least to move, then the
    /// emptiest.
    fn drain_candidates<'a>(
        &self,
        open: &[LoadedMachine<'a>],
        catalog: &Catalog,
        now: u64,
    ) -> Vec<DrainCandidate<'a>> {
        let is_thinly_used = |candidate: &DrainCandidate<'_>| {
            candidate.services == 0.0 || candidate.load <= LOW_LOAD_SHARE
        };
        let is_past_boot = |machine: &Machine| {
            machine.up_at.is_some_and(|up_at| now > up_at + boot_ms(catalog, &machine.type_name))
        };
        let mut candidates: Vec<DrainCandidate<'_>> = open
            .iter()
            .map(|&LoadedMachine { machine, load }| {
                let services = service_count(&self.cluster, machine);
                DrainCandidate { machine, load, services }
            })
            .filter(|candidate| is_thinly_used(candidate) && is_past_boot(candidate.machine))
            .collect();
        candidates.sort_by(|left, right| {
            let by_price = left.machine.spot.cmp(&right.machine.spot);
            by_price
                .then(left.services.total_cmp(&right.services))
                .then(left.load.total_cmp(&right.load))
        });
        candidates
    }

    /// Running services on machines that are being emptied for which another machine has room.
    fn services_to_move(&self) -> Vec<(MachineName, TaskId)> {
        let cluster = &self.cluster;
        let mut drained: Vec<(f64, &Machine)> = cluster
            .machines
            .values()
            .filter(|machine| machine.draining && machine.state == MachineState::Up)
            .map(|machine| (service_count(cluster, machine), machine))
            .filter(|(services, _)| *services > 0.0)
            .collect();
        drained.sort_by(|(services, _), (others, _)| services.total_cmp(others));
        let most = ((cluster.machines.len() as f64 * MOVE_SHARE) as usize).max(1);
        let mut targets = MoveTargets::new(cluster);
        let mut chosen = Vec::new();
        let tasks = drained.iter().flat_map(|(_, machine)| {
            machine.placements.iter().map(move |(id, placement)| (machine, id, placement))
        });
        for (machine, id, placement) in tasks {
            if chosen.len() >= most {
                break;
            }
            if targets.try_take_room(cluster, machine, id, placement) {
                chosen.push((machine.name.clone(), id.clone()));
            }
        }
        chosen
    }
}

/// Machines to which services may move, with what is free on them.
struct MoveTargets<'a> {
    machines: Vec<(&'a Machine, Resources)>,
}

impl<'a> MoveTargets<'a> {
    fn new(cluster: &'a ClusterState) -> MoveTargets<'a> {
        let machines = cluster.machines.values().filter(|machine| machine.is_usable());
        MoveTargets { machines: machines.map(|machine| (machine, cluster.free(machine))).collect() }
    }

    /// Takes room for a running service on a machine like its own that holds its image. Returns
    /// whether there is one.
    fn try_take_room(
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

/// The share of a machine that is in use.
fn load(cluster: &ClusterState, machine: &Machine) -> f64 {
    let mut used = machine.total;
    used -= cluster.free(machine);
    used.share_of(&machine.total)
}

/// Tasks of services on a machine.
fn service_count(cluster: &ClusterState, machine: &Machine) -> f64 {
    let placements = machine.placements.iter();
    let services = placements
        .filter(|(id, placement)| placement.settled.is_none() && cluster.is_service(&id.job));
    services.count() as f64
}

/// The part of a machine's load that services make up.
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
