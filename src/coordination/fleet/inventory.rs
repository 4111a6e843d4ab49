//! What the cloud lists: machine types, machines that are there, failed or gone.

use super::*;
use crate::constants::{CLOUD_CALL_MS, CLOUD_RETRY_MS, LIST_LIMIT, LIST_MARGIN_MS, MS_PER_S};
use crate::protocol::http::Response;
use crate::storage::machine::PlacementPhase;

impl Controller {
    pub(in crate::coordination) fn catalog_due(&mut self) {
        let now = self.now.monotonic_ms;
        if self.cloud.begin_catalog_request(self.leader.is_some(), now) {
            let (path, purpose) = ("/catalog".into(), CallPurpose::Catalog);
            self.call(Service::Cloud, "GET", path, vec![], CLOUD_CALL_MS, purpose);
        }
    }

    pub(in crate::coordination) fn on_catalog_response(&mut self, reply: Option<Response>) {
        self.cloud.end_catalog_request();
        let Some(Response { status: 200, body }) = reply else { return };
        match serde_json::from_slice::<Catalog>(&body) {
            Ok(catalog) => self.cloud.set_catalog(catalog),
            Err(e) => log::error!("catalogue can't be read: {e}"),
        }
    }

    pub(in crate::coordination) fn on_machine_list_response(
        &mut self,
        begun: u64,
        reply: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if leader.fleet.list_started_at != begun {
            return;
        }
        let hosts: Option<MachineList> = match reply {
            Some(Response { status: 200, body }) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(hosts) = hosts else {
            leader.fleet.list_in_progress = false;
            leader.fleet.next_list_at = now + CLOUD_RETRY_MS;
            return;
        };
        let last = hosts.machines.last().map(|h| h.uid.clone());
        leader.fleet.listed_hosts.extend(hosts.machines);
        if let (true, Some(last)) = (hosts.has_next, last) {
            self.cloud.take_request(f64::MIN, now);
            let path = machine_list_path(Some(&last), LIST_LIMIT);
            let purpose = CallPurpose::Hosts { begun };
            return self.call(Service::Cloud, "GET", path, vec![], CLOUD_CALL_MS, purpose);
        }
        leader.fleet.list_in_progress = false;
        self.list_complete(begun);
    }

    /// Compares a whole list with the state. A list asked for at `begun` describes a moment
    /// no more than twice the lag earlier.
    pub(super) fn list_complete(&mut self, begun: u64) {
        let now = self.now.monotonic_ms;
        let lag = (self.settings.params.cloud.list_lag_s * 2.0 * MS_PER_S) as u64 + LIST_MARGIN_MS;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let hosts = std::mem::take(&mut leader.fleet.listed_hosts);
        leader.fleet.has_complete_list = true;
        leader.fleet.complete_list_started_at = Some(begun);
        let mut listed: HashSet<&str> = leader.cluster.hash_keys().set();
        listed.extend(hosts.iter().map(|h| h.uid.as_str()));
        let mut dead: Vec<MachineName> = Vec::new();
        for h in &hosts {
            if leader.fleet.is_gone(&h.uid) {
                continue;
            }
            let name: MachineName = h.uid.as_str().into();
            let new = !leader.cluster.machines.contains_key(&name);
            let m = leader.cluster.machine_entry(&name, now);
            if m.type_name.is_empty() {
                m.type_name = h.machine_type.clone();
                m.zone = h.zone.clone();
                m.spot = h.spot;
            }
            if new || m.listed_at.is_none() {
                m.rented_at = begun.saturating_sub((h.age_s.max(0.0) * MS_PER_S) as u64);
                if m.rented_at == 0 {
                    m.rented_at = 1;
                }
            }
            m.listed_at.get_or_insert(now);
            // An old machine that has not reported in this term is not one that fails to
            // boot: a new leader once returned healthy machines for that.
            if m.state == MachineState::Booting && h.status == ListedMachineStatus::Running {
                m.state = MachineState::AwaitingHeartbeat;
                m.first_known_at = now;
            }
            if h.status == ListedMachineStatus::Failed
                && !m.failed
                && m.state != MachineState::Terminated
            {
                dead.push(name);
            }
        }
        for name in dead {
            log::info!("{name}: listed as failed");
            leader.cluster.settle_machine(&name);
            if let Some(m) = leader.cluster.machines.get_mut(&name) {
                m.cordoned = true;
                m.lease_expired = true;
                m.failed = true;
            }
            leader.plan_soon(now);
        }
        let mut gone = Vec::new();
        for m in leader.cluster.machines.values() {
            let confirmed_read_at = m.listed_at.or(m.up_at).unwrap_or(m.first_known_at);
            if m.state != MachineState::Terminated
                && !listed.contains(&*m.name)
                && begun > confirmed_read_at + lag
            {
                // A worker that reported after that moment is surely there.
                if m.last_alive_at.is_none_or(|t| begun > t + lag) {
                    gone.push(m.name.clone());
                }
            }
        }
        for name in gone {
            log::info!("{name}: gone");
            self.machine_gone(&name);
        }
    }

    /// A machine and everything on it has surely ceased to be.
    pub(super) fn machine_gone(&mut self, name: &MachineName) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.fleet.terminated_machines.insert(name.clone());
        leader.cluster.settle_machine(name);
        if let Some(m) = leader.cluster.machines.get_mut(name) {
            m.state = MachineState::Terminated;
            m.images.clear();
        }
        leader.plan_soon(now);
    }

    pub(super) fn forget_gone(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        // A placement whose commit was under way when its machine was found gone or silent was
        // never ordered; it once stayed for ever, and its task with it.
        let mut over: Vec<(MachineName, TaskId)> = Vec::new();
        for m in leader
            .cluster
            .machines
            .values()
            .filter(|m| m.state == MachineState::Terminated || m.lease_expired)
        {
            // On a silent one only what was not ordered since it expired.
            let never =
                |p: &Placement| m.state == MachineState::Terminated || p.start_sent_after.is_none();
            let open = |p: &Placement| p.settled.is_none() && p.phase == PlacementPhase::Committed;
            let ids = m.placements.iter().filter(|(_, p)| open(p) && never(p));
            over.extend(ids.map(|(id, _)| (m.name.clone(), id.clone())));
        }
        for (name, id) in over {
            leader.cluster.settle(&name, &id, EndCause::Lost);
        }
        leader
            .cluster
            .machines
            .retain(|_, m| m.state != MachineState::Terminated || !m.placements.is_empty());
    }
}
