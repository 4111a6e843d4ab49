//! Constants of the program, each with its unit and, where needed, the reason for its value.
//!
//! Values that differ between deployments come from the settings, the catalog and the heartbeats instead.
//! Each module contains the constants of one subsystem. All are re-exported here, so that code refers to
//! them as `crate::constants::NAME`.

mod admission;
mod fleet;
mod gangs;
mod http;
mod leadership;
mod planning;
mod rebuild;
mod sockets;
mod state_service;
mod workers;

pub use admission::*;
pub use fleet::*;
pub use gangs::*;
pub use http::*;
pub use leadership::*;
pub use planning::*;
pub use rebuild::*;
pub use sockets::*;
pub use state_service::*;
pub use workers::*;

/// Milliseconds in a second, for the conversion of durations from the settings and from messages.
/// Internally, durations are whole milliseconds.
pub const MS_PER_S: f64 = 1000.0;
