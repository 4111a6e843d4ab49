//! A controller's replica of the store, and the leader's state of the cluster.
//!
//! [`records`] has the stored keys and values, and [`replica`] is a controller's copy of the store.
//! [`cluster`] is the state that a leader builds from it. It consists of [`job`]s, [`machine`]s with the
//! placements on them, [`gangs`], and the stored groups of [`placement_group`] and [`done_tasks_group`].
//! [`job_failures`] remembers where a job failed and [`machine_health`] what failed on a machine, with the delays
//! of [`backoff`].
//! [`reservation`] is the planner's table of running tasks and their estimated ends, [`token_bucket`]
//! limits request rates, [`limits`] has the limits of the state service, and [`hashing`] makes the
//! iteration order of hash maps repeatable.
//!
//! Nothing here does I/O or reads a clock: times are passed in, in milliseconds of the monotonic clock
//! unless a name says otherwise.

pub mod backoff;
pub mod cluster;
pub mod done_tasks_group;
pub mod gangs;
pub mod hashing;
pub mod job;
pub mod job_failures;
pub mod limits;
pub mod machine;
pub mod machine_health;
pub mod placement_group;
pub mod replica;
pub mod reservation;
#[cfg(test)]
pub(crate) mod testing;
pub mod token_bucket;

pub use mountgap_records::records;
