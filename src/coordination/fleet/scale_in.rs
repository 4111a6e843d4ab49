//! Returning machines: idle, failed, silent or unreachable ones.

use super::*;
use crate::constants::{
    BOOT_LOST, CHARGE_MIN_S, CLOUD_CALL_MS, DELETE_MAX, IDLE_RETURN_BOOTS, LEADER_UNHEARD_MS,
    MS_PER_S, RECLAIM_PAST_MS, SILENT_DELETE_MS, SILENT_FEW, SILENT_PERIODS, WORKER_RETRY_S,
    WORKER_WAIT_S,
};
use crate::protocol::http::Response;

impl Controller {
    pub(super) fn return_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let operator = self.operator.clone();
        let Some(catalog) = self.cloud.catalog().cloned() else {
            return;
        };
        // Leases may be kept in our place for so long after we were last heard.
        let isolated = self.isolation_budget_ms() + self.lease_ms();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let spare = leader.spare_slots(now, &catalog);
        let silent = leader.silent_services(now, &self.settings);
        let lease = (self.settings.params.workers.lease_s * MS_PER_S) as u64;
        let silent_ms = (self.settings.params.workers.report_s * SILENT_PERIODS * MS_PER_S) as u64;
        let mut free_slots: f64 = 0.0;
        for m in leader.cluster.machines.values().filter(|m| usable(m) && !m.spot) {
            free_slots +=
                spare.as_ref().map_or(0.0, |(need, _)| leader.cluster.free(m).times(need) as f64);
        }
        let mut names = Vec::new();
        for m in leader.cluster.machines.values() {
            let ready = boot_ms(&catalog, &m.type_name);
            let empty = m.is_empty();
            let age = now.saturating_sub(m.rented_at);
            // Cut off it may come back, and another one in its place takes a boot before it is of
            // use: it is kept for that long. A zone that was cut off was once returned whole.
            let give_up = lease + ready;
            let idle_ms = match operator.idle_return_s {
                Some(s) => (s * MS_PER_S) as u64,
                None => (ready as f64 * IDLE_RETURN_BOOTS) as u64,
            };
            let back = match m.state {
                MachineState::Booting | MachineState::AwaitingHeartbeat | MachineState::Up
                    if m.failed =>
                {
                    true
                }
                MachineState::Terminated
                | MachineState::Deleting
                | MachineState::AwaitingHeartbeat => false,
                MachineState::Booting => age as f64 > ready as f64 * BOOT_LOST,
                MachineState::Up if m.lease_expired => {
                    m.last_response_at.is_none_or(|t| now > t + give_up) || m.cordoned
                }
                // Empty, or past its time and silent: to wait for the list would hold its
                // tasks for twice its lag.
                MachineState::Up if m.reclaim_at.is_some() => {
                    let past = m.reclaim_at.is_some_and(|t| now > t + RECLAIM_PAST_MS);
                    let quiet = m.last_alive_at.is_none_or(|t| now > t + silent_ms);
                    empty || (past && quiet)
                }
                MachineState::Up if m.cordoned => empty,
                MachineState::Up if m.draining => empty && age as f64 >= CHARGE_MIN_S * MS_PER_S,
                MachineState::Up if !empty => false,
                MachineState::Up => {
                    let idle = m.idle_since.is_some_and(|t| now >= t + idle_ms);
                    let paid = age as f64 >= CHARGE_MIN_S * MS_PER_S;
                    let needed = match &spare {
                        Some((need, want)) if !m.spot => {
                            let here = m.total.times(need) as f64;
                            let enough = free_slots - here >= *want;
                            if enough && idle && paid {
                                free_slots -= here;
                            }
                            !enough
                        }
                        _ => false,
                    };
                    idle && paid && !needed
                }
            };
            // Silent since before this term: nobody may tell any more what runs there.
            let mute = m.state == MachineState::Up
                && !m.lease_expired
                && m.last_alive_at.is_some_and(|t| now > t + give_up.max(isolated));
            let unheard = m.state == MachineState::AwaitingHeartbeat
                && now > m.first_known_at + lease + SILENT_DELETE_MS;
            let doubtful = silent.contains(&m.name);
            // What nobody can order about any more is replaced: with tasks on it once its lease
            // must be over, so that they start elsewhere.
            let patience = match empty {
                true => SILENT_DELETE_MS,
                false => lease,
            };
            let deaf = m.state == MachineState::Up
                && m.unreachable_since.is_some_and(|t| now > t + patience);
            if back || mute || unheard || doubtful || deaf {
                names.push(m.name.clone());
            }
        }
        // A leader that hears nobody must not take that for the death of all.
        if names.is_empty() || now > leader.last_heartbeat_at + LEADER_UNHEARD_MS {
            return;
        }
        names.truncate(DELETE_MAX);
        if !self.cloud.take_request(0.0, now) {
            return;
        }
        for n in &names {
            if let Some(m) = leader.cluster.machines.get_mut(n) {
                m.state = MachineState::Deleting;
            }
        }
        log::info!("returns {}", names.join(", "));
        let body = MachineNames { machines: names.iter().map(|n| n.to_string()).collect() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let purpose = CallPurpose::Delete(names);
        self.call(Service::Cloud, "POST", "/hosts/delete".into(), body, CLOUD_CALL_MS, purpose);
    }

