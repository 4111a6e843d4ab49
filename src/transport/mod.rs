//! Sockets and HTTP: the only layer that does network I/O.
//!
//! [`Transport`] owns every socket of the process and is driven by one thread:
//!
//! * `listeners`: where others connect;
//! * `connection`: one connection with its buffers, whoever opened it;
//! * `inbound`: admission of connections, requests that come in, and their answers;
//! * `outbound`: calls, and the connections that are kept for them;
//! * `deadlines`: what is closed, refused or given up because of the time.

mod connection;
pub mod counts;
mod deadlines;
pub mod http;
mod inbound;
mod listeners;
pub mod messages;
pub mod net;
mod outbound;
pub mod readiness;

pub use messages::{Call, CallId, ConnectionId, Incoming, Origin, Target};
pub use net::Transport;
