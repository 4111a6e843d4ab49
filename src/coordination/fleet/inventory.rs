//! Reconciles the state with the cloud's list of machines: which exist, have failed or are gone.

use crate::constants::{
    CLOUD_RETRY_BACKOFF_MS, CLOUD_TIMEOUT_MS, MACHINE_LIST_PAGE_MAX, MACHINE_LIST_PERIOD_MS,
    MS_PER_S,
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
    /// Requests the first page of the machine list when that is due.
    pub(super) fn request_machine_list_if_due(&mut self) {
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
        fleet.next_list_at = now + MACHINE_LIST_PERIOD_MS;
        self.request_list_page(None, now);
    }

    /// Requests the page after the named machine, or the first one.
    fn request_list_page(&mut self, after: Option<&str>, list_started_at: u64) {
        let path = machine_list_path(after, MACHINE_LIST_PAGE_MAX);
        let purpose = CallPurpose::MachineList { begun_at: list_started_at };
        self.call(Service::Cloud, "GET", path, vec![], CLOUD_TIMEOUT_MS, purpose);
    }

    /// Handles a page of the list that was started at the given time.
    pub(in crate::coordination) fn on_machine_list_response(
        &mut self,
        list_started_at: u64,
        response: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        let fleet = &mut leader.fleet;
        if fleet.list_started_at != list_started_at {
            return;
        }
        let list: Option<MachineList> = match response {
            Some(Response { status: 200, body }) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(list) = list else {
            fleet.list_in_progress = false;
            fleet.next_list_at = now + CLOUD_RETRY_BACKOFF_MS;
            return;
        };
        let last = list.machines.last().map(|listed| listed.uid.clone());
        fleet.listed_machines.extend(list.machines);
        if let (true, Some(last)) = (list.has_next, last) {
            // A list in progress is completed even over the rate limit.
            self.cloud.take_request(f64::MIN, now);
            return self.request_list_page(Some(&last), list_started_at);
        }
        fleet.list_in_progress = false;
        self.on_complete_list(list_started_at);
    }

    /// Updates the state from a complete list. The list shows the machines as they were at most twice
    /// the list lag before it was started.
    fn on_complete_list(&mut self, list_started_at: u64) {
        let now = self.now.monotonic_ms;
        let lag_ms = self.settings.params.cloud.list_lag_ms();
        let Some(leader) = self.leader.as_mut() else { return };
        let list = std::mem::take(&mut leader.fleet.listed_machines);
        leader.fleet.has_complete_list = true;
        leader.fleet.complete_list_started_at = Some(list_started_at);
        for name in leader.update_listed_machines(&list, list_started_at, now) {
            log::info!("machine failed: {name}, as listed by the cloud; its tasks are lost");
            leader.mark_machine_failed(&name, now);
        }
        for name in leader.machines_missing_from_list(&list, list_started_at, lag_ms) {
            log::info!("machine gone: {name} is missing from the cloud's list; its tasks are lost");
            self.mark_machine_terminated(&name);
        }
    }

    /// Marks a machine that is proved gone as terminated and settles its placements.
    pub(super) fn mark_machine_terminated(&mut self, name: &MachineName) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        leader.fleet.terminated_machines.insert(name.clone());
        leader.cluster.settle_machine(name);
        if let Some(machine) = leader.cluster.machines.get_mut(name) {
            machine.state = MachineState::Terminated;
            machine.images.clear();
        }
        leader.request_planning_pass(now);
    }

    /// Settles placements whose start was never sent to a terminated or expired machine, and removes
    /// terminated machines from the state once no placement is left on them.
    pub(super) fn remove_terminated_machines(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        // Settling a machine leaves out placements whose transaction is still pending. Once stored,
        // they would block their tasks for ever, since their start commands are never sent.
        let mut never_started: Vec<(MachineName, TaskId)> = Vec::new();
        for machine in leader.cluster.machines.values() {
            let placements = machine.placements.iter();
            let ids = placements.filter(|(_, placement)| can_no_longer_start(machine, placement));
            never_started.extend(ids.map(|(id, _)| (machine.name.clone(), id.clone())));
        }
        for (name, id) in never_started {
            leader.cluster.settle(&name, &id, EndCause::Lost);
        }
        leader.cluster.machines.retain(|_, machine| {
            machine.state != MachineState::Terminated || !machine.placements.is_empty()
        });
    }
}

