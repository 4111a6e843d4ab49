//! The cloud: a single machine type, rentals that always succeed, and an up-to-date list of machines.

use super::server::{body, path, Response};
use super::shared_state::{lock, Machine, PlatformState, Shared};
use super::worker;
use mountgap::transport::http::Request;
use serde_json::{json, Value};
use std::thread;
use std::time::Instant;

/// Zone of the machine type, and of machines rented without a zone.
const DEFAULT_ZONE: &str = "here";

/// Handles a request to the cloud.
pub fn handle(platform: &Shared, request: &Request) -> Response {
    match (request.method.as_str(), path(request)) {
        ("GET", "/catalog") => (200, catalog()),
        ("GET", "/hosts") => (200, lock(platform).list_machines()),
        ("POST", "/hosts") => (200, rent(platform, &body(request))),
        ("POST", "/hosts/delete") => (200, lock(platform).return_machines(&body(request))),
        _ => (404, json!({})),
    }
}

fn catalog() -> Value {
    json!({"builds": [{"sku": "small", "cores": 4.0, "gpus": 0.0, "ram_gb": 16.0,
        "local_gb": 50.0, "pull_gb_per_s": 1.0, "rate": 1.0, "low_price": 0.4,
        "ready_s": worker::STARTUP_S as f64, "yards": [DEFAULT_ZONE]}]})
}

/// Rents machines and starts a worker thread for each. A repeated request gets the same machines.
fn rent(platform: &Shared, body: &Value) -> Value {
    let request_id = body["hire"].as_str().unwrap_or_default();
    let mut locked = lock(platform);
    if let Some(names) = locked.rentals.get(request_id) {
        return json!({"steads": names});
    }
    let mut names = Vec::new();
    for _ in 0..body["number"].as_u64().unwrap_or(0) {
        let name = format!("n-{:06}", locked.next_number());
        let zone = body["yard"].as_str().unwrap_or(DEFAULT_ZONE).to_string();
        let spot = body["lendables"] == true;
        locked.machines.insert(name.clone(), Machine { zone, spot, rented_at: Instant::now() });
        let (platform, machine) = (platform.clone(), name.clone());
        thread::spawn(move || worker::run(&platform, &machine));
        names.push(name);
    }
    println!("rented: {}", names.join(", "));
    locked.rentals.insert(request_id.to_string(), names.clone());
    json!({"steads": names})
}

impl PlatformState {
    fn list_machines(&self) -> Value {
        let machines = self.machines.iter();
        let machines: Vec<Value> =
            machines.map(|(name, machine)| list_entry(name, machine)).collect();
        json!({"steads": machines, "has_next": false})
    }

    fn return_machines(&mut self, body: &Value) -> Value {
        let names = body["steads"].as_array().into_iter().flatten();
        for name in names.filter_map(Value::as_str) {
            println!("returned: {name}");
            self.machines.remove(name);
        }
        json!({})
    }
}

fn list_entry(name: &str, machine: &Machine) -> Value {
    let age_s = machine.rented_at.elapsed().as_secs_f64();
    let status = if age_s > worker::STARTUP_S as f64 { "running" } else { "starting" };
    json!({"uid": name, "build": "small", "yard": machine.zone, "lendables": machine.spot,
        "status": status, "age_s": age_s})
}
