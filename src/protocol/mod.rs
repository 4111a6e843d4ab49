//! The messages of every interface. Nothing outside this module knows wire names.

pub mod cloud;
pub mod http;
pub mod peers;
pub mod recovery;
pub mod routes;
pub mod state;
pub mod users;
pub mod workers;

pub use mountgap_records::job::parse_task;
pub use mountgap_records::resources::{Resources, MILLI_PER_UNIT};
