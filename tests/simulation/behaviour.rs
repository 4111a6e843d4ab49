//! A record of everything a run sends, to show that a change of the code changes no behaviour.
//!
//! Each message is hashed in order with its simulated time: every effect of a controller, whether or not the
//! network delivers it, every message that arrives, and every value that the state service stores. Log lines
//! are not messages and are left out, and so are answers to `/v1/status`.
//!
//! Where [`DIRECTORY_VAR`] names a directory, each world also writes a file there, a line a message, which
//! `scripts/check-behaviour` compares with that of another version.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Names a variable with the directory of the records.
const DIRECTORY_VAR: &str = "MOUNTGAP_BEHAVIOUR";
/// Set to anything, messages are written in full beside their hashes.
const BODIES_VAR: &str = "MOUNTGAP_BEHAVIOUR_BODIES";

/// Hashes what a world sends and, where asked to, writes it down.
pub struct Recorder {
    digest: Xxh3,
    messages: u64,
    file: Option<BufWriter<File>>,
    with_bodies: bool,
}

impl Recorder {
    /// The record of the next world of this thread, which is the thread of one test.
    pub fn new(seed: u64) -> Recorder {
        let directory = std::env::var_os(DIRECTORY_VAR);
        let file = directory.map(|directory| {
            let path = Path::new(&directory).join(file_name(seed));
            BufWriter::new(File::create_new(path).expect("a new file for each world"))
        });
        let with_bodies = std::env::var_os(BODIES_VAR).is_some();
        Recorder { digest: Xxh3::new(), messages: 0, file, with_bodies }
    }

    /// Takes down a message: what it is, without spaces at the ends, and its body.
    pub fn message(&mut self, now: u64, what: std::fmt::Arguments<'_>, body: &[u8]) {
        let what = what.to_string();
        self.digest.update(&now.to_le_bytes());
        self.digest.update(&(what.len() as u64).to_le_bytes());
        self.digest.update(what.as_bytes());
        self.digest.update(&(body.len() as u64).to_le_bytes());
        self.digest.update(body);
        self.messages += 1;
        let Some(file) = &mut self.file else { return };
        let (bytes, hash) = (body.len(), xxh3_64(body));
        write!(file, "{now} {what} {bytes} {hash:016x}").expect("written");
        if self.with_bodies {
            write!(file, " {}", body.escape_ascii()).expect("written");
        }
        writeln!(file).expect("written");
    }

    /// Hash of all messages so far, and their number.
    pub fn digest(&self) -> (u128, u64) {
        (self.digest.digest128(), self.messages)
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let (digest, messages) = self.digest();
        if let Some(file) = &mut self.file {
            writeln!(file, "end {messages} messages {digest:032x}").expect("written");
            file.flush().expect("written");
        }
    }
}

/// The test's name, the seed, and how many worlds of the seed the test has played before.
fn file_name(seed: u64) -> String {
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    thread_local!(static PLAYED: RefCell<BTreeMap<u64, u32>> = const { RefCell::new(BTreeMap::new()) });
    let before = PLAYED.with_borrow_mut(|played| {
        let count = played.entry(seed).or_default();
        *count += 1;
        *count - 1
    });
    let thread = std::thread::current();
    let test = thread.name().expect("threads of tests have names").replace("::", ".");
    format!("{test}.seed-{seed}.{before}")
}
