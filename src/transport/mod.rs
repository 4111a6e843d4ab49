//! Sockets and HTTP: the only layer that does network I/O.
//!
//! [`Transport`] owns all sockets of the process and is driven by a single thread:
//!
//! * `listeners`: the listening sockets;
//! * `connection`: one connection with its buffers, inbound or outbound;
//! * `inbound`: accepting connections, reading requests and sending responses;
//! * `outbound`: calls and the pools of connections that carry them;
//! * `deadlines`: timeouts of connections, requests and calls.

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
