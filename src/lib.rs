//! mountgap: a cluster scheduler in one program.
//!
//! Several controllers run the same program, keep no disk and share one small
//! state service. The layers, from the outside in:
//!
//! * [`transport`]: sockets, HTTP, connections and deadlines;
//! * [`protocol`]: the messages of every interface, nothing else knows wire names;
//! * [`coordination`]: leadership, planning, machines, workers' commands, users' requests;
//! * [`storage`]: what is stored and what is counted;
//! * [`snapshots`]: the store's image in files, where operators want that.
//!
//! Beside them stand [`settings`], the two settings files; [`daemon`], the loop that joins the layers; and
//! [`cli`], the subcommands that ask a running controller.
//!
//! The core ([`coordination::Controller`]) does no I/O: commands go in, effects come
//! out, and time and randomness are passed in.

pub mod cli;
pub mod constants;
pub mod coordination;
pub mod daemon;
pub mod protocol;
pub mod settings;
pub mod snapshots;
pub mod storage;
pub mod transport;
