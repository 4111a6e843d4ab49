//! The status report for operators: totals, and on request single machines and waiting jobs.

use super::metrics::{Latencies, WorkCounts};
use super::recovery::RecoveryView;
use super::{ConnectionId, Controller, Leader};
use crate::storage::job::Job;
use crate::storage::machine::{Machine, MachineState};
use crate::storage::records::JobStage;
use crate::transport::counts::TransportCounts;
use serde::Serialize;
use std::collections::BTreeMap;

/// Query of a status request that asks for single machines and waiting jobs too.
pub const DETAILS_QUERY: &str = "details";

/// Waiting jobs listed at the most.
const WAITING_JOBS_SHOWN_MAX: usize = 50;

/// The status of a controller.
#[derive(Debug, Serialize)]
pub struct StatusView {
    controller: String,
    version: &'static str,
    up_s: u64,
    served_by_state_service: bool,
    /// The leader according to the store.
    leader: Option<String>,
    term: u64,
    revision: u64,
    jobs: JobCounts,
    /// On the leader only.
    fleet: Option<FleetCounts>,
    /// Numbers of entries in memory.
    held: EntryCounts,
    latency_ms: LatencyView,
    /// Only if recovery is enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    recovery: Option<RecoveryView>,
    work: WorkCounts,
    transport: TransportCounts,
    /// On the leader, on request.
    #[serde(skip_serializing_if = "Option::is_none")]
    machines: Option<Vec<MachineSummary>>,
    /// On the leader, on request.
    #[serde(skip_serializing_if = "Option::is_none")]
    waiting: Option<Vec<WaitingJobSummary>>,
}

#[derive(Debug, Serialize)]
struct JobCounts {
    live: usize,
    done: usize,
    cancelled: usize,
}

/// Totals of the leader's fleet.
#[derive(Debug, Default, Serialize)]
struct FleetCounts {
    /// Machines by state.
    machines: BTreeMap<&'static str, usize>,
    /// Number of spot machines among them.
    spot: usize,
    /// Tasks placed on machines.
    tasks: usize,
    /// Tasks that wait for a machine.
    waiting_tasks: u64,
    /// Jobs that these tasks belong to.
    waiting_jobs: usize,
}

/// Numbers of entries in the large in-memory tables.
#[derive(Debug, Default, Serialize)]
struct EntryCounts {
    /// In the replica, like `batches` and `placement_groups`.
    jobs: usize,
    batches: usize,
    placement_groups: usize,
    /// On the leader, like the fields below; 0 elsewhere.
    live_jobs: usize,
    machines: usize,
    placements: usize,
    /// Heartbeats whose response waits for a transaction.
    reports: usize,
}

#[derive(Debug, Serialize)]
struct LatencyView {
    submit: LatencySummary,
    poll: LatencySummary,
    report: LatencySummary,
    placed_to_running: LatencySummary,
}

#[derive(Debug, Serialize)]
struct LatencySummary {
    count: u64,
    p50: u64,
    p95: u64,
    p99: u64,
    max: u64,
}

#[derive(Debug, Serialize)]
struct MachineSummary {
    name: String,
    machine_type: String,
    zone: String,
    spot: bool,
    state: &'static str,
    tasks: usize,
}

#[derive(Debug, Serialize)]
struct WaitingJobSummary {
    uid: String,
    waiting: u32,
    done: u32,
    tasks: u32,
    why: String,
}

fn summarize_latencies(latencies: &Latencies) -> LatencySummary {
    LatencySummary {
        count: latencies.len(),
        p50: latencies.value_at_quantile(0.5),
        p95: latencies.value_at_quantile(0.95),
        p99: latencies.value_at_quantile(0.99),
        max: latencies.max(),
    }
}

/// Name of a machine's state. Operators' scripts match these names.
fn machine_state_name(machine: &Machine) -> &'static str {
    match machine.state {
        MachineState::Booting => "booting",
        MachineState::AwaitingHeartbeat => "not heard of",
        MachineState::Deleting => "deleting",
        MachineState::Terminated => "gone",
        MachineState::Up if machine.lease_expired => "silent",
        MachineState::Up if machine.reclaim_at.is_some() => "reclaimed",
        MachineState::Up if machine.health.is_cordoned() => "set aside",
        MachineState::Up => "up",
    }
}

