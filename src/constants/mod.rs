//! Every constant of the program, each with its unit and its reason.
//!
//! What a deployment can differ in comes from the settings, the catalogue and the
//! reports; these are the project's own choices. Each module holds the constants of one
//! subsystem and is re-exported here, so that all of them are named `crate::constants::NAME`.

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

/// Milliseconds in a second; durations inside the program are whole milliseconds.
pub const MS_PER_S: f64 = 1000.0;
