//! The subcommands that ask a running controller: what they send, and the text that they print.
//!
//! Nothing here prints or ends the process; arguments and exit codes are `main.rs`'s.

mod client;
pub mod recovery;
pub mod status;

pub use client::ClientError;
