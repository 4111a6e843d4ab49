//! Controllers -> cloud.

use serde::{Deserialize, Serialize};

/// `GET /catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Every type that can be rented.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// A type by its name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.type_name == name)
    }

    /// Seconds that the slowest type takes to boot, as a rule.
    pub fn longest_boot_s(&self) -> f64 {
        self.machine_types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }
}

/// A machine type.
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

/// `POST /hosts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rent {
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

/// Names of machines: answer to a rental, body of a deletion.
#[derive(Debug, Serialize, Deserialize)]
pub struct Names {
    /// Names of machines.
    #[serde(rename = "steads")]
    pub machines: Vec<String>,
}

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
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

/// A listed machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Host {
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
    pub status: HostStatus,
    /// Seconds since the request, at the time that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

/// `GET /hosts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hosts {
    /// Machines in the order of their names.
    #[serde(rename = "steads")]
    pub machines: Vec<Host>,
    /// Whether the list goes on after the last of them.
    #[serde(default)]
    pub has_next: bool,
}

/// Path of a page of the list.
pub fn hosts_path(since: Option<&str>, limit: usize) -> String {
    match since {
        Some(s) => format!("/hosts?since={s}&limit={limit}"),
        None => format!("/hosts?limit={limit}"),
    }
}
