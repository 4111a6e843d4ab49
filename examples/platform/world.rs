//! What the stand-in holds: the store, machines, and what workers know of each other's tasks.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The world, shared by the threads that serve it.
pub type Shared = Arc<Mutex<World>>;

/// The state service, the cloud and the workers' side of the controllers.
#[derive(Default)]
pub struct World {
    pub store: Store,
    /// What the store held when the last backup was taken.
    pub backup: Store,
    pub leases: HashMap<u64, Lease>,
    /// Names of the machines that a rental got, by its id: a repeat gets the same.
    pub rentals: HashMap<String, Vec<String>>,
    pub machines: BTreeMap<String, Machine>,
    last_number: u64,
    /// How often each task was started.
    pub starts: BTreeMap<String, u32>,
    /// Addresses of the controllers.
    pub controllers: Vec<String>,
    /// Attempts of gangs, by job and number of the attempt.
    pub gangs: HashMap<(String, u64), GangAttempt>,
}

/// Keys with their values, and all changes.
#[derive(Default, Clone)]
pub struct Store {
    pub keys: BTreeMap<String, StoredValue>,
    pub revision: u64,
    pub changes: Vec<Change>,
}

/// The value of a key.
#[derive(Clone)]
pub struct StoredValue {
    pub value: Value,
    pub mod_revision: u64,
    /// The lease with which the key ends, if any.
    pub lease_id: Option<u64>,
}

/// A change of a key; without a value it was removed.
#[derive(Clone)]
pub struct Change {
    pub revision: u64,
    pub key: String,
    pub value: Option<Value>,
}

/// A lease with which keys end unless it is renewed.
pub struct Lease {
    pub life: Duration,
    pub ends_at: Instant,
}

impl Lease {
    pub fn new(life: Duration) -> Lease {
        Lease { life, ends_at: Instant::now() + life }
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
    /// Tasks that are there.
    pub tasks: BTreeSet<String>,
    /// When the last of them came.
    pub complete_at: Option<Instant>,
}

impl World {
    /// A world whose workers report to these controllers.
    pub fn new(controllers: Vec<String>) -> World {
        World { controllers, ..World::default() }
    }

    /// A number that was not given before, for leases and machines.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Locks the world.
pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().expect("no thread panics while it holds the world")
}
