//! Records all messages of a run, to verify that a change of the code changes no behaviour.
//!
//! Messages are hashed in order, each with its simulated time: every effect of a controller, whether or not the
//! network delivers it, every message that arrives, and every value that the state service stores. Log lines
//! and responses to `/v1/status` are not recorded.
//!
//! If [`DIRECTORY_VAR`] names a directory, each simulation also writes a file there with one line per message.
//! `scripts/check-behaviour` compares these files between two versions.

use super::network::{ControllerRequest, HeartbeatResponse, Message};
use super::Simulation;
use mountgap::coordination::Effect;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Environment variable with the directory for the files.
const DIRECTORY_VAR: &str = "MOUNTGAP_BEHAVIOUR";
/// Environment variable that adds the bodies of messages to the files; any value enables it.
const BODIES_VAR: &str = "MOUNTGAP_BEHAVIOUR_BODIES";

/// Hashes the messages of a simulation and optionally writes them to a file.
pub struct Recorder {
    digest: Xxh3,
    messages: u64,
    file: Option<BufWriter<File>>,
    with_bodies: bool,
}

impl Recorder {
    /// A recorder for the next simulation of this thread. Each test runs on its own thread.
    pub fn new(seed: u64) -> Recorder {
        let directory = std::env::var_os(DIRECTORY_VAR);
        let file = directory.map(|directory| {
            let path = Path::new(&directory).join(file_name(seed));
            BufWriter::new(File::create_new(path).expect("a new file for each simulation"))
        });
        let with_bodies = std::env::var_os(BODIES_VAR).is_some();
        Recorder { digest: Xxh3::new(), messages: 0, file, with_bodies }
    }

    /// Records a message: a description without spaces at its ends, and the body.
    pub fn record(&mut self, now: u64, what: std::fmt::Arguments<'_>, body: &[u8]) {
        let what = what.to_string();
        self.digest.update(&now.to_le_bytes());
        self.digest.update(&(what.len() as u64).to_le_bytes());
        self.digest.update(what.as_bytes());
        self.digest.update(&(body.len() as u64).to_le_bytes());
        self.digest.update(body);
        self.messages += 1;
        let Some(file) = &mut self.file else { return };
        let (bytes, hash) = (body.len(), xxh3_64(body));
        write!(file, "{now} {what} {bytes} {hash:016x}").expect("the file is writable");
        if self.with_bodies {
            write!(file, " {}", body.escape_ascii()).expect("the file is writable");
        }
        writeln!(file).expect("the file is writable");
    }

    /// Hash and number of the messages so far.
    pub fn digest(&self) -> (u128, u64) {
        (self.digest.digest128(), self.messages)
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let (digest, messages) = self.digest();
        if let Some(file) = &mut self.file {
            writeln!(file, "end {messages} messages {digest:032x}").expect("the file is writable");
            file.flush().expect("the file is writable");
        }
    }
}

/// File name: name of the test, seed, and number of earlier simulations with this seed in the test.
fn file_name(seed: u64) -> String {
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    thread_local!(static RUNS: RefCell<BTreeMap<u64, u32>> = const { RefCell::new(BTreeMap::new()) });
    let earlier_runs = RUNS.with_borrow_mut(|runs| {
        let count = runs.entry(seed).or_default();
        *count += 1;
        *count - 1
    });
    let thread = std::thread::current();
    let test = thread.name().expect("test threads have names").replace("::", ".");
    format!("{test}.seed-{seed}.{earlier_runs}")
}

impl Simulation {
    /// Records an effect of a controller.
    pub(super) fn record_effect(&mut self, node: usize, effect: &Effect) {
        match effect {
            Effect::Respond { connection, status, retry_after_s, body } => {
                let what = format_args!("c-{node} answers {connection} {status} {retry_after_s:?}");
                self.recorder.record(self.now, what, body);
            }
            Effect::Call { id, service, method, path, body, timeout_ms } => {
                let what =
                    format_args!("c-{node} calls {id} {service:?} {method} {path} {timeout_ms}");
                self.recorder.record(self.now, what, body);
            }
        }
    }

    /// Records a message that arrives. Bodies of controllers' requests are recorded when they are sent.
    pub(super) fn record_arrival(&mut self, message: &Message) {
        let now = self.now;
        match message {
            Message::Reply { node, incarnation, call, status, body } => {
                let what =
                    format_args!("reply to c-{node} life {incarnation} call {call} {status}");
                self.recorder.record(now, what, body);
            }
            Message::Heartbeat { worker, request, node, body } => {
                let what = format_args!("report {request} of {worker} to c-{node}");
                self.recorder.record(now, what, body);
            }
            Message::HeartbeatResponse(response) => self.record_response("answer", response),
            Message::HeartbeatResponseCopy(copy) => self.record_response("copy of answer", copy),
            Message::UserRequest { request, node, method, path, body } => {
                let what = format_args!("user's request {request} to c-{node} {method} {path}");
                self.recorder.record(now, what, body);
            }
            Message::UserResponse { request, status, body } => {
                let what = format_args!("answer to user's request {request} {status}");
                self.recorder.record(now, what, body);
            }
            Message::StateRequest(request) | Message::CloudRequest(request) => {
                let ControllerRequest { node, incarnation, call, method, path, .. } = request;
                let what =
                    format_args!("c-{node} life {incarnation} call {call} {method} {path} arrives");
                self.recorder.record(now, what, &[]);
            }
            Message::PeerRequest { to, request } => {
                let ControllerRequest { node, incarnation, call, path, .. } = request;
                let what = format_args!(
                    "c-{node} life {incarnation} call {call} {path} arrives at c-{to}"
                );
                self.recorder.record(now, what, &[]);
            }
        }
    }

    fn record_response(&mut self, what: &str, response: &HeartbeatResponse) {
        let HeartbeatResponse { worker, request, status, body } = response;
        let what = format_args!("{what} to report {request} of {worker} {status}");
        self.recorder.record(self.now, what, body);
    }

    /// Records the changes that the state service has made since the last call.
    pub(super) fn record_stored(&mut self) {
        let recorded = self.state.recorded_revision.min(self.state.revision);
        let from = self.state.history.partition_point(|(rev, _, _)| *rev <= recorded);
        for (rev, key, value) in &self.state.history[from..] {
            let (what, value) = match value {
                Some(value) => ("stored", value.to_string()),
                None => ("removed", String::new()),
            };
            let what = format_args!("{what} {key} {rev}");
            self.recorder.record(self.now, what, value.as_bytes());
        }
        self.state.recorded_revision = self.state.revision;
    }
}
