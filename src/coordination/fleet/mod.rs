//! The machines: what is there, what to rent, what to return.

mod defragmentation;
mod inventory;
mod scale_in;
mod scale_out;

use super::planner::Plan;
use super::planner_input::PlannerInput;
use super::*;
use crate::constants::{
    CLOUD_CALL_MS, DRAIN_TARGET_S, LIST_LIMIT, LIST_PERIOD_MS, MS_PER_S, RENT_PATIENCE_BOOTS,
};
use crate::protocol::cloud::{
    machine_list_path, Catalog, ListedMachine, ListedMachineStatus, MachineList, MachineNames,
    MachineType, RentalRequest,
};
use crate::protocol::users::JobKind;
use crate::protocol::workers::EndCause;
use crate::protocol::Resources;
use crate::storage::cluster::ClusterState;
use crate::storage::hashing::{HashKeys, HashMap, HashSet};
use crate::storage::machine::{Machine, MachineState, Placement, TaskId};
use crate::storage::records::MachineName;
use std::collections::VecDeque;

/// A rental under way. Its name is never used for another one.
#[derive(Debug, Clone)]
pub(crate) struct Rental {
    request_id: String,
    machine_type: usize,
    zone: String,
    spot: bool,
    number: usize,
}

/// A kind of machine that can be rented.
type Kind = (String, String, bool);

/// Tasks that found no room in the last pass.
#[derive(Debug, Clone)]
struct UnplacedTasks {
    need: Resources,
    spot_allowed: bool,
    is_service: bool,
    allowed_types: Vec<bool>,
    zone: Option<String>,
    /// Tasks, and slots that are wanted for them.
    slots: f64,
    /// Of these, the slots worth an ordinary machine.
    ordinary_slots: f64,
    tasks_per_zone: Vec<(String, u32)>,
    max_tasks_per_zone: u32,
    /// A gang whose tasks have to be in one zone: what is rented for it is too.
    whole_in_one_zone: bool,
}

/// The leader's view of the fleet.
#[derive(Debug)]
pub(super) struct Fleet {
    next_list_at: u64,
    list_in_progress: bool,
    list_started_at: u64,
    listed_hosts: Vec<ListedMachine>,
    has_complete_list: bool,
    /// When the last complete list was asked for.
    complete_list_started_at: Option<u64>,
    next_scan_at: u64,
    pending_rentals: Vec<Rental>,
    no_capacity: HashMap<Kind, u64>,
    terminated_machines: HashSet<MachineName>,
    unplaced: Vec<UnplacedTasks>,
    /// Arrivals of service tasks: when, how many.
    service_arrivals: VecDeque<(u64, u32)>,
    /// Arrivals of batch work: when, milliseconds times the share of a machine it takes.
    batch_arrivals: VecDeque<(u64, f64)>,
    last_seen_arrival: u64,
    /// Since when there has been more room than is wanted.
    excess_since: Option<u64>,
    /// When the next service may be moved.
    next_move_at: u64,
    next_rental_at: u64,
}

