//! Controllers -> cloud.

use serde::{Deserialize, Serialize};

/// `GET /catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub type_name: String,
    pub cores: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(default)]
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    #[serde(default)]
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    pub rate: f64,
    #[serde(default)]
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// `POST /hosts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rent {
    #[serde(rename = "hire")]
    pub request_id: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "lendables")]
    pub spot: bool,
    pub number: usize,
}

/// Names of machines: answer to a rental, body of a deletion.
#[derive(Debug, Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "steads")]
    pub machines: Vec<String>,
}

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    Starting,
    Running,
    Failed,
    #[serde(other)]
    Unknown,
}

/// A listed machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Host {
    pub uid: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "lendables")]
    pub spot: bool,
    pub status: HostStatus,
    #[serde(default)]
    pub age_s: f64,
}

/// `GET /hosts`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hosts {
    #[serde(rename = "steads")]
    pub machines: Vec<Host>,
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
