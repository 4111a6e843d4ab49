//! The messages of every interface; no other module knows the names on the wire.
//!
//! The interfaces to users, workers, the state service and the cloud are specified outside this
//! project. Serde attributes map the names used here to those on the wire, and a call such as
//! `POST /checkin` in a comment names the request that a type belongs to.

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