/// Whether an unsettled placement was stored too late to start: its machine is terminated, or the
/// machine's lease has expired and no start command was sent. A start command that was sent before the
/// lease expired may have reached the machine.
fn can_no_longer_start(machine: &Machine, placement: &Placement) -> bool {
    let is_unsettled = placement.settled.is_none() && placement.phase == PlacementPhase::Committed;
    let is_terminated = machine.state == MachineState::Terminated;
    is_unsettled && (is_terminated || machine.lease_expired && placement.start_sent_after.is_none())
}

impl Leader {
    /// Adds listed machines to the state or updates them. Returns those that have newly failed.
    fn update_listed_machines(
        &mut self,
        list: &[ListedMachine],
        list_started_at: u64,
        now: u64,
    ) -> Vec<MachineName> {
        let mut failed = Vec::new();
        for listed in list {
            if self.fleet.is_terminated(&listed.uid) {
                continue;
            }
            let name: MachineName = listed.uid.as_str().into();
            let is_new = !self.cluster.machines.contains_key(&name);
            let machine = self.cluster.machine_entry(&name, now);
            update_from_list(machine, listed, is_new, list_started_at, now);
            if listed.status == ListedMachineStatus::Failed
                && !machine.failed
                && machine.state != MachineState::Terminated
            {
                failed.push(name);
            }
        }
        failed
    }

    /// Marks a machine that the cloud lists as failed, on which nothing runs any more.
    fn mark_machine_failed(&mut self, name: &MachineName, now: u64) {
        self.cluster.settle_machine(name);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.lease_expired = true;
            machine.failed = true;
        }
        self.request_planning_pass(now);
    }

    /// Machines missing from a list although they were known for longer than it lags.
    fn machines_missing_from_list(
        &self,
        list: &[ListedMachine],
        list_started_at: u64,
        lag_ms: u64,
    ) -> Vec<MachineName> {
        let mut listed_names: HashSet<&str> = self.cluster.hash_keys().set();
        listed_names.extend(list.iter().map(|listed| listed.uid.as_str()));
        let is_gone = |machine: &&Machine| {
            let confirmed_at =
                machine.listed_at.or(machine.up_at).unwrap_or(machine.first_known_at);
            machine.state != MachineState::Terminated
                && !listed_names.contains(&*machine.name)
                && list_started_at > confirmed_at + lag_ms
                // A heartbeat after the moment that the list shows proves the machine alive.
                && machine.last_alive_at.is_none_or(|at| list_started_at > at + lag_ms)
        };
        let machines = self.cluster.machines.values();
        machines.filter(is_gone).map(|machine| machine.name.clone()).collect()
    }
}

/// Updates a machine from its entry in the list.
fn update_from_list(
    machine: &mut Machine,
    listed: &ListedMachine,
    is_new: bool,
    list_started_at: u64,
    now: u64,
) {
    if machine.type_name.is_empty() {
        machine.type_name = listed.machine_type.clone();
        machine.zone = listed.zone.clone();
        machine.spot = listed.spot;
    }
    if is_new || machine.listed_at.is_none() {
        let age_ms = (listed.age_s.max(0.0) * MS_PER_S) as u64;
        machine.rented_at = list_started_at.saturating_sub(age_ms).max(1);
    }
    machine.listed_at.get_or_insert(now);
    // A running machine without a heartbeat in this term must not count as one that failed to
    // boot: a new leader would return healthy machines.
    if machine.state == MachineState::Booting && listed.status == ListedMachineStatus::Running {
        machine.state = MachineState::AwaitingHeartbeat;
        machine.first_known_at = now;
    }
}
