//! Sockets and HTTP: the only layer that does I/O.

pub mod counts;
pub mod http;
pub mod net;
pub mod readiness;
