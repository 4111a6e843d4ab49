//! Room that work to come will need, from the work that came lately.

use crate::constants::{ARRIVAL_WINDOW_MS, MS_PER_S, SPARE_SERVICE_SLOTS, WORK_WINDOW_MS};
use crate::coordination::{Clock, Leader};
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::users::JobKind;
use crate::protocol::Resources;

/// Tasks of a service that arrived together.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceArrival {
    pub(super) at: u64,
    pub(super) tasks: u32,
}

/// Batch work that arrived together.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchArrival {
    pub(super) at: u64,
    /// Milliseconds for which it keeps a whole machine busy.
    pub(super) machine_ms: f64,
}

/// Room that is kept free for services to come.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceHeadroom {
    /// What one task is taken to need.
    pub(super) need: Resources,
    /// Tasks that should find room.
    pub(super) slots: f64,
}

impl Leader {
    /// Takes note of jobs that came since the last look. What a new leader finds counts at
    /// the time of day that it was accepted.
    pub(super) fn note_arrivals(&mut self, now: Clock, catalog: &Catalog) {
        let types = catalog.machine_types.iter().map(MachineType::total);
        let Some(largest) = types.max_by_key(|total| (total.gpu, total.cpu)) else { return };
        let seen_before = self.fleet.last_seen_arrival;
        let mut services = Vec::new();
        let mut batches = Vec::new();
        let mut last_seen = seen_before;
        for (arrival, uid) in self.cluster.queue.range(seen_before + 1..) {
            last_seen = *arrival;
            let Some(job) = self.cluster.jobs.get(uid) else { continue };
            let Some(spec) = &job.spec else { continue };
            let age_ms = match seen_before {
                0 => now.wall_ms.saturating_sub(job.accepted_at_wall_ms),
                _ => 0,
            };
            if age_ms > ARRIVAL_WINDOW_MS {
                continue;
            }
            let at = now.monotonic_ms.saturating_sub(age_ms);
            if spec.kind == JobKind::Service {
                services.push(ServiceArrival { at, tasks: job.tasks });
            } else {
                let ms_per_task = self.expected_run_ms(spec) as f64 * job.need.share_of(&largest);
                let machine_ms = f64::from(job.tasks) * ms_per_task;
                batches.push(BatchArrival { at, machine_ms });
            }
        }
        let now_ms = now.monotonic_ms;
        let fleet = &mut self.fleet;
        fleet.last_seen_arrival = last_seen;
        fleet.service_arrivals.extend(services);
        fleet.batch_arrivals.extend(batches);
        fleet.service_arrivals.retain(|arrival| now_ms <= arrival.at + ARRIVAL_WINDOW_MS);
        fleet.batch_arrivals.retain(|arrival| now_ms <= arrival.at + WORK_WINDOW_MS);
    }

    /// Over how long arrivals have been watched, in milliseconds.
    fn watched_ms(&self, now: u64, window_ms: u64) -> f64 {
        let watched_ms = now - self.term_began_at;
        watched_ms.clamp(ARRIVAL_WINDOW_MS / 2, ARRIVAL_WINDOW_MS).min(window_ms) as f64
    }

    /// Machines that batch work keeps busy at the rate at which it has been coming.
    pub(super) fn batch_machines(&self, now: u64) -> f64 {
        let machine_ms: f64 =
            self.fleet.batch_arrivals.iter().map(|arrival| arrival.machine_ms).sum();
        machine_ms / self.watched_ms(now, WORK_WINDOW_MS)
    }

    /// Room to keep for services: what a task of the newest one takes, and how many are expected
    /// to arrive while a machine boots. `None` if there are no services.
    pub(super) fn service_headroom(&self, now: u64, catalog: &Catalog) -> Option<ServiceHeadroom> {
        let cluster = &self.cluster;
        let newest = cluster.queue.values().rev().find(|uid| cluster.is_service(uid))?;
        let need = cluster.jobs.get(newest)?.need;
        let tasks: u32 = self.fleet.service_arrivals.iter().map(|arrival| arrival.tasks).sum();
        let boot_ms = catalog.longest_boot_s() * MS_PER_S;
        let expected =
            (f64::from(tasks) / self.watched_ms(now, ARRIVAL_WINDOW_MS) * boot_ms).ceil();
        Some(ServiceHeadroom { need, slots: expected + SPARE_SERVICE_SLOTS })
    }
}