impl Controller {
    /// Answers a status request.
    pub(super) fn status(&mut self, connection: ConnectionId, query: &str) {
        let view = self.status_view(query == DETAILS_QUERY);
        // On many lines, since one line for hundreds of machines would be too long for a response.
        let body = serde_json::to_vec_pretty(&view).unwrap_or_default();
        self.respond(connection, 200, None, body);
    }

    /// The status of this controller; with `details`, single machines and waiting jobs too.
    pub fn status_view(&self, details: bool) -> StatusView {
        let leader = self.leader.as_ref().filter(|leader| leader.ready);
        let listed = leader.filter(|_| details);
        StatusView {
            controller: self.settings.label.clone(),
            version: env!("CARGO_PKG_VERSION"),
            up_s: (self.now.monotonic_ms - self.started_at) / 1000,
            served_by_state_service: self.store_is_usable(),
            leader: self.store.replica().leader.as_ref().map(|leader| leader.value.label.clone()),
            term: self.store.replica().term(),
            revision: self.store.replica().revision,
            jobs: self.job_counts(),
            fleet: leader.map(Leader::fleet_counts),
            held: self.entry_counts(),
            latency_ms: LatencyView {
                submit: summarize_latencies(&self.metrics.submit_ms),
                poll: summarize_latencies(&self.metrics.poll_ms),
                report: summarize_latencies(&self.metrics.report_ms),
                placed_to_running: summarize_latencies(&self.metrics.start_ms),
            },
            recovery: self.recovery_view(),
            work: self.metrics.work,
            transport: self.metrics.transport,
            machines: listed.map(Leader::machine_summaries),
            waiting: listed.map(|leader| self.waiting_job_summaries(leader)),
        }
    }

    fn job_counts(&self) -> JobCounts {
        let jobs = &self.store.replica().jobs;
        let count = |stage| jobs.values().filter(|job| job.value.stage == stage).count();
        JobCounts {
            live: count(JobStage::Live),
            done: count(JobStage::Done),
            cancelled: count(JobStage::Cancelled),
        }
    }

    /// The oldest waiting jobs, each with the reason why it waits.
    fn waiting_job_summaries(&self, leader: &Leader) -> Vec<WaitingJobSummary> {
        let cluster = &leader.cluster;
        let jobs = cluster.queue.values().filter_map(|job_id| cluster.jobs.get(job_id));
        let summary = |job: &Job| {
            let why = self.wait_reason(leader, job)?.to_string();
            let (waiting, done, tasks) = (job.waiting_tasks(), job.done_count, job.tasks);
            Some(WaitingJobSummary { uid: job.id.to_string(), waiting, done, tasks, why })
        };
        jobs.filter_map(summary).take(WAITING_JOBS_SHOWN_MAX).collect()
    }

    fn entry_counts(&self) -> EntryCounts {
        let replica_counts = EntryCounts {
            jobs: self.store.replica().jobs.len(),
            batches: self.store.replica().batches.len(),
            placement_groups: self.store.replica().placement_groups.len(),
            ..EntryCounts::default()
        };
        match &self.leader {
            None => replica_counts,
            Some(leader) => EntryCounts {
                live_jobs: leader.cluster.jobs.len(),
                machines: leader.cluster.machines.len(),
                placements: leader
                    .cluster
                    .machines
                    .values()
                    .map(|machine| machine.placements.len())
                    .sum(),
                reports: leader.deferred_heartbeats.len(),
                ..replica_counts
            },
        }
    }
}

impl Leader {
    fn fleet_counts(&self) -> FleetCounts {
        let mut counts = FleetCounts::default();
        for machine in self.cluster.machines.values() {
            *counts.machines.entry(machine_state_name(machine)).or_default() += 1;
            counts.spot += usize::from(machine.spot);
            counts.tasks += machine.placements.len();
        }
        for job in self.cluster.jobs.values().filter(|job| job.waiting_tasks() > 0) {
            counts.waiting_jobs += 1;
            counts.waiting_tasks += u64::from(job.waiting_tasks());
        }
        counts
    }

    fn machine_summaries(&self) -> Vec<MachineSummary> {
        let summary = |machine: &Machine| MachineSummary {
            name: machine.name.to_string(),
            machine_type: machine.type_name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            state: machine_state_name(machine),
            tasks: machine.placements.len(),
        };
        self.cluster.machines.values().map(summary).collect()
    }
}
