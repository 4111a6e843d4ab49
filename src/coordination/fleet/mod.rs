//! The fleet: the machines that are rented from the cloud, and autoscaling.
//!
//! - [`catalog`]: the machine types that can be rented.
//! - [`inventory`]: reconciles the state with the cloud's list of machines.
//! - [`unplaced`]: tasks that the last planning pass found no capacity for.
//! - [`forecast`]: expected demand, from recent arrivals.
//! - [`scale_out`]: rents machines.
//! - [`scale_in`]: returns machines.
//! - [`defragmentation`]: drains underutilized machines.
//! - [`health`]: ends cordons and probations.
//!
//! This module places no tasks: the planner does, on the machines provided here.

mod catalog;
mod defragmentation;
mod forecast;
mod health;
mod inventory;
mod scale_in;
mod scale_out;
mod unplaced;

use super::rental::Rental;
use super::{Controller, Leader};
use crate::constants::MS_PER_S;
use crate::protocol::cloud::{Catalog, ListedMachine};
use crate::storage::hashing::{HashKeys, HashMap, HashSet};
use crate::storage::machine::Machine;
use crate::storage::records::MachineName;
use forecast::{BatchArrival, ServiceArrival};
use std::collections::VecDeque;
use unplaced::UnplacedTasks;

/// Boot time in seconds that is assumed for a machine type missing from the catalog.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// What the cloud may run out of: a machine type in a zone, spot or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MachineKind {
    type_name: String,
    zone: String,
    spot: bool,
}

/// The leader's state for autoscaling. Times are milliseconds of the monotonic clock.
#[derive(Debug)]
pub(super) struct Fleet {
    /// When the machine list is requested next.
    next_list_at: u64,
    list_in_progress: bool,
    /// When the list in progress, or else the last one, was requested; pages of an earlier list are
    /// ignored.
    list_started_at: u64,
    /// Machines on the pages received so far of the list in progress.
    listed_machines: Vec<ListedMachine>,
    /// Whether this term has received a complete list.
    has_complete_list: bool,
    /// When the last complete list was requested.
    complete_list_started_at: Option<u64>,
    /// When the size of the fleet is evaluated next.
    next_scan_at: u64,
    /// Rentals that the cloud has not answered yet.
    pending_rentals: Vec<Rental>,
    /// What the cloud had no capacity for, and until when nothing of it is rented.
    no_capacity_until: HashMap<MachineKind, u64>,
    /// Machines that are proved gone; the cloud never reuses their names.
    terminated_machines: HashSet<MachineName>,
    /// Tasks that the last planning pass found no capacity for.
    unplaced: Vec<UnplacedTasks>,
    /// Recent arrivals of services.
    service_arrivals: VecDeque<ServiceArrival>,
    /// Recent arrivals of batch work.
    batch_arrivals: VecDeque<BatchArrival>,
    /// Arrival number of the last job that the recent arrivals include.
    last_seen_arrival: u64,
    /// Since when there has been excess capacity.
    excess_capacity_since: Option<u64>,
    /// When services may be moved next.
    next_move_at: u64,
    /// When machines may be rented next; delayed after a failed request.
    next_rental_at: u64,
}

impl Fleet {
    pub(super) fn new(now: u64, keys: HashKeys) -> Fleet {
        Fleet {
            next_list_at: now,
            list_in_progress: false,
            list_started_at: 0,
            listed_machines: Vec::new(),
            has_complete_list: false,
            complete_list_started_at: None,
            next_scan_at: now,
            pending_rentals: Vec::new(),
            no_capacity_until: keys.map(),
            terminated_machines: keys.set(),
            unplaced: Vec::new(),
            service_arrivals: VecDeque::new(),
            batch_arrivals: VecDeque::new(),
            last_seen_arrival: 0,
            excess_capacity_since: None,
            next_move_at: 0,
            next_rental_at: now,
        }
    }

    /// Whether a machine is proved gone.
    pub(super) fn is_terminated(&self, name: &str) -> bool {
        self.terminated_machines.contains(name)
    }

    /// When the last complete machine list was requested.
    pub(super) fn complete_list_started_at(&self) -> Option<u64> {
        self.complete_list_started_at
    }
}

impl Controller {
    /// Requests the machine list and evaluates the size of the fleet, each when it is due.
    pub(super) fn run_fleet_if_due(&mut self) {
        self.request_machine_list_if_due();
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if now >= leader.fleet.next_scan_at {
            leader.fleet.next_scan_at = now + leader.fleet_scan_period_ms();
            self.metrics.work.fleet_scans += 1;
            self.scan_fleet();
        }
    }

    fn scan_fleet(&mut self) {
        if let (Some(leader), Some(catalog)) = (self.leader.as_mut(), self.cloud.catalog()) {
            leader.record_arrivals(self.now, catalog);
        }
        self.remove_terminated_machines();
        self.end_cordons();
        self.defragment();
        self.move_services();
        // Without the state service this controller may have lost the leadership: it must not
        // delete machines.
        if self.store_is_usable() && !self.starts_are_blocked() {
            self.return_machines();
            self.rent_machines();
        }
    }
}

/// Typical boot time in milliseconds of a machine type.
fn boot_ms(catalog: &Catalog, type_name: &str) -> u64 {
    let boot_s = catalog
        .machine_type(type_name)
        .map_or(UNKNOWN_TYPE_BOOT_S, |machine_type| machine_type.boot_s);
    (boot_s * MS_PER_S) as u64
}

impl Leader {
    /// Usable machines that are not spot machines.
    fn usable_on_demand_machines(&self) -> impl Iterator<Item = &Machine> {
        self.cluster.machines.values().filter(|machine| machine.is_usable() && !machine.spot)
    }
}
