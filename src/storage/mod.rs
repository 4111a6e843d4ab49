//! What is stored and what is counted.
//!
//! [`records`] are the stored forms, [`replica`] is a controller's copy of the store,
//! [`adoption`] finds a place for what runs unrecorded, [`cluster`] is the leader's state on top of it, with every [`job`] and [`machine`], [`reservation`] is the table of
//! running tasks and estimated ends, [`budget`] keeps request rates, [`limits`] what the state service
//! allows, [`gangs`] what holds for tasks that run together.

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
