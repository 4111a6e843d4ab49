//! Counters and latency histograms of a controller, for its status report and the log.

use super::Controller;
use crate::constants;
use crate::transport::counts::TransportCounts;
use serde::Serialize;

/// Histogram of latencies in milliseconds, with two significant digits.
pub(super) type Latencies = hdrhistogram::Histogram<u64>;

/// Counts of the controller's work since the process began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct WorkCounts {
    /// Batches of commands handled.
    pub batches: u64,
    /// Batches without a command, which handle only what is due.
    pub batches_empty: u64,
    /// Heartbeats of workers.
    pub reports: u64,
    /// Heartbeats answered with a redirect to the leader (421).
    pub reports_redirected: u64,
    /// Requests to submit a job.
    pub submissions: u64,
    /// Requests for a job's status.
    pub polls: u64,
    /// Requests to cancel a job.
    pub cancellations: u64,
    /// The load balancer's health checks.
    pub health_checks: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Requests rejected with a status of 429 or above.
    pub refused: u64,
    /// Requests sent to peers.
    pub peer_requests_sent: u64,
    /// Requests received from peers.
    pub peer_requests_received: u64,
    /// Requests to the state service, of every kind.
    pub state_calls: u64,
    /// Reads among them: pages of the listing, watches and fresh reads.
    pub state_reads: u64,
    /// Reads that returned no change.
    pub state_reads_unchanged: u64,
    /// Bytes of the responses to reads.
    pub state_bytes_read: u64,
    /// Transactions sent.
    pub state_commits: u64,
    /// Puts and deletes in these transactions.
    pub state_writes: u64,
    /// Planning passes.
    pub planner_passes: u64,
    /// Machines examined by these passes.
    pub planner_machines: u64,
    /// Candidate allocations of tasks to machines examined by these passes.
    pub planner_places: u64,
    /// Scans of the fleet for machines to rent or to return.
    pub fleet_scans: u64,
    /// Scans for expired worker leases.
    pub lease_scans: u64,
}

impl WorkCounts {
    /// The difference between these counts and earlier ones.
    pub fn since(&self, earlier: &WorkCounts) -> WorkCounts {
        WorkCounts {
            batches: self.batches - earlier.batches,
            batches_empty: self.batches_empty - earlier.batches_empty,
            reports: self.reports - earlier.reports,
            reports_redirected: self.reports_redirected - earlier.reports_redirected,
            submissions: self.submissions - earlier.submissions,
            polls: self.polls - earlier.polls,
            cancellations: self.cancellations - earlier.cancellations,
            health_checks: self.health_checks - earlier.health_checks,
            accepted: self.accepted - earlier.accepted,
            refused: self.refused - earlier.refused,
            peer_requests_sent: self.peer_requests_sent - earlier.peer_requests_sent,
            peer_requests_received: self.peer_requests_received - earlier.peer_requests_received,
            state_calls: self.state_calls - earlier.state_calls,
            state_reads: self.state_reads - earlier.state_reads,
            state_reads_unchanged: self.state_reads_unchanged - earlier.state_reads_unchanged,
            state_bytes_read: self.state_bytes_read - earlier.state_bytes_read,
            state_commits: self.state_commits - earlier.state_commits,
            state_writes: self.state_writes - earlier.state_writes,
            planner_passes: self.planner_passes - earlier.planner_passes,
            planner_machines: self.planner_machines - earlier.planner_machines,
            planner_places: self.planner_places - earlier.planner_places,
            fleet_scans: self.fleet_scans - earlier.fleet_scans,
            lease_scans: self.lease_scans - earlier.lease_scans,
        }
    }
}

/// The counters and latency histograms of a controller.
pub(crate) struct Metrics {
    /// From a submission to its acceptance.
    pub submit_ms: Latencies,
    /// From a poll to its response.
    pub poll_ms: Latencies,
    /// From a heartbeat to its response.
    pub report_ms: Latencies,
    /// From the decision to place a task to the heartbeat that shows it running.
    pub start_ms: Latencies,
    /// Counts of the controller's work.
    pub work: WorkCounts,
    /// Counts of the transport's work, as last set by [`Controller::set_transport_counts`].
    pub transport: TransportCounts,
    /// `work` as of the last log line.
    logged_work: WorkCounts,
    /// `transport` as of the last log line.
    logged_transport: TransportCounts,
    /// When the next log line is due.
    log_at: u64,
}

impl Metrics {
    pub(super) fn new(now: u64) -> Metrics {
        let latencies = || Latencies::new(2).expect("two digits are in range");
        Metrics {
            submit_ms: latencies(),
            poll_ms: latencies(),
            report_ms: latencies(),
            start_ms: latencies(),
            work: WorkCounts::default(),
            transport: TransportCounts::default(),
            logged_work: WorkCounts::default(),
            logged_transport: TransportCounts::default(),
            log_at: now + constants::METRICS_LOG_PERIOD_MS,
        }
    }
}

impl Controller {
    /// Sets the counts of the transport, which the controller's core can't observe.
    pub fn set_transport_counts(&mut self, counts: TransportCounts) {
        self.metrics.transport = counts;
    }

    /// Counts of this controller's work since its process began.
    pub fn work_counts(&self) -> &WorkCounts {
        &self.metrics.work
    }

    /// Logs the counts since the last such line, when the next one is due.
    pub(super) fn log_metrics_if_due(&mut self) {
        let now = self.now.monotonic_ms;
        let metrics = &mut self.metrics;
        if now < metrics.log_at {
            return;
        }
        metrics.log_at = now + constants::METRICS_LOG_PERIOD_MS;
        let work = metrics.work.since(&metrics.logged_work);
        let transport = metrics.transport.since(&metrics.logged_transport);
        metrics.logged_work = metrics.work;
        metrics.logged_transport = metrics.transport;
        if log::log_enabled!(log::Level::Info) {
            log::info!(
                "work {} transport {}",
                serde_json::to_string(&work).unwrap_or_default(),
                serde_json::to_string(&transport).unwrap_or_default()
            );
        }
    }
}
