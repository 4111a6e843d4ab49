//! The subcommands that query a running controller: their requests and the text of their output.
//!
//! This module neither prints nor ends the process; `main.rs` handles arguments, output and exit codes.

mod client;
pub mod recovery;
pub mod status;

pub use client::ClientError;
