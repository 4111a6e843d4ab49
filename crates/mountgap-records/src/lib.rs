//! The storage format of mountgap: what controllers keep in the state service.
//!
//! [`records`] has the keys and values, [`job`] the specification of a job, and [`resources`] amounts of
//! CPU, GPU and memory. The daemon and the other packages of the workspace share these definitions. This
//! package does no I/O and doesn't depend on the daemon.

pub mod constants;
pub mod job;
pub mod records;
pub mod resources;