    pub(in crate::coordination) fn on_deletion_response(
        &mut self,
        names: Vec<MachineName>,
        reply: Option<Response>,
    ) {
        if matches!(reply, Some(Response { status: 200, .. })) {
            for n in names {
                self.machine_gone(&n);
            }
            return;
        }
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for n in names {
            // Perhaps carried out, perhaps later: asked for again.
            if let Some(m) =
                leader.cluster.machines.get_mut(&n).filter(|m| m.state == MachineState::Deleting)
            {
                m.state = if m.up_at.is_some() {
                    MachineState::Up
                } else {
                    MachineState::AwaitingHeartbeat
                };
                m.cordoned = true;
            }
        }
    }
}

impl Leader {
    /// Machines with services that have missed a whole round of reports while nearly all
    /// others report, and whose services have a place elsewhere: deleting them is evidence
    /// at once, where a lease or the list take twice as long. If they were only cut off, their
    /// tasks would have ended with the lease all the same.
    pub(super) fn silent_services(&self, now: u64, settings: &Platform) -> Vec<MachineName> {
        let w = &settings.params.workers;
        // A report that fails, the worker's wait for it, one at a wrong controller, and back.
        let round = w.report_s * 2.5 + WORKER_WAIT_S + WORKER_RETRY_S * 2.0;
        let round_ms = (round * MS_PER_S) as u64;
        let recent_ms = (w.report_s * SILENT_PERIODS * MS_PER_S) as u64;
        let cluster = &self.cluster;
        let last = |m: &Machine| m.last_alive_at.unwrap_or(0).max(self.began_at);
        let known: Vec<&Machine> = cluster
            .machines
            .values()
            .filter(|m| {
                matches!(m.state, MachineState::Up | MachineState::AwaitingHeartbeat) && !m.failed
            })
            .collect();
        let quiet: Vec<&&Machine> = known
            .iter()
            .filter(|m| !m.lease_expired && now > last(m).max(m.first_known_at) + round_ms)
            .collect();
        let heard =
            known.iter().filter(|m| m.last_alive_at.is_some_and(|t| now <= t + recent_ms)).count();
        let few = quiet.len() * SILENT_FEW <= known.len();
        if !few || heard + quiet.len() < known.len() {
            return Vec::new();
        }
        let open: Vec<&&Machine> =
            known.iter().filter(|m| usable(m) && quiet.iter().all(|q| q.name != m.name)).collect();
        quiet
            .into_iter()
            .filter(|m| {
                let services: Vec<Resources> = m
                    .placements
                    .iter()
                    .filter(|(id, p)| p.settled.is_none() && cluster.is_service(&id.job))
                    .filter_map(|(id, _)| cluster.jobs.get(&id.job).map(|j| j.need))
                    .collect();
                let Some(need) = services.first() else { return false };
                let mut room = 0;
                for o in open.iter().filter(|o| !o.spot) {
                    room += cluster.room_for_services(o).times(need);
                }
                room >= services.len() as i64
            })
            .map(|m| m.name.clone())
            .collect()
    }
}
