//! Controllers -> cloud ("Controller nodes -> cloud" of the protocol): the catalog, renting, returning and
//! listing machines.

use super::Resources;
use serde::{Deserialize, Serialize};

/// What can be rented ("GET /catalog" of the protocol).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Every type that can be rented.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// A type by its name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|machine_type| machine_type.type_name == name)
    }

    /// Seconds that the slowest type takes to boot, as a rule.
    pub fn longest_boot_s(&self) -> f64 {
        self.machine_types.iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max)
    }
}

/// A machine type ("GET /catalog" of the protocol).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub type_name: String,
    /// Cores of a machine.
    pub cores: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Gigabytes of memory of a machine.
    pub ram_gb: f64,
    /// Gigabytes of images that a machine keeps.
    #[serde(default)]
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    #[serde(default)]
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an hour.
    pub rate: f64,
    /// Price of an hour of a spot machine; 0: not to be had.
    #[serde(default)]
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Seconds from the request until a machine is up, as a rule.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Zones in which it can be rented.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// What a machine of this type has for tasks.
    pub fn total(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.ram_gb)
    }
}

/// Rents machines ("POST /hosts" of the protocol); a repeat with the same id rents nothing more.
#[derive(Debug, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request, never used again.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Type to rent.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone to rent in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are asked for.
    #[serde(rename = "lendables")]
    pub spot: bool,
    /// Machines asked for.
    pub number: usize,
}

/// Names of machines: the answer to a rental ("POST /hosts" of the protocol), and the request that returns
/// them ("POST /hosts/delete").
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of machines.
    #[serde(rename = "steads")]
    pub machines: Vec<String>,
}

/// State of a machine in the list ("GET /hosts" of the protocol).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineStatus {
    /// Rented, not yet up.
    Starting,
    /// Up, or not known to be down.
    Running,
    /// Stopped on its own; nothing runs there.
    Failed,
    /// A state of a later protocol.
    #[serde(other)]
    Unknown,
}

/// A machine in the list ("GET /hosts" of the protocol).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub uid: String,
    /// Where its worker takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "lendables")]
    pub spot: bool,
    /// Its state.
    pub status: ListedMachineStatus,
    /// Seconds since the request, at the time that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the list of machines ("GET /hosts" of the protocol).
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their names.
    #[serde(rename = "steads")]
    pub machines: Vec<ListedMachine>,
    /// Whether the list goes on after the last of them.
    #[serde(default)]
    pub has_next: bool,
}

/// Path of a page of the list: at most `limit` machines after the one named `since`.
pub fn machine_list_path(since: Option<&str>, limit: usize) -> String {
    match since {
        Some(since) => format!("/hosts?since={since}&limit={limit}"),
        None => format!("/hosts?limit={limit}"),
    }
}
