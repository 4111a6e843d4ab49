//! The cloud's list of machines: which are there, failed or gone.

use crate::constants::{
    CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, LIST_LIMIT, LIST_PERIOD_MS, MS_PER_S,
};
use crate::coordination::outbox::CallPurpose;
use crate::coordination::{Controller, Leader, Service};
use crate::protocol::cloud::{machine_list_path, ListedMachine, ListedMachineStatus, MachineList};
use crate::protocol::http::Response;
use crate::protocol::workers::EndCause;
use crate::storage::hashing::HashSet;
use crate::storage::machine::{Machine, MachineState, Placement, PlacementPhase, TaskId};
use crate::storage::records::MachineName;

impl Controller {
    /// Asks for the first page of the list when that is due.
    pub(super) fn start_list(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let fleet = &mut leader.fleet;
        let is_due = !fleet.list_in_progress && now >= fleet.next_list_at;
        if !is_due || !self.cloud.take_request(0.0, now) {
            return;
        }
        fleet.list_in_progress = true;
        fleet.list_started_at = now;
        fleet.listed_machines.clear();
        fleet.next_list_at = now + LIST_PERIOD_MS;
        self.ask_for_page(None, now);
    }

    /// Asks for the page of the list that follows a machine; `None`: the first one.
    fn ask_for_page(&mut self, after: Option<&str>, list_started_at: u64) {
        let path = machine_list_path(after, LIST_LIMIT);
        let purpose = CallPurpose::MachineList { begun_at: list_started_at };
        self.call(Service::Cloud, "GET", path, vec![], CLOUD_TIMEOUT_MS, purpose);
    }

    /// Takes in a page of the list that was started then.
    pub(in crate::coordination) fn on_machine_list_response(
        &mut self,
        list_started_at: u64,
        reply: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let fleet = &mut leader.fleet;
        if fleet.list_started_at != list_started_at {
            return;
        }
        let hosts: Option<MachineList> = match reply {
            Some(Response { status: 200, body }) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(hosts) = hosts else {
            fleet.list_in_progress = false;
            fleet.next_list_at = now + CLOUD_RETRY_BACKOFF_MS;
            return;
        };
        let last = hosts.machines.last().map(|host| host.uid.clone());
        fleet.listed_machines.extend(hosts.machines);
        if let (true, Some(last)) = (hosts.has_next, last) {
            // A list that was begun is finished, whatever the cloud's rate is.
            self.cloud.take_request(f64::MIN, now);
            return self.ask_for_page(Some(&last), list_started_at);
        }
        fleet.list_in_progress = false;
        self.on_complete_list(list_started_at);
    }

    /// Compares a whole list with the state. A list that was started then describes a moment
    /// no more than twice the lag earlier.
    fn on_complete_list(&mut self, list_started_at: u64) {
        let now = self.now.monotonic_ms;
        let lag_ms = self.settings.params.cloud.list_lag_ms();
        let Some(leader) = self.leader.as_mut() else { return };
        let hosts = std::mem::take(&mut leader.fleet.listed_machines);
        leader.fleet.has_complete_list = true;
        leader.fleet.complete_list_started_at = Some(list_started_at);
        for name in leader.note_listed_machines(&hosts, list_started_at, now) {
            log::info!("{name}: listed as failed");
            leader.note_failed_machine(&name, now);
        }
        for name in leader.machines_gone(&hosts, list_started_at, lag_ms) {
            log::info!("{name}: gone");
            self.machine_gone(&name);
        }
    }

    /// A machine and everything on it has surely ceased to be.
    pub(super) fn machine_gone(&mut self, name: &MachineName) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        leader.fleet.terminated_machines.insert(name.clone());
        leader.cluster.settle_machine(name);
        if let Some(machine) = leader.cluster.machines.get_mut(name) {
            machine.state = MachineState::Terminated;
            machine.images.clear();
        }
        leader.plan_soon(now);
    }

