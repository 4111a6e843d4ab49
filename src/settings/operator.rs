//! The operators' own settings, in protobuf text; every field has a default.

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

/// Longest time between two planning passes that may be set, in milliseconds.
const PASS_PERIOD_MAX_MS: u64 = 60_000;

/// Share of a core's bandwidth that a core of a task takes of what all tasks of a machine share.
pub type Bandwidth = f64;

/// The operators' settings with every default filled in.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Penalty factors that a pass tries, in rising order.
    pub thresholds: Vec<f64>,
    /// Milliseconds between two planning passes.
    pub pass_period_ms: u64,
    /// Shared bandwidth that a core of a task takes, by class.
    pub class_bandwidth: Vec<(String, Bandwidth)>,
    /// Share of the machines in use that is kept free.
    pub headroom_share: f64,
    /// None: as long as a boot takes, by type.
    pub idle_return_s: Option<f64>,
    /// Whether spot machines are rented at all.
    pub rent_spot: bool,
    /// What is done when the state service has lost its data.
    pub recovery: RecoverySettings,
}

/// What is done with jobs that may have ended in the part of the history that is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum GapPolicy {
    /// They wait for an operator.
    #[default]
    Hold,
    /// They go on as they were last known.
    Release,
}

/// What is done when the state service has lost its data.
#[derive(Debug, Clone, Default)]
pub struct RecoverySettings {
    /// Whether a loss is noticed and the store rebuilt.
    pub enabled: bool,
    /// What is done with jobs that may have ended in the part of the history that is lost.
    pub gap_policy: GapPolicy,
    /// Where snapshots are kept, if any are.
    pub snapshots: Option<SnapshotSettings>,
}

/// Where snapshots are kept, and how many.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The directory.
    pub directory: std::path::PathBuf,
    /// Seconds between two of them.
    pub period_s: u64,
    /// How many are kept.
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
    /// Parses and validates the operators' protobuf text, and fills in what it leaves out.
    pub fn parse(text: &str) -> Result<Operator, SettingsProblem> {
        let message: proto::Operator = protobuf::text_format::parse_from_str(text)?;
        validate_planner(message.planner.get_or_default())?;
        validate_fleet(message.fleet.get_or_default())?;
        validate_recovery(message.recovery.get_or_default())?;
        Ok(Operator::from_message(&message))
    }

    /// Takes over a message that was validated.
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

    /// What a core of a task of this class takes of a core's bandwidth.
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
        log::warn!("planner.duty_bandwidth is now called class_bandwidth");
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

/// The penalty factors in rising order, if any are given.
fn thresholds(planner: &proto::Planner) -> Option<Vec<f64>> {
    let mut thresholds = planner.thresholds.clone();
    thresholds.sort_by(f64::total_cmp);
    Some(thresholds).filter(|thresholds| !thresholds.is_empty())
}

/// Entries under the present name come first, so they win over those under the former one.
fn class_bandwidth(planner: &proto::Planner) -> Vec<(String, Bandwidth)> {
    let present = planner.class_bandwidth.iter();
    let present = present.map(|entry| (entry.class().to_string(), entry.bandwidth()));
    let former = planner.duty_bandwidth.iter();
    let former = former.map(|entry| (entry.duty().to_string(), entry.bandwidth()));
    present.chain(former).map(|(class, bandwidth)| (class, bandwidth_of(bandwidth))).collect()
}

fn bandwidth_of(class: proto::BandwidthClass) -> Bandwidth {
    match class {
        proto::BandwidthClass::LOW => BANDWIDTH_LOW,
        proto::BandwidthClass::MEDIUM => BANDWIDTH_MEDIUM,
        proto::BandwidthClass::HIGH => BANDWIDTH_HIGH,
    }
}

/// Where snapshots are to be kept; an empty name is none.
fn snapshot_directory(recovery: &proto::Recovery) -> Option<&str> {
    recovery.snapshot_directory.as_deref().filter(|name| !name.is_empty())
}