impl Fleet {
    pub(super) fn new(now: u64, keys: HashKeys) -> Fleet {
        Fleet {
            next_list_at: now,
            list_in_progress: false,
            list_started_at: 0,
            listed_hosts: Vec::new(),
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

    pub(super) fn is_gone(&self, name: &str) -> bool {
        self.terminated_machines.contains(name)
    }

    /// When the last complete list of machines was asked for.
    pub(super) fn listed_begun(&self) -> Option<u64> {
        self.complete_list_started_at
    }

    /// A pass found nothing waiting.
    pub(super) fn none_unplaced(&mut self) {
        self.unplaced.clear();
    }

    /// Remembers what a pass found no room for.
    pub(super) fn note_unplaced(&mut self, view: &PlannerInput, plan: &Plan, catalog: &Catalog) {
        let boot_ms = catalog.longest_boot_s() * MS_PER_S;
        let s = &view.snapshot;
        self.unplaced.clear();
        let patience = boot_ms * RENT_PATIENCE_BOOTS;
        let dearer = catalog
            .machine_types
            .iter()
            .filter(|b| b.spot_price > 0.0)
            .map(|b| b.rate / b.spot_price)
            .fold(1.0, f64::max);
        for (j, n) in plan.unplaced.iter().enumerate() {
            let job = &s.jobs[j];
            // What will soon find a place on what we have needs no new machine.
            let within = |p: f64| {
                plan.expected_wait_ms[j].iter().filter(|ms| **ms as f64 <= p).count() as u32
            };
            // Work that may use spot machines waits the longer for ordinary ones, the more
            // those cost beyond them.
            let dear = n.saturating_sub(within(patience * dearer));
            let n = &n.saturating_sub(within(patience));
            if *n == 0 {
                continue;
            }
            // Within the team's limit.
            let team = &s.teams[job.team];
            let mut left = i64::from(*n);
            if team.limit.gpu > 0 && job.need.gpu > 0 {
                left = left.min((team.limit.gpu - team.used.gpu) / job.need.gpu);
            }
            if team.limit.cpu > 0 && job.need.cpu > 0 {
                left = left.min((team.limit.cpu - team.used.cpu) / job.need.cpu);
            }
            if left <= 0 || job.is_gang && left < i64::from(*n) {
                continue;
            }
            // A slot serves short tasks one after the other.
            let run_s = job.run_ms as f64 / MS_PER_S;
            let one_by_one = !job.is_service && !job.is_gang;
            let per_task = if one_by_one { (run_s / DRAIN_TARGET_S).min(1.0) } else { 1.0 };
            self.unplaced.push(UnplacedTasks {
                need: job.need,
                spot_allowed: job.spot_allowed,
                is_service: job.is_service,
                allowed_types: job.allowed_types.clone(),
                zone: job.zone.map(|z| view.zones[z].clone()),
                slots: left as f64 * per_task,
                ordinary_slots: left.min(i64::from(dear)) as f64 * per_task,
                tasks_per_zone: view
                    .zones
                    .iter()
                    .cloned()
                    .zip(job.tasks_per_zone.iter().copied())
                    .collect(),
                max_tasks_per_zone: job.max_tasks_per_zone,
                whole_in_one_zone: job.is_gang && job.one_zone,
            });
        }
    }
}

impl Controller {
    pub(super) fn fleet_due(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.fleet.list_in_progress
            && now >= leader.fleet.next_list_at
            && self.cloud.take_request(0.0, now)
        {
            leader.fleet.list_in_progress = true;
            leader.fleet.list_started_at = now;
            leader.fleet.listed_hosts.clear();
            leader.fleet.next_list_at = now + LIST_PERIOD_MS;
            let purpose = CallPurpose::Hosts { begun: now };
            let path = machine_list_path(None, LIST_LIMIT);
            self.call(Service::Cloud, "GET", path, vec![], CLOUD_CALL_MS, purpose);
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if now >= leader.fleet.next_scan_at {
            leader.fleet.next_scan_at = now + leader.fleet_period();
            self.metrics.work.fleet_scans += 1;
            if let Some(catalog) = self.cloud.catalog() {
                leader.note_arrivals(self.now, catalog);
            }
            self.forget_gone();
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
}

/// Tasks of services on a machine.
fn services(cluster: &ClusterState, m: &Machine) -> f64 {
    let on = |(id, p): &(&TaskId, &Placement)| p.settled.is_none() && cluster.is_service(&id.job);
    m.placements.iter().filter(on).count() as f64
}

/// The part of a machine's load that services make up.
fn service_share(cluster: &ClusterState, m: &Machine) -> f64 {
    let (mut service, mut all) = (0.0, 0.0);
    for (id, p) in &m.placements {
        if let (None, Some(j)) = (p.settled, cluster.jobs.get(&id.job)) {
            let share = j.need.share_of(&m.total);
            all += share;
            if cluster.is_service(&id.job) {
                service += share;
            }
        }
    }
    if all > 0.0 {
        service / all
    } else {
        0.0
    }
}

fn usable(m: &Machine) -> bool {
    m.state == MachineState::Up
        && !m.cordoned
        && !m.draining
        && !m.lease_expired
        && m.unreachable_since.is_none()
        && m.reclaim_at.is_none()
}

fn total(b: &MachineType) -> Resources {
    Resources::new(b.cores, b.gpus, b.ram_gb)
}

fn boot_ms(catalog: &Catalog, type_name: &str) -> u64 {
    let s = catalog.machine_type(type_name).map_or(60.0, |t| t.boot_s);
    (s * MS_PER_S) as u64
}
