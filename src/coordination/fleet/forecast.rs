//! Demand forecast: the capacity that services and batch work will need, from recent arrivals.

use crate::constants::{
    BATCH_ARRIVAL_WINDOW_MS, MS_PER_S, SERVICE_ARRIVAL_WINDOW_MS, SPARE_SERVICE_SLOTS,
};
use crate::coordination::{Clock, Leader};
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::users::JobKind;
use crate::protocol::Resources;

/// The arrival of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceArrival {
    /// On the monotonic clock, in milliseconds.
    pub(super) at: u64,
    pub(super) tasks: u32,
}

/// The arrival of a batch or gang job.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchArrival {
    /// On the monotonic clock, in milliseconds.
    pub(super) at: u64,
    /// Milliseconds for which the job would keep a machine of the largest type busy.
    pub(super) machine_ms: f64,
}

/// Capacity that is kept free for new services.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceHeadroom {
    /// Assumed resources of one task.
    pub(super) need: Resources,
    /// Tasks that there should be capacity for.
    pub(super) slots: f64,
}

impl Leader {
    /// Records the jobs that arrived since the last call. On the first call of a term, jobs from
    /// before it count as having arrived at the wall-clock time at which they were accepted.
    pub(super) fn record_arrivals(&mut self, now: Clock, catalog: &Catalog) {
        let types = catalog.machine_types.iter().map(MachineType::total);
        let Some(largest) = types.max_by_key(|total| (total.gpu, total.cpu)) else { return };
        let seen_before = self.fleet.last_seen_arrival;
        let mut services = Vec::new();
        let mut batches = Vec::new();
        let mut last_seen = seen_before;
        for (arrival, job_id) in self.cluster.queue.range(seen_before + 1..) {
            last_seen = *arrival;
            let Some(job) = self.cluster.jobs.get(job_id) else { continue };
            let Some(spec) = &job.spec else { continue };
            let age_ms = match seen_before {
                0 => now.wall_ms.saturating_sub(job.accepted_at_wall_ms),
                _ => 0,
            };
            if age_ms > SERVICE_ARRIVAL_WINDOW_MS {
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
        fleet.service_arrivals.retain(|arrival| now_ms <= arrival.at + SERVICE_ARRIVAL_WINDOW_MS);
        fleet.batch_arrivals.retain(|arrival| now_ms <= arrival.at + BATCH_ARRIVAL_WINDOW_MS);
    }

    /// Milliseconds over which the arrivals within a window were observed: less than the window early
    /// in a term, but at least half of [`SERVICE_ARRIVAL_WINDOW_MS`] unless the window is shorter.
    fn observed_ms(&self, now: u64, window_ms: u64) -> f64 {
        let observed_ms = now - self.term_began_at;
        observed_ms.clamp(SERVICE_ARRIVAL_WINDOW_MS / 2, SERVICE_ARRIVAL_WINDOW_MS).min(window_ms)
            as f64
    }

    /// Machines that batch work keeps busy at its recent arrival rate.
    pub(super) fn expected_batch_machines(&self, now: u64) -> f64 {
        let machine_ms: f64 =
            self.fleet.batch_arrivals.iter().map(|arrival| arrival.machine_ms).sum();
        machine_ms / self.observed_ms(now, BATCH_ARRIVAL_WINDOW_MS)
    }

    /// Headroom for new services: as many tasks like those of the newest service as are expected to
    /// arrive while a machine boots, and a spare one. `None` if there are no services.
    pub(super) fn service_headroom(&self, now: u64, catalog: &Catalog) -> Option<ServiceHeadroom> {
        let cluster = &self.cluster;
        let newest = cluster.queue.values().rev().find(|job_id| cluster.is_service(job_id))?;
        let need = cluster.jobs.get(newest)?.need;
        let tasks: u32 = self.fleet.service_arrivals.iter().map(|arrival| arrival.tasks).sum();
        let boot_ms = catalog.longest_boot_s() * MS_PER_S;
        let expected =
            (f64::from(tasks) / self.observed_ms(now, SERVICE_ARRIVAL_WINDOW_MS) * boot_ms).ceil();
        Some(ServiceHeadroom { need, slots: expected + SPARE_SERVICE_SLOTS })
    }
}
