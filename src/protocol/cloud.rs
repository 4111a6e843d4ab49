//! Requests of controllers to the cloud: the catalog of machine types, and renting, returning and listing
//! machines.

use super::Resources;
use serde::{Deserialize, Serialize};

/// The machine types that can be rented (`GET /catalog`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// Finds a machine type by name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|machine_type| machine_type.type_name == name)
    }

    /// Typical boot time in seconds of the machine type that boots slowest; 0 without any type.
    pub fn longest_boot_s(&self) -> f64 {
        self.machine_types.iter().map(|machine_type| machine_type.boot_s).fold(0.0, f64::max)
    }
}

/// A machine type (`GET /catalog`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub type_name: String,
    /// Number of cores.
    pub cores: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub ram_gb: f64,
    /// Size in gigabytes of the machine's image cache; 0 if unknown.
    #[serde(default)]
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate in gigabytes per second at which a machine fetches images; 0 if unknown.
    #[serde(default)]
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    pub rate: f64,
    /// Price per hour of a spot machine; 0 if the type is not offered as spot.
    #[serde(default)]
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Typical time in seconds from the rental request until the machine is up.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Resources that a machine of this type offers to tasks.
    pub fn total(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.ram_gb)
    }
}

/// Request to rent machines (`POST /hosts`). It is idempotent: repeating it with the same id rents no further
/// machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Id of the request, chosen by the controller; must not be reused for another request.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone in which to rent the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines instead of on-demand ones.
    #[serde(rename = "lendables")]
    pub spot: bool,
    /// Number of machines to rent.
    pub number: usize,
}

/// Names of machines: the response to a rental request (`POST /hosts`), and the body of the request that
/// returns machines (`POST /hosts/delete`).
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "steads")]
    pub machines: Vec<String>,
}

/// State of a machine according to the cloud's list (`GET /hosts`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineStatus {
    /// Rented, but not up yet.
    Starting,
    /// Up, as far as the cloud knows.
    Running,
    /// Stopped without having been returned; no task runs on it.
    Failed,
    /// A state added by a later protocol version.
    #[serde(other)]
    Unknown,
}

/// An entry of the cloud's list of machines (`GET /hosts`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub uid: String,
    /// Address at which the machine's worker accepts direct commands; empty if not given.
    #[serde(default)]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "lendables")]
    pub spot: bool,
    /// State of the machine.
    pub status: ListedMachineStatus,
    /// Seconds from the rental request to the time that the list describes; 0 if not given.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines (`GET /hosts`).
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, sorted by name.
    #[serde(rename = "steads")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more machines after the last one of this page.
    #[serde(default)]
    pub has_next: bool,
}

/// Path of a page of the list: at most `limit` machines after the one named `since`, or from the first one on.
pub fn machine_list_path(since: Option<&str>, limit: usize) -> String {
    match since {
        Some(since) => format!("/hosts?since={since}&limit={limit}"),
        None => format!("/hosts?limit={limit}"),
    }
}
