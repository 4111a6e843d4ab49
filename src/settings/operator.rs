//! The operators' settings, in protobuf text format; every field has a default.

use super::SettingsProblem;
use crate::constants::{
    BANDWIDTH_HIGH, BANDWIDTH_LOW, BANDWIDTH_MEDIUM, HEADROOM_SHARE, PASS_GAP_MS, PASS_PERIOD_MS,
    SNAPSHOTS_KEPT, SNAPSHOT_PERIOD_S, THRESHOLDS,
};

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    unused_qualifications,
    reason = "made by build.rs from proto/operator.proto"
)]
mod generated {
    include!(concat!(env!("OUT_DIR"), "/generated/mod.rs"));
}
use generated::operator as proto;

/// Maximum of the `planner.pass_period_ms` setting, in milliseconds.
const PASS_PERIOD_MAX_MS: u64 = 60_000;

/// Shared bandwidth that a task uses per core, relative to the machine's bandwidth per core. All tasks of a
/// machine share its bandwidth; 1 means that a machine is saturated when all of its cores are taken.
pub type Bandwidth = f64;

/// The operators' settings, with defaults for all fields that the file leaves out.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Thresholds on the penalty factor that a planning pass tries for the reservation of the oldest waiting
    /// job, in ascending order; each is at least 1.
    pub thresholds: Vec<f64>,
    /// Maximum time between two planning passes, in milliseconds.
    pub pass_period_ms: u64,
    /// Shared bandwidth that a task uses, by class of jobs; the first entry of a class counts. A class without
    /// an entry has low bandwidth.
    pub class_bandwidth: Vec<(String, Bandwidth)>,
    /// Capacity kept free beyond what the waiting tasks need, as a share of the capacity in use; between 0
    /// and 1.
    pub headroom_share: f64,
    /// Seconds for which a machine may be idle before it is returned. None: the boot time of its type.
    pub idle_return_s: Option<f64>,
    /// Whether spot machines may be rented at all.
    pub rent_spot: bool,
    /// Recovery after a loss of the state service's data.
    pub recovery: RecoverySettings,
}

/// What happens after a rebuild to jobs that may have ended in the lost part of the history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum GapPolicy {
    /// The jobs are flagged and wait for an operator's decision.
    #[default]
    Hold,
    /// The jobs continue in their last known state.
    Release,
}

/// Recovery after a loss of the state service's data.
#[derive(Debug, Clone, Default)]
pub struct RecoverySettings {
    /// Whether a data loss is detected and the store rebuilt.
    pub enabled: bool,
    /// What happens to jobs that may have ended in the lost part of the history.
    pub gap_policy: GapPolicy,
    /// Snapshot files of the store; none: no snapshots are written or read.
    pub snapshots: Option<SnapshotSettings>,
}

/// Where, how often and how many snapshot files are written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// Directory of the files.
    pub directory: std::path::PathBuf,
    /// Seconds between two snapshots.
    pub period_s: u64,
    /// Number of snapshots kept; older ones are deleted.
    pub kept: usize,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            thresholds: THRESHOLDS.to_vec(),
            pass_period_ms: PASS_PERIOD_MS,
            class_bandwidth: Vec::new(),
            headroom_share: HEADROOM_SHARE,
            idle_return_s: None,
            rent_spot: true,
            recovery: RecoverySettings::default(),
        }
    }
}

impl Operator {
    /// Parses and validates the operators' protobuf text, and sets missing fields to their defaults.
    pub fn parse(text: &str) -> Result<Operator, SettingsProblem> {
        let message: proto::Operator = protobuf::text_format::parse_from_str(text)?;
        validate_planner(message.planner.get_or_default())?;
        validate_fleet(message.fleet.get_or_default())?;
        validate_recovery(message.recovery.get_or_default())?;
        Ok(Operator::from_message(&message))
    }

    /// Converts a validated message.
    fn from_message(message: &proto::Operator) -> Operator {
        let defaults = Operator::default();
        let planner = message.planner.get_or_default();
        let fleet = message.fleet.get_or_default();
        Operator {
            thresholds: thresholds(planner).unwrap_or(defaults.thresholds),
            pass_period_ms: planner.pass_period_ms.unwrap_or(defaults.pass_period_ms),
            class_bandwidth: class_bandwidth(planner),
            headroom_share: fleet.headroom_share.unwrap_or(defaults.headroom_share),
            idle_return_s: fleet.idle_return_s,
            rent_spot: fleet.rent_spot.unwrap_or(defaults.rent_spot),
            recovery: RecoverySettings::from_message(message.recovery.get_or_default()),
        }
    }

