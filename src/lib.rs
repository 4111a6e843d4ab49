//! mountgap: a cluster scheduler in a single binary.
//!
//! Several redundant controllers run this binary. They share one small state service, elect a leader
//! and need no local disk. The layers, from the outside in:
//!
//! * [`transport`]: sockets, HTTP, connections and deadlines;
//! * [`protocol`]: the messages of every interface; only this layer knows the names on the wire;
//! * [`coordination`]: leadership, planning, machines, commands to workers, users' requests;
//! * [`storage`]: the local replica of the store and the state of the cluster derived from it;
//! * [`snapshots`]: optional snapshot files of the store, for recovery after a data loss.
//!
//! Other modules: [`settings`] reads the two settings files, [`constants`] holds the tuning constants,
//! [`daemon`] is the event loop that connects the layers, and [`cli`] has the subcommands that query a
//! running controller.
//!
//! The core ([`coordination::Controller`]) does no I/O: it takes commands and returns effects, and
//! time and randomness are passed in.

pub mod cli;
pub mod constants;
pub mod coordination;
pub mod daemon;
pub mod protocol;
pub mod settings;
pub mod snapshots;
pub mod storage;
pub mod transport;
