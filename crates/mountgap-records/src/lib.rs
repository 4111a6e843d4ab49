//! The stored forms of mountgap: what controllers keep in the state service.
//!
//! [`records`] are the keys and values, [`job`] the description of a job, [`resources`] what a task takes
//! or a machine has. The daemon and the packages beside it read and write the same keys and values; this package
//! holds them, without I/O and without anything of the daemon.

pub mod constants;
pub mod job;
pub mod records;
pub mod resources;
