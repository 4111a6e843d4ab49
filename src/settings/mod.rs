//! The two settings files: the platform's in JSON and the operators' in protobuf text format.
//!
//! Each file is parsed and then validated; an error contains the file, the field and the reason.
//! `mountgap check` prints both structures by their `Debug` output, so operators see the names of the types
//! and fields.

mod operator;
mod platform;

pub use operator::{Bandwidth, GapPolicy, Operator, RecoverySettings, SnapshotSettings};
pub use platform::{
    CloudLimits, MachineLimits, NextStateLimits, Objective, Params, Peer, Platform, Services,
    StateLimits, Team, Workers,
};

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct SettingsError {
    /// Path of the file as given on the command line.
    pub file: String,
    /// What is wrong with the file.
    pub problem: SettingsProblem,
}

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsProblem {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The text is not an `Operator` message (`proto/operator.proto`) in protobuf text format.
    #[error(transparent)]
    ProtobufText(#[from] protobuf::text_format::ParseError),
    /// The value of a field is not allowed.
    #[error("{field}: {reason}")]
    InvalidField {
        /// Path of the field in the file, with dots between its parts.
        field: &'static str,
        /// The rule that its value breaks.
        reason: String,
    },
}

impl SettingsProblem {
    fn invalid(field: &'static str, reason: impl Into<String>) -> SettingsProblem {
        SettingsProblem::InvalidField { field, reason: reason.into() }
    }
}

/// Reads the platform's file `config` and the operators' file; without the latter all defaults apply.
pub fn load(config: &str, operator: Option<&str>) -> Result<(Platform, Operator), SettingsError> {
    let platform = read(config, Platform::parse)?;
    let operator = match operator {
        Some(file) => read(file, Operator::parse)?,
        None => Operator::default(),
    };
    Ok((platform, operator))
}

fn read<T>(file: &str, parse: fn(&str) -> Result<T, SettingsProblem>) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(SettingsProblem::from);
    let settings = text.and_then(|text| parse(&text));
    settings.map_err(|problem| SettingsError { file: file.to_string(), problem })
}
