//! Machines for the planner: the schedulable ones and the booting ones.

use super::placements::MachineTasks;
use super::InputBuilder;
use crate::constants::{
    BOOT_LATE_FACTOR, BOOT_OVERDUE_DIVISOR, HEARTBEAT_JITTER_SHARE, HEARTBEAT_TASK_BYTES,
    HTTP_REQUEST_BODY_BYTES_MAX, MEAN_BOOT_WAIT_MACHINES_MIN, MS_PER_S,
};
use crate::coordination::planner::{BootingMachine, MachineView, MeanBootWait};
use crate::protocol::cloud::MachineType;
use crate::storage::hashing::HashSet;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::MachineName;

/// Most tasks that a machine's heartbeat can name.
const TASKS_PER_HEARTBEAT: usize = HTTP_REQUEST_BODY_BYTES_MAX / HEARTBEAT_TASK_BYTES;

impl InputBuilder<'_> {
    /// Adds the booting machines: on-demand ones, then spot ones.
    pub(super) fn add_booting_machines(&mut self) {
        let on_demand = self.booting_machines(false);
        let spot = self.booting_machines(true);
        self.input.snapshot.mean_boot_wait = MeanBootWait {
            on_demand_ms: mean_boot_wait_ms(&on_demand),
            spot_ms: mean_boot_wait_ms(&spot),
        };
        self.input.snapshot.booting.extend(on_demand);
        self.input.snapshot.booting.extend(spot);
    }

    fn booting_machines(&self, spot: bool) -> Vec<BootingMachine> {
        let machines = self.cluster.machines.values();
        machines
            .filter(|machine| machine.state == MachineState::Booting && machine.spot == spot)
            .filter_map(|machine| {
                let type_index = self.indices.machine_type(&machine.type_name)?;
                booting_machine(machine, &self.catalog.machine_types[type_index], self.now_ms)
            })
            .collect()
    }

    /// Adds the schedulable machines.
    pub(super) fn add_schedulable_machines(&mut self) {
        let mut deferred_heartbeats: HashSet<&MachineName> = self.cluster.hash_keys().set();
        deferred_heartbeats
            .extend(self.leader.deferred_heartbeats.iter().map(|deferred| deferred.machine()));
        let cluster = self.cluster;
        for machine in cluster.machines.values() {
            let zone = self.indices.zone(&machine.zone);
            let type_index = self.indices.machine_type(&machine.type_name);
            let (Some(zone), Some(type_index)) = (zone, type_index) else { continue };
            if !is_schedulable(machine, self.now_ms, self.silent_ms) {
                continue;
            }
            let fetch_ms_per_gb = fetch_ms_per_gb(&self.catalog.machine_types[type_index]);
            let next_heartbeat_ms = match deferred_heartbeats.contains(&machine.name) {
                true => 0,
                false => {
                    next_heartbeat_ms(machine, self.settings.params.workers.report_s, self.now_ms)
                }
            };
            let MachineTasks { running, handles, images } = self.tasks_on(machine, fetch_ms_per_gb);
            self.input.snapshot.machines.push(MachineView {
                zone,
                type_index,
                spot: machine.spot,
                total: machine.total,
                free_task_slots: machine.free_task_slots(TASKS_PER_HEARTBEAT),
                on_probation: machine.health.probation_since().is_some(),
                running,
                images,
                fetch_ms_per_gb,
                next_heartbeat_ms,
            });
            self.machine_indices.insert(&machine.name, self.input.machines.len());
            self.input.machines.push(machine.name.clone());
            self.input.handles.push(handles);
        }
    }
}

/// The planner's view of a booting machine; `None` if it is late, since the time at which it will be up
/// can't be predicted.
pub(super) fn booting_machine(
    machine: &Machine,
    machine_type: &MachineType,
    now_ms: u64,
) -> Option<BootingMachine> {
    let boot_ms = (machine_type.boot_s * MS_PER_S) as u64;
    let left_ms = (machine.rented_at + boot_ms).saturating_sub(now_ms);
    let is_late = now_ms > machine.rented_at + (boot_ms as f64 * BOOT_LATE_FACTOR) as u64;
    (!is_late).then_some(BootingMachine {
        ready_in_ms: left_ms.max(boot_ms / BOOT_OVERDUE_DIVISOR),
        total: machine_type.total(),
    })
}

/// Mean milliseconds until booting machines are up; `None` if there are too few for a prediction.
pub(super) fn mean_boot_wait_ms(booting: &[BootingMachine]) -> Option<u64> {
    let count = booting.len() as u64;
    (count >= MEAN_BOOT_WAIT_MACHINES_MIN)
        .then(|| booting.iter().map(|machine| machine.ready_in_ms).sum::<u64>() / count)
}

/// Whether a machine may get new tasks.
pub(super) fn is_schedulable(machine: &Machine, now_ms: u64, silent_ms: u64) -> bool {
    // A machine with a reclaim notice must not be usable here: placements on it are rejected before
    // they are stored, so that every pass would repeat them while other machines have capacity.
    machine.is_usable()
        // A heartbeat without this leader's fencing token may be a late duplicate from a machine that
        // is gone, or come from one that receives no responses.
        && machine.has_current_token
        // The resources that a task of an unknown job takes are not known.
        && machine.unknown_tasks.is_empty()
        && machine.last_alive_at.is_some_and(|at| now_ms - at <= silent_ms)
}

/// Milliseconds that a machine of a type takes to fetch a gigabyte of an image.
fn fetch_ms_per_gb(machine_type: &MachineType) -> f64 {
    if machine_type.fetch_gb_per_s > 0.0 {
        MS_PER_S / machine_type.fetch_gb_per_s
    } else {
        0.0
    }
}

/// Expected milliseconds until a machine's next heartbeat.
pub(super) fn next_heartbeat_ms(machine: &Machine, report_s: f64, now_ms: u64) -> u64 {
    let period = report_s * MS_PER_S;
    let since = machine.last_heartbeat_at.map_or(0, |at| now_ms - at) as f64;
    let earliest = (period * (1.0 - HEARTBEAT_JITTER_SHARE) - since).max(0.0);
    let latest =
        (period * (1.0 + HEARTBEAT_JITTER_SHARE) - since).max(period * HEARTBEAT_JITTER_SHARE);
    ((earliest + latest) / 2.0) as u64
}
