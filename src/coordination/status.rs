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
const WAITING_SHOWN: usize = 50;

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
    jobs: JobSums,
    /// On the leader only.
    fleet: Option<FleetSums>,
    /// Numbers of entries in memory.
    held: HeldSums,
    latency_ms: LatencyView,
    /// Only if recovery is enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    recovery: Option<RecoveryView>,
    work: WorkCounts,
    transport: TransportCounts,
    /// On the leader, on request.
    #[serde(skip_serializing_if = "Option::is_none")]
    machines: Option<Vec<MachineLine>>,
    /// On the leader, on request.
    #[serde(skip_serializing_if = "Option::is_none")]
    waiting: Option<Vec<WaitingLine>>,
}

#[derive(Debug, Serialize)]
struct JobSums {
    live: usize,
    done: usize,
    cancelled: usize,
}

/// Totals of the leader's fleet.
#[derive(Debug, Default, Serialize)]
struct FleetSums {
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
struct HeldSums {
    /// In the replica, as the next two.
    jobs: usize,
    batches: usize,
    placement_groups: usize,
    /// On the leader, as the next three; 0 elsewhere.
    live_jobs: usize,
    machines: usize,
    placements: usize,
    /// Heartbeats whose answer waits for a commit.
    reports: usize,
}

#[derive(Debug, Serialize)]
struct LatencyView {
    submit: Spread,
    poll: Spread,
    report: Spread,
    placed_to_running: Spread,
}

#[derive(Debug, Serialize)]
struct Spread {
    count: u64,
    p50: u64,
    p95: u64,
    p99: u64,
    max: u64,
}

#[derive(Debug, Serialize)]
struct MachineLine {
    name: String,
    machine_type: String,
    zone: String,
    spot: bool,
    state: &'static str,
    tasks: usize,
}

#[derive(Debug, Serialize)]
struct WaitingLine {
    uid: String,
    waiting: u32,
    done: u32,
    tasks: u32,
    why: String,
}

fn spread(latencies: &Latencies) -> Spread {
    Spread {
        count: latencies.len(),
        p50: latencies.value_at_quantile(0.5),
        p95: latencies.value_at_quantile(0.95),
        p99: latencies.value_at_quantile(0.99),
        max: latencies.max(),
    }
}

/// Name of a machine's state. Operators' scripts match these names.
fn state_of(machine: &Machine) -> &'static str {
    match machine.state {
        MachineState::Booting => "booting",
        MachineState::AwaitingHeartbeat => "not heard of",
        MachineState::Deleting => "deleting",
        MachineState::Terminated => "gone",
        MachineState::Up if machine.lease_expired => "silent",
        MachineState::Up if machine.reclaim_at.is_some() => "reclaimed",
        MachineState::Up if machine.cordoned => "set aside",
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
            jobs: self.job_sums(),
            fleet: leader.map(Leader::fleet_sums),
            held: self.held_sums(),
            latency_ms: LatencyView {
                submit: spread(&self.metrics.submit_ms),
                poll: spread(&self.metrics.poll_ms),
                report: spread(&self.metrics.report_ms),
                placed_to_running: spread(&self.metrics.start_ms),
            },
            recovery: self.recovery_view(),
            work: self.metrics.work,
            transport: self.metrics.transport,
            machines: listed.map(Leader::machine_lines),
            waiting: listed.map(|leader| self.waiting_lines(leader)),
        }
    }

    fn job_sums(&self) -> JobSums {
        let jobs = &self.store.replica().jobs;
        let count = |stage| jobs.values().filter(|job| job.value.stage == stage).count();
        JobSums {
            live: count(JobStage::Live),
            done: count(JobStage::Done),
            cancelled: count(JobStage::Cancelled),
        }
    }

    /// The oldest waiting jobs, each with the reason why it waits.
    fn waiting_lines(&self, leader: &Leader) -> Vec<WaitingLine> {
        let cluster = &leader.cluster;
        let jobs = cluster.queue.values().filter_map(|uid| cluster.jobs.get(uid));
        let line = |job: &Job| {
            let why = self.wait_reason(leader, job)?.to_string();
            let (waiting, done, tasks) = (job.waiting(), job.done_count, job.tasks);
            Some(WaitingLine { uid: job.id.to_string(), waiting, done, tasks, why })
        };
        jobs.filter_map(line).take(WAITING_SHOWN).collect()
    }

    fn held_sums(&self) -> HeldSums {
        let copy = HeldSums {
            jobs: self.store.replica().jobs.len(),
            batches: self.store.replica().batches.len(),
            placement_groups: self.store.replica().placement_groups.len(),
            ..HeldSums::default()
        };
        match &self.leader {
            None => copy,
            Some(leader) => HeldSums {
                live_jobs: leader.cluster.jobs.len(),
                machines: leader.cluster.machines.len(),
                placements: leader
                    .cluster
                    .machines
                    .values()
                    .map(|machine| machine.placements.len())
                    .sum(),
                reports: leader.deferred_heartbeats.len(),
                ..copy
            },
        }
    }
}

impl Leader {
    fn fleet_sums(&self) -> FleetSums {
        let mut sums = FleetSums::default();
        for machine in self.cluster.machines.values() {
            *sums.machines.entry(state_of(machine)).or_default() += 1;
            sums.spot += usize::from(machine.spot);
            sums.tasks += machine.placements.len();
        }
        for job in self.cluster.jobs.values().filter(|job| job.waiting() > 0) {
            sums.waiting_jobs += 1;
            sums.waiting_tasks += u64::from(job.waiting());
        }
        sums
    }

    fn machine_lines(&self) -> Vec<MachineLine> {
        let line = |machine: &Machine| MachineLine {
            name: machine.name.to_string(),
            machine_type: machine.type_name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            state: state_of(machine),
            tasks: machine.placements.len(),
        };
        self.cluster.machines.values().map(line).collect()
    }
}
