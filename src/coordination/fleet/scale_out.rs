//! Scaling out: machines are rented for tasks without a place and for services to come.

mod rental_plan;

use super::unplaced::UnplacedTasks;
use super::MachineKind;
use crate::constants::{
    BOOT_LATE, CAPACITY_BACKOFF_MS, CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, MS_PER_S,
    RENTAL_MACHINES_MAX,
};
use crate::coordination::outbox::CallPurpose;
use crate::coordination::rental::{CatalogKind, Rental};
use crate::coordination::{Controller, Leader, Service};
use crate::protocol::cloud::{Catalog, MachineNames, RentalRequest};
use crate::protocol::http::Response;
use crate::storage::machine::MachineState;
use crate::storage::records::MachineName;
use rental_plan::{ComingMachine, RentalPlan};

/// Machines of one kind that are wanted.
struct WantedMachines {
    kind: CatalogKind,
    count: usize,
}

impl Controller {
    /// Rents what the work that waits and the services to come need beyond what is there and on its
    /// way.
    pub(super) fn rent_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_ref() else { return };
        if !leader.fleet.has_complete_list || now < leader.fleet.next_rental_at {
            return;
        }
        let mut plan = RentalPlan::new(leader, &catalog, self.operator.rent_spot, now);
        for tasks in &leader.scale_out_demand(now, &catalog) {
            plan.provide_for(tasks);
        }
        let wanted = plan.into_wanted();
        for rental in self.rentals_within_budget(wanted) {
            self.send_rental(rental, &catalog);
        }
    }

    /// As many requests as it takes, a kind each in turn, as long as the cloud's rate allows.
    fn rentals_within_budget(&mut self, mut wanted: Vec<WantedMachines>) -> Vec<Rental> {
        let now = self.now.monotonic_ms;
        let mut rentals = Vec::new();
        let Some(leader) = self.leader.as_mut() else { return rentals };
        while let Some(first) = wanted.iter().position(|kind| kind.count > 0) {
            for WantedMachines { kind, count: left } in &mut wanted[first..] {
                let count = (*left).min(RENTAL_MACHINES_MAX);
                if count == 0 {
                    continue;
                }
                if !self.cloud.take_request(1.0, now) {
                    *left = 0;
                    continue;
                }
                *left -= count;
                let request_id = format!("mg-{}", leader.next_unique_number());
                rentals.push(Rental { request_id, kind: kind.clone(), count });
            }
        }
        rentals
    }

    fn send_rental(&mut self, rental: Rental, catalog: &Catalog) {
        let type_name = &catalog.machine_types[rental.kind.type_index].type_name;
        log::info!(
            "rents {} {} in {}{}",
            rental.count,
            type_name,
            rental.kind.zone,
            if rental.kind.spot { ", spot" } else { "" }
        );
        let body = RentalRequest {
            request_id: rental.request_id.clone(),
            machine_type: type_name.clone(),
            zone: rental.kind.zone.clone(),
            spot: rental.kind.spot,
            number: rental.count,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        if let Some(leader) = self.leader.as_mut() {
            leader.fleet.pending_rentals.push(rental.clone());
        }
        let purpose = CallPurpose::Rent(rental);
        self.call(Service::Cloud, "POST", "/hosts".into(), body, CLOUD_TIMEOUT_MS, purpose);
    }

    /// Takes in what the cloud answered to a rental.
    pub(in crate::coordination) fn on_rental_response(
        &mut self,
        rental: Rental,
        reply: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_mut() else { return };
        leader.fleet.pending_rentals.retain(|pending| pending.request_id != rental.request_id);
        let Some(machine_type) = catalog.machine_types.get(rental.kind.type_index) else {
            return;
        };
        let CatalogKind { zone, spot, .. } = rental.kind;
        let kind = MachineKind { type_name: machine_type.type_name.clone(), zone, spot };
        match reply {
            Some(Response { status: 200, body }) => {
                let Ok(names) = serde_json::from_slice::<MachineNames>(&body) else { return };
                if names.machines.len() < rental.count {
                    leader.fleet.no_capacity.insert(kind.clone(), now + CAPACITY_BACKOFF_MS);
                }
                leader.note_rented(&names, &kind, now);
            }
            Some(Response { status: 503, body })
                if String::from_utf8_lossy(&body).contains("capacity") =>
            {
                let MachineKind { type_name, zone, spot } = &kind;
                log::info!("no capacity for {type_name} in {zone}, spot {spot}");
                leader.fleet.no_capacity.insert(kind, now + CAPACITY_BACKOFF_MS);
            }
            // Perhaps carried out, perhaps later: what comes of it shows up in the list.
            _ => leader.fleet.next_rental_at = now + CLOUD_RETRY_BACKOFF_MS,
        }
    }
}

