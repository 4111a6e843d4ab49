//! Decides which kinds of machines to rent: the cheapest that a task can use, and among these the zone
//! with the fewest machines.

use super::{CatalogKind, MachineKind, UnplacedTasks, WantedMachines};
use crate::constants::SLOT_EPSILON;
use crate::coordination::Leader;
use crate::protocol::cloud::Catalog;
use crate::protocol::Resources;
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::machine::MachineState;

/// Prices per task that differ by less count as equal.
const PRICE_EPSILON: f64 = 1e-9;

/// A machine that boots, is being rented or is to be rented.
#[derive(Debug, Clone)]
pub(super) struct IncomingMachine {
    kind: CatalogKind,
    /// Resources not yet assigned to tasks.
    free: Resources,
}

impl IncomingMachine {
    pub(super) fn new(kind: CatalogKind, catalog: &Catalog) -> IncomingMachine {
        let free = catalog.machine_types[kind.type_index].total();
        IncomingMachine { kind, free }
    }
}

/// The machines to rent, built up demand by demand.
pub(super) struct RentalPlan<'a> {
    catalog: &'a Catalog,
    no_capacity_until: &'a HashMap<MachineKind, u64>,
    rent_spot: bool,
    now: u64,
    keys: HashKeys,
    /// Present machines by zone and whether they are spot machines.
    machine_counts: HashMap<(&'a str, bool), usize>,
    incoming: Vec<IncomingMachine>,
    /// Machines to rent, by kind.
    wanted: HashMap<CatalogKind, usize>,
}

/// The search for capacity for the tasks of one job.
struct Search<'a> {
    tasks: &'a UnplacedTasks,
    /// Slots for which there is no capacity yet.
    slots_left: f64,
    tasks_per_zone: HashMap<String, u32>,
    /// For a gang that must be in one zone: the zone of its first slot.
    only_zone: Option<String>,
}

impl Search<'_> {
    /// Whether one more of the tasks may be placed in a zone.
    fn allows_zone(&self, zone: &str) -> bool {
        let placed = self.tasks_per_zone.get(zone).copied().unwrap_or(0);
        self.tasks.zone.as_ref().is_none_or(|required| required == zone)
            && self.only_zone.as_ref().is_none_or(|only| only == zone)
            && placed < self.tasks.max_tasks_per_zone
    }

    /// Whether one of the tasks can use an incoming machine and fits on it.
    fn fits_on(&self, machine: &IncomingMachine) -> bool {
        (self.tasks.spot_allowed || !machine.kind.spot)
            && self.tasks.allowed_types[machine.kind.type_index]
            && self.allows_zone(&machine.kind.zone)
            && machine.free.fits(&self.tasks.need)
    }

    /// Restricts a gang that must be in one zone to the given one.
    fn restrict_to_zone(&mut self, zone: &str) {
        if self.tasks.one_zone {
            self.only_zone = Some(zone.to_string());
        }
    }
}

/// A kind of machine that could be rented, with the figures for its comparison.
struct Candidate {
    kind: CatalogKind,
    price_per_task: f64,
    /// Present machines of the zone and market (spot or not), and machines to rent of the kind.
    similar_machines: usize,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        self.price_per_task < other.price_per_task - PRICE_EPSILON
            || (self.price_per_task < other.price_per_task + PRICE_EPSILON
                && self.similar_machines < other.similar_machines)
    }
}

