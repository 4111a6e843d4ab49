//! What a controller knows of the store, and what its leader builds on that.
//!
//! [`records`] are the stored forms and their keys, [`replica`] is a controller's copy of the store.
//! [`cluster`] is the leader's state on top of it, made of [`job`]s, [`machine`]s with the placements on
//! them, [`gangs`], and the stored groups of [`placement_group`] and [`done_tasks_group`].
//! [`reservation`] is the planner's table of running tasks and estimated ends, [`token_bucket`] keeps
//! request rates, [`limits`] is what the state service allows, and [`hashing`] makes runs repeatable.
//!
//! Nothing here does I/O or reads a clock: times are passed in, in milliseconds of the steady clock
//! unless a name says otherwise.

pub mod cluster;
pub mod done_tasks_group;
pub mod gangs;
pub mod hashing;
pub mod job;
pub mod limits;
pub mod machine;
pub mod placement_group;
pub mod replica;
pub mod reservation;
#[cfg(test)]
pub(crate) mod testing;
pub mod token_bucket;

pub use mountgap_records::records;
