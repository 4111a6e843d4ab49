//! Rebuilding mountgap's state after the state service has lost it.
//!
//! The state service is the only place where controllers keep state. When it comes back empty, or
//! with an older backup, this package tells that from what a controller has read before
//! ([`audit`]), puts together what the controllers and snapshots still hold ([`merged_state`]), and gives
//! the conditional transactions that write it back ([`write_back`]).
//!
//! There is no I/O here, and neither clock nor randomness: the daemon passes in what it reads and
//! sends what it is given. Programs that embed the scheduler can do the same.

pub mod audit;
pub mod constants;
pub mod image;
pub mod merged_state;
pub mod snapshot;
pub mod write_back;