impl Leader {
    /// Takes machines that were just rented into the state.
    fn note_rented(&mut self, names: &MachineNames, kind: &MachineKind, now: u64) {
        for listed in &names.machines {
            if self.fleet.is_terminated(listed) {
                continue;
            }
            let name: MachineName = listed.as_str().into();
            let machine = self.cluster.machine_entry(&name, now);
            if machine.type_name.is_empty() {
                machine.type_name = kind.type_name.clone();
                machine.zone = kind.zone.clone();
                machine.spot = kind.spot;
                machine.rented_at = now;
            }
        }
    }

    /// Tasks that should find room on machines on their way or rented now, services first: they may
    /// not be able to use what the others get.
    fn scale_out_demand(&self, now: u64, catalog: &Catalog) -> Vec<UnplacedTasks> {
        let mut demand = self.fleet.unplaced.clone();
        demand.extend(self.missing_service_headroom(now, catalog));
        demand.sort_by_key(|tasks| (!tasks.is_service, tasks.spot_allowed));
        demand
    }

    /// What is missing of the room for services to come, on ordinary machines: room counts that is
    /// free now, or held by tasks that may be stopped for them.
    fn missing_service_headroom(&self, now: u64, catalog: &Catalog) -> Option<UnplacedTasks> {
        let headroom = self.service_headroom(now, catalog)?;
        let mut slots = 0.0;
        for machine in self.usable_ordinary_machines() {
            slots += self.cluster.room_for_services(machine).times(&headroom.need) as f64;
        }
        let missing = headroom.slots - slots;
        (missing > 0.0).then(|| UnplacedTasks {
            need: headroom.need,
            spot_allowed: false,
            is_service: true,
            allowed_types: vec![true; catalog.machine_types.len()],
            zone: None,
            slots: missing,
            ordinary_slots: missing,
            tasks_per_zone: vec![],
            max_tasks_per_zone: u32::MAX,
            whole_in_one_zone: false,
        })
    }

    /// Machines that boot and are not late, then those of rentals that are not answered yet.
    fn coming_machines(&self, now: u64, catalog: &Catalog) -> Vec<ComingMachine> {
        let mut coming = Vec::new();
        let type_index =
            |name: &str| catalog.machine_types.iter().position(|listed| listed.type_name == name);
        let machines = self.cluster.machines.values();
        for machine in machines.filter(|machine| machine.state == MachineState::Booting) {
            let Some(type_index) = type_index(&machine.type_name) else { continue };
            let age_s = now.saturating_sub(machine.rented_at) as f64 / MS_PER_S;
            if age_s <= catalog.machine_types[type_index].boot_s * BOOT_LATE {
                let (zone, spot) = (machine.zone.clone(), machine.spot);
                coming.push(ComingMachine::new(CatalogKind { type_index, zone, spot }, catalog));
            }
        }
        for rental in &self.fleet.pending_rentals {
            let machine = ComingMachine::new(rental.kind.clone(), catalog);
            coming.extend(std::iter::repeat_n(machine, rental.count));
        }
        coming
    }
}
