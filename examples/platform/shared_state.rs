//! State of the platform stand-in: the store, the machines, and the tasks of gangs that have arrived at workers.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The state, shared by all threads.
pub type Shared = Arc<Mutex<PlatformState>>;

/// State of the state service, the cloud and the workers.
#[derive(Default)]
pub struct PlatformState {
    pub store: Store,
    /// The store as of the last backup.
    pub backup: Store,
    pub leases: HashMap<u64, Lease>,
    /// Names of the machines of each rental, by request id: a repeated request gets the same machines.
    pub rentals: HashMap<String, Vec<String>>,
    pub machines: BTreeMap<String, Machine>,
    last_number: u64,
    /// How often each task has been started.
    pub starts: BTreeMap<String, u32>,
    /// Addresses of the controllers.
    pub controllers: Vec<String>,
    /// Address that workers give for direct commands.
    pub worker_address: String,
    /// Attempts of gangs, by job id and number of the attempt.
    pub gangs: HashMap<(String, u64), GangAttempt>,
}

/// Keys with their values, and the history of changes.
#[derive(Default, Clone)]
pub struct Store {
    pub keys: BTreeMap<String, StoredValue>,
    pub revision: u64,
    pub changes: Vec<Change>,
}

/// The value of a key, with its metadata.
#[derive(Clone)]
pub struct StoredValue {
    pub value: Value,
    pub mod_revision: u64,
    /// The lease that the key belongs to, if any: the key is removed when the lease ends.
    pub lease_id: Option<u64>,
}

/// A change of a key; without a value the key was removed.
#[derive(Clone)]
pub struct Change {
    pub revision: u64,
    pub key: String,
    pub value: Option<Value>,
}

/// A lease: unless it is renewed, it ends and its keys are removed.
pub struct Lease {
    pub duration: Duration,
    pub expires_at: Instant,
}

impl Lease {
    pub fn new(duration: Duration) -> Lease {
        Lease { duration, expires_at: Instant::now() + duration }
    }
}

/// A rented machine.
#[derive(Clone)]
pub struct Machine {
    pub zone: String,
    pub spot: bool,
    pub rented_at: Instant,
}

/// An attempt of a gang.
#[derive(Default)]
pub struct GangAttempt {
    /// Tasks that have arrived at their workers.
    pub tasks: BTreeSet<String>,
    /// When the last task arrived; `None` while one is missing.
    pub complete_since: Option<Instant>,
}

/// What workers give for an address: these take no direct commands.
const NO_ADDRESS: &str = "-";

impl PlatformState {
    /// Creates an empty state; the workers report to these controllers.
    pub fn new(controllers: Vec<String>) -> PlatformState {
        let worker_address = NO_ADDRESS.into();
        PlatformState { controllers, worker_address, ..PlatformState::default() }
    }

    /// A new number for a lease or a machine; never repeated.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Locks the state.
pub fn lock(platform: &Shared) -> MutexGuard<'_, PlatformState> {
    platform.lock().expect("no thread panics while it holds the lock")
}
