//! The platform's settings: facts of the deployment, handed over as JSON by whoever starts the process.

use super::SettingsProblem;
use crate::constants::{
    BYTES_PER_KB, MACHINE_LIST_LAG_MARGIN_MS, MS_PER_S, SILENT_AFTER_PERIODS,
    STORE_VALUE_BYTES_MIN, TRANSACTION_OPS_MIN,
};
use crate::protocol::Resources;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Fewest sockets with which a controller can serve users, workers, peers and its own calls.
const SOCKETS_MIN: usize = 32;

/// What the platform hands over.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this controller.
    pub label: String,
    /// Its zone.
    pub zone: String,
    /// Where users, workers and health checks connect.
    pub listen: SocketAddrV4,
    /// Where other controllers connect.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// What it depends on.
    pub services: Services,
    /// Facts of the deployment.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub label: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where it takes other controllers' messages.
    pub address: SocketAddrV4,
}

/// Where cloud and state service answer.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: SocketAddrV4,
    /// The state service's address.
    pub state: SocketAddrV4,
}

/// Facts of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The workers' timing.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What this process may use.
    pub machine_limits: MachineLimits,
    /// Milliseconds by which the time of day may be off.
    #[serde(default)]
    pub time_bound_ms: f64,
}

/// A team with its guarantee and its limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Cores that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Cores that it may use at the most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that it may use at the most.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Resources that it is guaranteed; memory is not limited.
    pub fn guarantee(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, 0.0)
    }

    /// Resources that it may use at the most; what is 0 is not limited.
    pub fn limit(&self) -> Resources {
        Resources::new(self.cpus_max, self.gpus_max, 0.0)
    }
}

/// One of the users' aims, as far as planning can use it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is counted.
    pub kind: String,
    /// The class whose jobs are counted; none: all.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which a job counts as served.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs to be served so.
    #[serde(default)]
    pub share: Option<f64>,
    /// Of a job's own deadline, for aims that are counted in it.
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Seconds within which a job of an array has to be complete for this aim, if the aim asks
    /// for that: `deadline_s` is its deadline, and its tasks run for `run_s`.
    pub fn complete_within(&self, deadline_s: Option<f64>, run_s: f64) -> Option<f64> {
        match self.kind.as_str() {
            "finished" => self.within_s,
            // Its last task has started by then.
            "wait" => self.within_s.map(|within_s| within_s + run_s),
            "deadline" => deadline_s.map(|deadline_s| deadline_s * self.times.unwrap_or(1.0)),
            _ => None,
        }
    }
}

/// The workers' timing.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two reports.
    pub report_s: f64,
    /// Seconds after which a worker that is not answered kills its tasks.
    pub lease_s: f64,
    /// Seconds after a cancellation within which its tasks must be gone.
    pub cancel_s: f64,
    /// Seconds that a task of a gang waits for the other tasks of its attempt; 0: not known.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// Seconds within which tasks of a gang notice that another one is gone, and within which all
    /// of them have to be told to stop; 0: not known.
    #[serde(default)]
    pub gang_peer_s: f64,
}

impl Workers {
    /// Milliseconds without a heartbeat after which a machine counts as silent.
    pub fn silent_ms(&self) -> u64 {
        (self.report_s * SILENT_AFTER_PERIODS * MS_PER_S) as u64
    }
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Kilobytes of one value.
    pub value_kb: f64,
    /// Puts and deletes of one transaction.
    pub txn_ops: usize,
    /// Limits that the state service takes on at some later moment, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Limits of the state service that are to come; what is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Kilobytes of one value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes of one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Bytes of one value that are allowed now and later.
    pub fn value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        (next.map_or(self.value_kb, |kb| kb.min(self.value_kb)) * BYTES_PER_KB) as usize
    }

    /// Puts and deletes of one transaction that are allowed now and later.
    pub fn transaction_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Requests a second that are allowed now and later.
    pub fn lowest_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.rps);
        next.map_or(self.rps, |rps| rps.min(self.rps))
    }

    /// Puts and deletes a second that are allowed now and later.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.write_rps);
        next.map_or(self.write_rps, |rps| rps.min(self.write_rps))
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which the list of machines may lag.
    pub list_lag_s: f64,
}

impl CloudLimits {
    /// Milliseconds by which the machine list may lag before a machine missing from it counts as gone.
    pub fn list_lag_ms(&self) -> u64 {
        (self.list_lag_s * 2.0 * MS_PER_S) as u64 + MACHINE_LIST_LAG_MARGIN_MS
    }
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of a core.
    pub core_share: f64,
    /// Megabytes of memory.
    pub mem_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

impl Platform {
    /// Parses and validates the platform's settings.
    pub fn parse(text: &str) -> Result<Platform, SettingsProblem> {
        let platform: Platform = serde_json::from_str(text)?;
        platform.validate()?;
        Ok(platform)
    }

    fn validate(&self) -> Result<(), SettingsProblem> {
        self.validate_rates_and_times()?;
        if self.label.is_empty() {
            return Err(SettingsProblem::invalid("label", "must not be empty"));
        }
        self.params.state.validate_sizes()?;
        if self.params.machine_limits.sockets < SOCKETS_MIN {
            let reason = format!("must be at least {SOCKETS_MIN}");
            return Err(SettingsProblem::invalid("params.machine_limits.sockets", reason));
        }
        if self.peers.iter().any(|peer| peer.label == self.label) {
            return Err(SettingsProblem::invalid("peers", "names this controller itself"));
        }
        Ok(())
    }

    fn validate_rates_and_times(&self) -> Result<(), SettingsProblem> {
        let Params { workers, state, cloud, .. } = &self.params;
        let positive = [
            ("params.workers.report_s", workers.report_s),
            ("params.workers.lease_s", workers.lease_s),
            ("params.workers.cancel_s", workers.cancel_s),
            ("params.state.rps", state.rps),
            ("params.state.write_rps", state.write_rps),
            ("params.state.value_kb", state.value_kb),
            ("params.state.next.rps", state.lowest_rps()),
            ("params.state.next.write_rps", state.lowest_write_rps()),
            ("params.cloud.rps", cloud.rps),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                let reason = format!("must be above 0, is {value}");
                return Err(SettingsProblem::invalid(field, reason));
            }
        }
        Ok(())
    }

    /// Number of controllers.
    pub fn controllers(&self) -> usize {
        self.peers.len() + 1
    }
}

impl StateLimits {
    fn validate_sizes(&self) -> Result<(), SettingsProblem> {
        if self.transaction_ops() < TRANSACTION_OPS_MIN {
            let reason = format!("must be at least {TRANSACTION_OPS_MIN}");
            return Err(SettingsProblem::invalid("params.state.txn_ops", reason));
        }
        if self.value_bytes() < STORE_VALUE_BYTES_MIN {
            let reason = format!("must be at least {STORE_VALUE_BYTES_MIN} bytes");
            return Err(SettingsProblem::invalid("params.state.value_kb", reason));
        }
        Ok(())
    }
}