    /// Settles what was never ordered on machines that are gone or silent, and takes the machines
    /// that are gone out of the state once nothing is left on them.
    pub(super) fn forget_terminated(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        // A placement whose commit was under way when its machine was found gone or silent was
        // never ordered; it once stayed for ever, and its task with it.
        let mut never_ordered: Vec<(MachineName, TaskId)> = Vec::new();
        for machine in leader.cluster.machines.values() {
            let placements = machine.placements.iter();
            let ids = placements.filter(|(_, placement)| is_never_ordered(machine, placement));
            never_ordered.extend(ids.map(|(id, _)| (machine.name.clone(), id.clone())));
        }
        for (name, id) in never_ordered {
            leader.cluster.settle(&name, &id, EndCause::Lost);
        }
        leader.cluster.machines.retain(|_, machine| {
            machine.state != MachineState::Terminated || !machine.placements.is_empty()
        });
    }
}

/// Whether a placement on a machine that is gone or silent was surely never ordered there; on a
/// silent one that is only sure of what was not ordered since its lease expired.
fn is_never_ordered(machine: &Machine, placement: &Placement) -> bool {
    let is_open = placement.settled.is_none() && placement.phase == PlacementPhase::Committed;
    let is_terminated = machine.state == MachineState::Terminated;
    is_open && (is_terminated || machine.lease_expired && placement.start_sent_after.is_none())
}

impl Leader {
    /// Takes listed machines into the state. Returns those that have newly failed.
    fn note_listed_machines(
        &mut self,
        hosts: &[ListedMachine],
        list_started_at: u64,
        now: u64,
    ) -> Vec<MachineName> {
        let mut failed = Vec::new();
        for host in hosts {
            if self.fleet.is_terminated(&host.uid) {
                continue;
            }
            let name: MachineName = host.uid.as_str().into();
            let is_new = !self.cluster.machines.contains_key(&name);
            let machine = self.cluster.machine_entry(&name, now);
            note_listed_host(machine, host, is_new, list_started_at, now);
            if host.status == ListedMachineStatus::Failed
                && !machine.failed
                && machine.state != MachineState::Terminated
            {
                failed.push(name);
            }
        }
        failed
    }

    /// Nothing runs any more on a machine that the cloud lists as failed.
    fn note_failed_machine(&mut self, name: &MachineName, now: u64) {
        self.cluster.settle_machine(name);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.cordoned = true;
            machine.lease_expired = true;
            machine.failed = true;
        }
        self.plan_soon(now);
    }

    /// Machines that a list does not name although they were there for longer than it lags.
    fn machines_gone(
        &self,
        hosts: &[ListedMachine],
        list_started_at: u64,
        lag_ms: u64,
    ) -> Vec<MachineName> {
        let mut listed: HashSet<&str> = self.cluster.hash_keys().set();
        listed.extend(hosts.iter().map(|host| host.uid.as_str()));
        let is_gone = |machine: &&Machine| {
            let confirmed_at =
                machine.listed_at.or(machine.up_at).unwrap_or(machine.first_known_at);
            machine.state != MachineState::Terminated
                && !listed.contains(&*machine.name)
                && list_started_at > confirmed_at + lag_ms
                // A worker that reported after that moment is surely there.
                && machine.last_alive_at.is_none_or(|at| list_started_at > at + lag_ms)
        };
        let machines = self.cluster.machines.values();
        machines.filter(is_gone).map(|machine| machine.name.clone()).collect()
    }
}

/// Takes over what the list says of a machine.
fn note_listed_host(
    machine: &mut Machine,
    host: &ListedMachine,
    is_new: bool,
    list_started_at: u64,
    now: u64,
) {
    if machine.type_name.is_empty() {
        machine.type_name = host.machine_type.clone();
        machine.zone = host.zone.clone();
        machine.spot = host.spot;
    }
    if is_new || machine.listed_at.is_none() {
        let age_ms = (host.age_s.max(0.0) * MS_PER_S) as u64;
        machine.rented_at = list_started_at.saturating_sub(age_ms).max(1);
    }
    machine.listed_at.get_or_insert(now);
    // An old machine that has not reported in this term is not one that fails to
    // boot: a new leader once returned healthy machines for that.
    if machine.state == MachineState::Booting && host.status == ListedMachineStatus::Running {
        machine.state = MachineState::AwaitingHeartbeat;
        machine.first_known_at = now;
    }
}
