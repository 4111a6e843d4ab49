//! The platform's settings: a JSON file that describes the deployment, written by the platform that starts
//! the controller.

use super::SettingsProblem;
use crate::constants::{
    BYTES_PER_KB, MACHINE_LIST_LAG_MARGIN_MS, MS_PER_S, SILENT_AFTER_PERIODS,
    STORE_VALUE_BYTES_MIN, TRANSACTION_OPS_MIN,
};
use crate::protocol::Resources;
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Minimum socket limit with which a controller can serve users, workers and peers and send its own requests.
const SOCKETS_MIN: usize = 32;

/// The platform's settings for one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Label of this controller, unique among all controllers.
    pub label: String,
    /// Zone of this controller.
    pub zone: String,
    /// Address on which users, workers and health checks connect.
    pub listen: SocketAddrV4,
    /// Address on which other controllers connect.
    pub peer_bind: SocketAddrV4,
    /// The other controllers; empty if there are none.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that the controller depends on.
    pub services: Services,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Label of the controller.
    pub label: String,
    /// Zone of the controller; empty if not given.
    #[serde(default)]
    pub zone: String,
    /// Address on which it accepts messages from other controllers.
    pub address: SocketAddrV4,
}

/// Addresses of the services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the state service.
    pub state: SocketAddrV4,
}

/// Parameters of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Names of all zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<Team>,
    /// The users' objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that this process may use.
    pub machine_limits: MachineLimits,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default)]
    pub time_bound_ms: f64,
}

/// A team with its guaranteed resources and its limits; an amount of 0 means no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of cores that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Guaranteed resources; memory is not guaranteed.
    pub fn guarantee(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, 0.0)
    }

    /// Maximum resources that the team may use; a component of 0, such as memory, is not limited.
    pub fn limit(&self) -> Resources {
        Resources::new(self.cpus_max, self.gpus_max, 0.0)
    }
}

/// One of the users' service level objectives.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What the objective measures; see [`Objective::complete_within`] for the kinds that planning uses.
    pub kind: String,
    /// The class of jobs to which it applies; none: all jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Maximum time in seconds for a job to meet the objective; none if the kind has no such time.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that should meet the objective; none if not given.
    #[serde(default)]
    pub share: Option<f64>,
    /// For the kind `deadline`: allowed time as a multiple of the job's own deadline; none: 1.
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Seconds after its submission within which a job must complete to meet this objective; none if the
    /// objective sets no such limit. `deadline_s` is the job's own deadline, and `run_s` the run time of its
    /// tasks.
    pub fn complete_within(&self, deadline_s: Option<f64>, run_s: f64) -> Option<f64> {
        match self.kind.as_str() {
            "finished" => self.within_s,
            // The last task must have started within `within_s`, and then it runs for `run_s`.
            "wait" => self.within_s.map(|within_s| within_s + run_s),
            "deadline" => deadline_s.map(|deadline_s| deadline_s * self.times.unwrap_or(1.0)),
            _ => None,
        }
    }
}

/// Timing of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Seconds between two heartbeats of a worker.
    pub report_s: f64,
    /// Length of a worker's lease in seconds: a worker that gets no response for that time kills its tasks.
    pub lease_s: f64,
    /// Seconds after the cancellation of a job within which its tasks must have ended.
    pub cancel_s: f64,
    /// Seconds for which a task of a gang waits for the other tasks of its attempt; 0: unknown.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// Seconds after which the other tasks of a gang fail once one of its tasks is gone. They can save their
    /// progress only if all of them are told to stop within that time. 0: unknown.
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
    /// Maximum requests per second, from all controllers together.
    pub rps: f64,
    /// Maximum puts and deletes per second, from all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in kilobytes of 1024 bytes.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force at some later time, without notice; none if no change is announced.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service; a limit that is absent does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Maximum requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in kilobytes of 1024 bytes.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Maximum size of a value in bytes, the lower of the present and the announced limit.
    pub fn value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        (next.map_or(self.value_kb, |kb| kb.min(self.value_kb)) * BYTES_PER_KB) as usize
    }

    /// Maximum number of puts and deletes in a transaction, the lower of the present and the announced
    /// limit.
    pub fn transaction_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Maximum requests per second, the lower of the present and the announced limit.
    pub fn lowest_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.rps);
        next.map_or(self.rps, |rps| rps.min(self.rps))
    }

    /// Maximum puts and deletes per second, the lower of the present and the announced limit.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.write_rps);
        next.map_or(self.write_rps, |rps| rps.min(self.write_rps))
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second, from all controllers together.
    pub rps: f64,
    /// Maximum lag of the list of machines, in seconds.
    pub list_lag_s: f64,
}

impl CloudLimits {
    /// Milliseconds by which the cloud's list is taken to lag at most: twice the lag from the settings plus a
    /// margin. A machine missing from a list counts as gone only if the list was requested more than this after
    /// the last proof that the machine exists.
    pub fn list_lag_ms(&self) -> u64 {
        (self.list_lag_s * 2.0 * MS_PER_S) as u64 + MACHINE_LIST_LAG_MARGIN_MS
    }
}

/// Resources that this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// CPU time, as a share of one core.
    pub core_share: f64,
    /// Memory in megabytes.
    pub mem_mb: f64,
    /// Maximum number of open sockets.
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

    /// Number of controllers, this one included.
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
