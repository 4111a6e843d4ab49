//! Recovery of mountgap's state after a data loss of the state service.
//!
//! The state service is the only place where controllers store state. When it comes back empty or
//! restored from an older backup, this crate detects the loss by comparing the store with what a
//! controller has read before ([`audit`]), merges what the controllers and the snapshots still hold
//! ([`merged_state`]), and plans the conditional transactions that write it back ([`write_back`]).
//!
//! The crate does no I/O and uses neither clocks nor randomness: the caller passes in what it has
//! read and sends the transactions that it gets. So programs that embed the scheduler can use it
//! too.

pub mod audit;
pub mod constants;
pub mod image;
pub mod merged_state;
pub mod snapshot;
pub mod write_back;