impl<'a> RentalPlan<'a> {
    pub(super) fn new(
        leader: &'a Leader,
        catalog: &'a Catalog,
        rent_spot: bool,
        now: u64,
    ) -> RentalPlan<'a> {
        let keys = leader.cluster.hash_keys();
        let mut machine_counts: HashMap<(&str, bool), usize> = keys.map();
        let machines = leader.cluster.machines.values();
        for machine in machines.filter(|machine| machine.state != MachineState::Terminated) {
            *machine_counts.entry((machine.zone.as_str(), machine.spot)).or_default() += 1;
        }
        RentalPlan {
            catalog,
            no_capacity_until: &leader.fleet.no_capacity_until,
            rent_spot,
            now,
            keys,
            machine_counts,
            incoming: leader.incoming_machines(now, catalog),
            wanted: keys.map(),
        }
    }

    /// Assigns tasks to incoming machines and adds machines to rent for the rest.
    pub(super) fn add_demand(&mut self, tasks: &UnplacedTasks) {
        let mut tasks_per_zone: HashMap<String, u32> = self.keys.map();
        tasks_per_zone.extend(tasks.tasks_per_zone.iter().cloned());
        let slots_left = tasks.slots;
        let mut search = Search { tasks, slots_left, tasks_per_zone, only_zone: None };
        // Incoming machines before this index can't take another of these tasks.
        let mut search_from = 0;
        while search.slots_left > SLOT_EPSILON {
            let found =
                self.incoming[search_from..].iter().position(|machine| search.fits_on(machine));
            search_from = found.map_or(self.incoming.len(), |offset| search_from + offset);
            if let Some(machine) = self.incoming.get_mut(search_from) {
                machine.free -= tasks.need;
                search.restrict_to_zone(&machine.kind.zone);
                *search.tasks_per_zone.entry(machine.kind.zone.clone()).or_default() += 1;
                search.slots_left -= 1.0;
                continue;
            }
            let Some(kind) = self.cheapest_kind(&search) else { break };
            *self.wanted.entry(kind.clone()).or_default() += 1;
            search.restrict_to_zone(&kind.zone);
            if tasks.one_zone {
                search_from = 0;
            }
            self.incoming.push(IncomingMachine::new(kind, self.catalog));
        }
    }

    /// The kind of machine with the lowest price per task; for equal prices, the one with the fewest
    /// machines in its zone.
    fn cheapest_kind(&self, search: &Search<'_>) -> Option<CatalogKind> {
        let tasks = search.tasks;
        let mut best: Option<Candidate> = None;
        for (type_index, machine_type) in self.catalog.machine_types.iter().enumerate() {
            if !tasks.allowed_types[type_index] || !machine_type.total().fits(&tasks.need) {
                continue;
            }
            for zone in machine_type.zones.iter().filter(|zone| search.allows_zone(zone)) {
                for spot in [true, false] {
                    let kind = CatalogKind { type_index, zone: zone.clone(), spot };
                    if !self.may_rent(&kind, search) {
                        continue;
                    }
                    let candidate = self.candidate(kind, tasks);
                    if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
                        best = Some(candidate);
                    }
                }
            }
        }
        best.map(|candidate| candidate.kind)
    }

    /// Whether a machine of this kind may be rented for the next slot.
    fn may_rent(&self, kind: &CatalogKind, search: &Search<'_>) -> bool {
        let tasks = search.tasks;
        let market_is_allowed = match kind.spot {
            true => tasks.spot_allowed && self.rent_spot,
            // For tasks that may use spot machines, on-demand ones are rented only for `on_demand_slots`.
            false => !tasks.spot_allowed || search.slots_left > tasks.slots - tasks.on_demand_slots,
        };
        if !market_is_allowed {
            return false;
        }
        let type_name = self.catalog.machine_types[kind.type_index].type_name.clone();
        let kind = MachineKind { type_name, zone: kind.zone.clone(), spot: kind.spot };
        self.no_capacity_until.get(&kind).is_none_or(|until| self.now >= *until)
    }

    fn candidate(&self, kind: CatalogKind, tasks: &UnplacedTasks) -> Candidate {
        let machine_type = &self.catalog.machine_types[kind.type_index];
        let tasks_per_machine = machine_type.total().fit_count(&tasks.need).max(1) as f64;
        let price = if kind.spot { machine_type.spot_price } else { machine_type.rate };
        let zone_key = (kind.zone.as_str(), kind.spot);
        let similar_machines = self.machine_counts.get(&zone_key).copied().unwrap_or(0)
            + self.wanted.get(&kind).copied().unwrap_or(0);
        Candidate { price_per_task: price / tasks_per_machine, similar_machines, kind }
    }

    /// The machines to rent, in the order of the catalog, then by zone.
    pub(super) fn into_wanted(self) -> Vec<WantedMachines> {
        let mut wanted: Vec<(CatalogKind, usize)> = self.wanted.into_iter().collect();
        wanted.sort();
        wanted.into_iter().map(|(kind, count)| WantedMachines { kind, count }).collect()
    }
}
