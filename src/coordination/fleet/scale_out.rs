//! Scaling out: rents machines for unplaced tasks and as headroom for new services.

mod rental_plan;

use super::unplaced::UnplacedTasks;
use super::MachineKind;
use crate::constants::{
    BOOT_LATE_FACTOR, CAPACITY_BACKOFF_MS, CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, MS_PER_S,
    RENTAL_MACHINES_MAX,
};
use crate::coordination::outbox::CallPurpose;
use crate::coordination::rental::{CatalogKind, Rental};
use crate::coordination::{Controller, Leader, Service};
use crate::protocol::cloud::{Catalog, MachineNames, RentalRequest};
use crate::protocol::http::Response;
use crate::storage::machine::MachineState;
use crate::storage::records::MachineName;
use rental_plan::{IncomingMachine, RentalPlan};

/// Machines of one kind that are to be rented.
struct WantedMachines {
    kind: CatalogKind,
    count: usize,
}

impl Controller {
    /// Rents the machines that unplaced tasks and new services need beyond present, booting and already
    /// requested ones.
    pub(super) fn rent_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_ref() else { return };
        if !leader.fleet.has_complete_list || now < leader.fleet.next_rental_at {
            return;
        }
        let mut plan = RentalPlan::new(leader, &catalog, self.operator.rent_spot, now);
        for tasks in &leader.scale_out_demand(now, &catalog) {
            plan.add_demand(tasks);
        }
        let wanted = plan.into_wanted();
        for rental in self.rentals_within_budget(wanted) {
            self.send_rental(rental, &catalog);
        }
    }

    /// Splits the wanted machines into rental requests, taking the kinds in turn, as far as the cloud's
    /// rate limit allows.
    fn rentals_within_budget(&mut self, mut wanted: Vec<WantedMachines>) -> Vec<Rental> {
        let now = self.now.monotonic_ms;
        let mut rentals = Vec::new();
        let Some(leader) = self.leader.as_mut() else { return rentals };
        while let Some(first) = wanted.iter().position(|kind| kind.count > 0) {
            for WantedMachines { kind, count: remaining } in &mut wanted[first..] {
                let count = (*remaining).min(RENTAL_MACHINES_MAX);
                if count == 0 {
                    continue;
                }
                if !self.cloud.take_request(1.0, now) {
                    *remaining = 0;
                    continue;
                }
                *remaining -= count;
                let request_id = format!("mg-{}", leader.next_unique_number());
                rentals.push(Rental { request_id, kind: kind.clone(), count });
            }
        }
        rentals
    }

    fn send_rental(&mut self, rental: Rental, catalog: &Catalog) {
        let type_name = &catalog.machine_types[rental.kind.type_index].type_name;
        log::info!(
            "machines requested: {} {} in {}{}",
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

    /// Handles the cloud's response to a rental.
    pub(in crate::coordination) fn on_rental_response(
        &mut self,
        rental: Rental,
        response: Option<Response>,
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
        match response {
            Some(Response { status: 200, body }) => {
                let Ok(names) = serde_json::from_slice::<MachineNames>(&body) else { return };
                if names.machines.len() < rental.count {
                    leader.fleet.no_capacity_until.insert(kind.clone(), now + CAPACITY_BACKOFF_MS);
                }
                leader.add_rented_machines(&names, &kind, now);
            }
            Some(Response { status: 503, body })
                if String::from_utf8_lossy(&body).contains("capacity") =>
            {
                let MachineKind { type_name, zone, spot } = &kind;
                log::info!("rental rejected: no capacity for {type_name} in {zone}, spot {spot}; backing off");
                leader.fleet.no_capacity_until.insert(kind, now + CAPACITY_BACKOFF_MS);
            }
            // The rental may still take effect, now or later; its machines then appear in the list.
            _ => leader.fleet.next_rental_at = now + CLOUD_RETRY_BACKOFF_MS,
        }
    }
}

impl Leader {
    /// Adds machines that were just rented to the state.
    fn add_rented_machines(&mut self, names: &MachineNames, kind: &MachineKind, now: u64) {
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

    /// Tasks that need capacity on incoming machines, the least flexible first: services, then tasks
    /// that may not use spot machines.
    fn scale_out_demand(&self, now: u64, catalog: &Catalog) -> Vec<UnplacedTasks> {
        let mut demand = self.fleet.unplaced.clone();
        demand.extend(self.missing_service_headroom(now, catalog));
        demand.sort_by_key(|tasks| (!tasks.is_service, tasks.spot_allowed));
        demand
    }

    /// The headroom for new services that is missing on on-demand machines. Resources count as free if
    /// they are, or if they are held by tasks that can be preempted.
    fn missing_service_headroom(&self, now: u64, catalog: &Catalog) -> Option<UnplacedTasks> {
        let headroom = self.service_headroom(now, catalog)?;
        let mut slots = 0.0;
        for machine in self.usable_on_demand_machines() {
            slots += self.cluster.capacity_for_services(machine).fit_count(&headroom.need) as f64;
        }
        let missing = headroom.slots - slots;
        (missing > 0.0).then(|| UnplacedTasks {
            need: headroom.need,
            spot_allowed: false,
            is_service: true,
            allowed_types: vec![true; catalog.machine_types.len()],
            zone: None,
            slots: missing,
            on_demand_slots: missing,
            tasks_per_zone: vec![],
            max_tasks_per_zone: u32::MAX,
            one_zone: false,
        })
    }

    /// Booting machines that are not late, then those of pending rentals.
    fn incoming_machines(&self, now: u64, catalog: &Catalog) -> Vec<IncomingMachine> {
        let mut incoming = Vec::new();
        let type_index =
            |name: &str| catalog.machine_types.iter().position(|listed| listed.type_name == name);
        let machines = self.cluster.machines.values();
        for machine in machines.filter(|machine| machine.state == MachineState::Booting) {
            let Some(type_index) = type_index(&machine.type_name) else { continue };
            let age_s = now.saturating_sub(machine.rented_at) as f64 / MS_PER_S;
            if age_s <= catalog.machine_types[type_index].boot_s * BOOT_LATE_FACTOR {
                let (zone, spot) = (machine.zone.clone(), machine.spot);
                incoming
                    .push(IncomingMachine::new(CatalogKind { type_index, zone, spot }, catalog));
            }
        }
        for rental in &self.fleet.pending_rentals {
            let machine = IncomingMachine::new(rental.kind.clone(), catalog);
            incoming.extend(std::iter::repeat_n(machine, rental.count));
        }
        incoming
    }
}
