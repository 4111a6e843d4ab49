//! The two settings files: the platform's JSON and the operators' protobuf text.
//!
//! Each file is parsed first and validated then; an error names the file, the field and the reason.
//! `mountgap check` prints both structures as they are, so operators see the names of their types and
//! fields.

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
    /// The file as given on the command line.
    pub file: String,
    /// What is wrong with it.
    pub problem: SettingsProblem,
}

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsProblem {
    /// It can't be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// It is not JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not protobuf text of the operators' message.
    #[error(transparent)]
    ProtobufText(#[from] protobuf::text_format::ParseError),
    /// A field has a value that is not allowed.
    #[error("{field}: {reason}")]
    InvalidField {
        /// Path of the field within the file.
        field: &'static str,
        /// What its value must be.
        reason: String,
    },
}

impl SettingsProblem {
    fn invalid(field: &'static str, reason: impl Into<String>) -> SettingsProblem {
        SettingsProblem::InvalidField { field, reason: reason.into() }
    }
}

/// Reads both files; without an operators' file every default holds.
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