    /// Shared bandwidth that a task of a job of this class uses per core.
    pub fn bandwidth(&self, class: &str) -> Bandwidth {
        let entry = self.class_bandwidth.iter().find(|(name, _)| name == class);
        entry.map_or(BANDWIDTH_LOW, |(_, bandwidth)| *bandwidth)
    }
}

impl RecoverySettings {
    fn from_message(message: &proto::Recovery) -> RecoverySettings {
        let gap_policy = match message.gap_policy() {
            proto::GapPolicy::HOLD => GapPolicy::Hold,
            proto::GapPolicy::RELEASE => GapPolicy::Release,
        };
        let snapshots = snapshot_directory(message).map(|directory| SnapshotSettings {
            directory: directory.into(),
            period_s: message.snapshot_period_s.unwrap_or(SNAPSHOT_PERIOD_S),
            kept: message.snapshots_kept.unwrap_or(SNAPSHOTS_KEPT) as usize,
        });
        RecoverySettings { enabled: message.enabled(), gap_policy, snapshots }
    }
}

fn validate_planner(planner: &proto::Planner) -> Result<(), SettingsProblem> {
    if planner.thresholds.iter().any(|factor| !(factor.is_finite() && *factor >= 1.0)) {
        return Err(SettingsProblem::invalid("planner.thresholds", "each must be at least 1"));
    }
    let allowed = PASS_GAP_MS..=PASS_PERIOD_MAX_MS;
    if planner.pass_period_ms.is_some_and(|period_ms| !allowed.contains(&period_ms)) {
        let reason = format!("must lie between {PASS_GAP_MS} and {PASS_PERIOD_MAX_MS}");
        return Err(SettingsProblem::invalid("planner.pass_period_ms", reason));
    }
    if !planner.duty_bandwidth.is_empty() {
        log::warn!("setting renamed: planner.duty_bandwidth is now called class_bandwidth");
    }
    Ok(())
}

fn validate_fleet(fleet: &proto::Fleet) -> Result<(), SettingsProblem> {
    if fleet.headroom_share.is_some_and(|share| !(0.0..=1.0).contains(&share)) {
        let reason = "must lie between 0 and 1";
        return Err(SettingsProblem::invalid("fleet.headroom_share", reason));
    }
    if fleet.idle_return_s.is_some_and(|idle_s| !(idle_s.is_finite() && idle_s >= 0.0)) {
        return Err(SettingsProblem::invalid("fleet.idle_return_s", "must not be negative"));
    }
    Ok(())
}

fn validate_recovery(recovery: &proto::Recovery) -> Result<(), SettingsProblem> {
    if recovery.snapshot_period_s == Some(0) {
        return Err(SettingsProblem::invalid("recovery.snapshot_period_s", "must be above 0"));
    }
    if recovery.snapshots_kept == Some(0) {
        return Err(SettingsProblem::invalid("recovery.snapshots_kept", "must be above 0"));
    }
    if snapshot_directory(recovery).is_some() && !recovery.enabled() {
        let reason = "needs recovery.enabled";
        return Err(SettingsProblem::invalid("recovery.snapshot_directory", reason));
    }
    Ok(())
}

/// The thresholds in ascending order; none if the message has none.
fn thresholds(planner: &proto::Planner) -> Option<Vec<f64>> {
    let mut thresholds = planner.thresholds.clone();
    thresholds.sort_by(f64::total_cmp);
    Some(thresholds).filter(|thresholds| !thresholds.is_empty())
}

/// Bandwidth by class. Entries of the field `class_bandwidth` precede those of its former name
/// `duty_bandwidth`, so that they take precedence.
fn class_bandwidth(planner: &proto::Planner) -> Vec<(String, Bandwidth)> {
    let current = planner.class_bandwidth.iter();
    let current = current.map(|entry| (entry.class().to_string(), entry.bandwidth()));
    let former = planner.duty_bandwidth.iter();
    let former = former.map(|entry| (entry.duty().to_string(), entry.bandwidth()));
    current.chain(former).map(|(class, bandwidth)| (class, bandwidth_of(bandwidth))).collect()
}

fn bandwidth_of(class: proto::BandwidthClass) -> Bandwidth {
    match class {
        proto::BandwidthClass::LOW => BANDWIDTH_LOW,
        proto::BandwidthClass::MEDIUM => BANDWIDTH_MEDIUM,
        proto::BandwidthClass::HIGH => BANDWIDTH_HIGH,
    }
}

/// Directory for snapshots; an empty name means that none are written.
fn snapshot_directory(recovery: &proto::Recovery) -> Option<&str> {
    recovery.snapshot_directory.as_deref().filter(|name| !name.is_empty())
}
