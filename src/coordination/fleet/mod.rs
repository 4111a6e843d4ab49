//! The fleet: which machines there are, and when it scales out and in.
//!
//! - [`catalog`]: the machine types that can be rented.
//! - [`inventory`]: the cloud's list of machines, compared with the state.
//! - [`unplaced`]: tasks that found no room in the last planning pass.
//! - [`forecast`]: room that work to come will need.
//! - [`scale_out`]: renting machines.
//! - [`scale_in`]: returning machines.
//! - [`defragmentation`]: emptying thinly used machines.
//!
//! Nothing here places a task; it only changes which machines there are for the planner.

mod catalog;
mod defragmentation;
mod forecast;
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

/// Seconds that a machine of an unknown type is taken to boot.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// A kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MachineKind {
    type_name: String,
    zone: String,
    spot: bool,
}

/// The leader's view of the fleet. Times are on the steady clock, in milliseconds.
#[derive(Debug)]
pub(super) struct Fleet {
    /// When the cloud's list is asked for next.
    next_list_at: u64,
    list_in_progress: bool,
    /// When the list in progress was asked for: answers to an earlier one are ignored.
    list_started_at: u64,
    /// Machines on the pages of the list that have come in.
    listed_machines: Vec<ListedMachine>,
    has_complete_list: bool,
    /// When the last complete list was asked for.
    complete_list_started_at: Option<u64>,
    /// When the size of the fleet is looked at next.
    next_scan_at: u64,
    /// Rentals that the cloud has not answered yet.
    pending_rentals: Vec<Rental>,
    /// Kinds of machines that the cloud had none of, and until when it is not asked for them.
    no_capacity: HashMap<MachineKind, u64>,
    /// Machines that have surely ceased to be: their names are never used again.
    terminated_machines: HashSet<MachineName>,
    unplaced: Vec<UnplacedTasks>,
    service_arrivals: VecDeque<ServiceArrival>,
    batch_arrivals: VecDeque<BatchArrival>,
    /// Arrival number of the last job that was counted among the arrivals.
    last_seen_arrival: u64,
    /// Since when there has been more room than is wanted.
    excess_since: Option<u64>,
    /// When the next service may be moved.
    next_move_at: u64,
    /// When machines may be rented again after a failed request.
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
            no_capacity: keys.map(),
            terminated_machines: keys.set(),
            unplaced: Vec::new(),
            service_arrivals: VecDeque::new(),
            batch_arrivals: VecDeque::new(),
            last_seen_arrival: 0,
            excess_since: None,
            next_move_at: 0,
            next_rental_at: now,
        }
    }

    /// Whether a machine has surely ceased to be.
    pub(super) fn is_terminated(&self, name: &str) -> bool {
        self.terminated_machines.contains(name)
    }

    /// When the last complete list of machines was asked for.
    pub(super) fn complete_list_started_at(&self) -> Option<u64> {
        self.complete_list_started_at
    }
}

impl Controller {
    /// Asks for the cloud's list and looks at the size of the fleet, each when it is due.
    pub(super) fn fleet_due(&mut self) {
        self.start_list();
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
            leader.note_arrivals(self.now, catalog);
        }
        self.forget_terminated();
        self.consolidate();
        self.move_services();
        // One that the state service does not serve may not lead any more: it must not
        // take machines away.
        if self.store_is_usable() && !self.starts_are_blocked() {
            self.return_machines();
            self.rent_machines();
        }
    }
}

/// Milliseconds that a machine of a type boots, as a rule.
fn boot_ms(catalog: &Catalog, type_name: &str) -> u64 {
    let boot_s = catalog
        .machine_type(type_name)
        .map_or(UNKNOWN_TYPE_BOOT_S, |machine_type| machine_type.boot_s);
    (boot_s * MS_PER_S) as u64
}

impl Leader {
    /// Ordinary machines that count as room for work.
    fn usable_ordinary_machines(&self) -> impl Iterator<Item = &Machine> {
        self.cluster.machines.values().filter(|machine| machine.is_usable() && !machine.spot)
    }
}
