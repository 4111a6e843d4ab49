//! Renting machines: for tasks without a place, for services to come and for batch work.

use super::*;
use crate::constants::{
    ARRIVAL_WINDOW_MS, BOOT_LATE, CAPACITY_REST_MS, CLOUD_CALL_MS, CLOUD_RETRY_MS, MS_PER_S,
    RENT_MAX, SLOT_EPSILON, SPARE_SERVICE_SLOTS, WORK_WINDOW_MS,
};
use crate::protocol::http::Response;

impl Controller {
    pub(super) fn rent_machines(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else {
            return;
        };
        let rent_spot = self.operator.rent_spot;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.fleet.has_complete_list || now < leader.fleet.next_rental_at {
            return;
        }
        // Room that is on its way.
        struct Coming {
            total: Resources,
            machine_type: usize,
            zone: String,
            spot: bool,
        }
        let mut coming: Vec<Coming> = Vec::new();
        for m in leader.cluster.machines.values().filter(|m| m.state == MachineState::Booting) {
            let Some(b) = catalog.machine_types.iter().position(|b| b.type_name == m.type_name)
            else {
                continue;
            };
            let machine_type = &catalog.machine_types[b];
            let age = now.saturating_sub(m.rented_at) as f64 / MS_PER_S;
            if age <= machine_type.boot_s * BOOT_LATE {
                coming.push(Coming {
                    total: total(machine_type),
                    machine_type: b,
                    zone: m.zone.clone(),
                    spot: m.spot,
                });
            }
        }
        for r in &leader.fleet.pending_rentals {
            for _ in 0..r.number {
                let total = total(&catalog.machine_types[r.machine_type]);
                coming.push(Coming {
                    total,
                    machine_type: r.machine_type,
                    zone: r.zone.clone(),
                    spot: r.spot,
                });
            }
        }
        let mut unplaced = leader.fleet.unplaced.clone();
        // Room for services to come, on ordinary machines: free now, or held by tasks that
        // may be stopped for them.
        if let Some((need, want)) = leader.spare_slots(now, &catalog) {
            let mut have = 0.0;
            for m in leader.cluster.machines.values().filter(|m| usable(m) && !m.spot) {
                have += leader.cluster.room_for_services(m).times(&need) as f64;
            }
            let missing = want - have;
            if missing > 0.0 {
                unplaced.push(UnplacedTasks {
                    need,
                    spot_allowed: false,
                    is_service: true,
                    allowed_types: vec![true; catalog.machine_types.len()],
                    zone: None,
                    slots: missing,
                    ordinary_slots: missing,
                    tasks_per_zone: vec![],
                    max_tasks_per_zone: u32::MAX,
                    whole_in_one_zone: false,
                });
            }
        }
        // How many machines of each kind there are: zones with fewer come first.
        let keys = leader.cluster.hash_keys();
        let mut counts: HashMap<(&str, bool), usize> = keys.map();
        for m in leader.cluster.machines.values().filter(|m| m.state != MachineState::Terminated) {
            *counts.entry((m.zone.as_str(), m.spot)).or_default() += 1;
        }
        let mut wanted: HashMap<(usize, String, bool), usize> = keys.map();
        // Services first: they may not be able to use what the others get.
        unplaced.sort_by_key(|u| (!u.is_service, u.spot_allowed));
        for u in &unplaced {
            let mut slots = u.slots;
            // Those before this one have no room for such a task any more.
            let mut from = 0;
            let mut in_zone: HashMap<String, u32> = keys.map();
            in_zone.extend(u.tasks_per_zone.iter().cloned());
            // The zone of a gang that must be in one: that of its first place.
            let mut only_zone: Option<String> = None;
            while slots > SLOT_EPSILON {
                let open = |zone: &str| {
                    u.zone.as_ref().is_none_or(|y| y == zone)
                        && only_zone.as_ref().is_none_or(|only| only == zone)
                        && in_zone.get(zone).copied().unwrap_or(0) < u.max_tasks_per_zone
                };
                let on_way = coming.iter().skip(from).position(|x| {
                    (u.spot_allowed || !x.spot)
                        && u.allowed_types[x.machine_type]
                        && open(&x.zone)
                        && x.total.fits(&u.need)
                });
                from = on_way.map_or(coming.len(), |n| from + n);
                if let Some(x) = coming.get_mut(from) {
                    x.total -= u.need;
                    if u.whole_in_one_zone {
                        only_zone = Some(x.zone.clone());
                    }
                    *in_zone.entry(x.zone.clone()).or_default() += 1;
                    slots -= 1.0;
                    continue;
                }
                // The cheapest kind for such a task; zones with fewer machines first.
                let mut best: Option<(f64, usize, (usize, String, bool))> = None;
                for (i, b) in catalog.machine_types.iter().enumerate() {
                    if !u.allowed_types[i] || !total(b).fits(&u.need) {
                        continue;
                    }
                    let per = total(b).times(&u.need).max(1) as f64;
                    for zone in b.zones.iter().filter(|y| open(y)) {
                        for spot in [true, false] {
                            if spot && !(u.spot_allowed && rent_spot) {
                                continue;
                            }
                            if !spot && u.spot_allowed && slots <= u.slots - u.ordinary_slots {
                                continue;
                            }
                            let kind = (b.type_name.clone(), zone.clone(), spot);
                            if leader.fleet.no_capacity.get(&kind).is_some_and(|t| now < *t) {
                                continue;
                            }
                            let price = if spot { b.spot_price } else { b.rate } / per;
                            let same = counts.get(&(zone.as_str(), spot)).copied().unwrap_or(0)
                                + wanted.get(&(i, zone.clone(), spot)).copied().unwrap_or(0);
                            let better = best.as_ref().is_none_or(|(p, n, _)| {
                                price < *p - 1e-9 || (price < *p + 1e-9 && same < *n)
                            });
                            if better {
                                best = Some((price, same, (i, zone.clone(), spot)));
                            }
                        }
                    }
                }
                let Some((_, _, kind)) = best else { break };
                *wanted.entry(kind.clone()).or_default() += 1;
                let (machine_type, zone, spot) = kind;
                if u.whole_in_one_zone {
                    only_zone = Some(zone.clone());
                    from = 0;
                }
                coming.push(Coming {
                    total: total(&catalog.machine_types[machine_type]),
                    machine_type,
                    zone,
                    spot,
                });
            }
        }
        let mut rentals: Vec<Rental> = Vec::new();
        let mut kinds: Vec<_> = wanted.into_iter().collect();
        kinds.sort();
        // As many requests as it takes, a kind each in turn, as long as the cloud's rate allows.
        while let Some(n) = kinds.iter().position(|(_, number)| *number > 0) {
            for ((machine_type, zone, spot), left) in &mut kinds[n..] {
                let number = (*left).min(RENT_MAX);
                if number == 0 {
                    continue;
                }
                if !self.cloud.take_request(1.0, now) {
                    *left = 0;
                    continue;
                }
                *left -= number;
                let (machine_type, zone, spot) = (*machine_type, zone.clone(), *spot);
                let request_id = format!("mg-{}", leader.unique());
                rentals.push(Rental { request_id, machine_type, zone, spot, number });
            }
        }
        for r in rentals {
            log::info!(
                "rents {} {} in {}{}",
                r.number,
                catalog.machine_types[r.machine_type].type_name,
                r.zone,
                if r.spot { ", spot" } else { "" }
            );
            let body = RentalRequest {
                request_id: r.request_id.clone(),
                machine_type: catalog.machine_types[r.machine_type].type_name.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                number: r.number,
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            if let Some(leader) = self.leader.as_mut() {
                leader.fleet.pending_rentals.push(r.clone());
            }
            self.call(
                Service::Cloud,
                "POST",
                "/hosts".into(),
                body,
                CLOUD_CALL_MS,
                CallPurpose::Rent(r),
            );
        }
    }

    pub(in crate::coordination) fn on_rental_response(
        &mut self,
        rental: Rental,
        reply: Option<Response>,
    ) {
        let now = self.now.monotonic_ms;
        let Some(catalog) = self.cloud.catalog().cloned() else {
            return;
        };
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.fleet.pending_rentals.retain(|r| r.request_id != rental.request_id);
        let Some(machine_type) = catalog.machine_types.get(rental.machine_type) else {
            return;
        };
        let kind = (machine_type.type_name.clone(), rental.zone.clone(), rental.spot);
        match reply {
            Some(Response { status: 200, body }) => {
                let Ok(names) = serde_json::from_slice::<MachineNames>(&body) else {
                    return;
                };
                if names.machines.len() < rental.number {
                    leader.fleet.no_capacity.insert(kind, now + CAPACITY_REST_MS);
                }
                for n in names.machines {
                    let name: MachineName = n.as_str().into();
                    if leader.fleet.is_gone(&n) {
                        continue;
                    }
                    let m = leader.cluster.machine_entry(&name, now);
                    if m.type_name.is_empty() {
                        m.type_name = machine_type.type_name.clone();
                        m.zone = rental.zone.clone();
                        m.spot = rental.spot;
                        m.rented_at = now;
                    }
                }
            }
            Some(Response { status: 503, body })
                if String::from_utf8_lossy(&body).contains("capacity") =>
            {
                log::info!("no capacity for {} in {}, spot {}", kind.0, kind.1, kind.2);
                leader.fleet.no_capacity.insert(kind, now + CAPACITY_REST_MS);
            }
            // Perhaps carried out, perhaps later: what comes of it shows up in the list.
            _ => leader.fleet.next_rental_at = now + CLOUD_RETRY_MS,
        }
    }
}

impl Leader {
    /// Takes note of jobs that came since the last look. What a new leader finds counts at
    /// the time of day that it was accepted.
    pub(super) fn note_arrivals(&mut self, now: Clock, catalog: &Catalog) {
        let Some(whole) = catalog.machine_types.iter().map(total).max_by_key(|t| (t.gpu, t.cpu))
        else {
            return;
        };
        let from = self.fleet.last_seen_arrival;
        let mut services = Vec::new();
        let mut work = Vec::new();
        let mut last = from;
        for (mod_revision, uid) in self.cluster.queue.range(from + 1..) {
            last = *mod_revision;
            let Some(job) = self.cluster.jobs.get(uid) else { continue };
            let Some(spec) = &job.spec else { continue };
            let ago =
                if from == 0 { now.wall_ms.saturating_sub(job.accepted_at_wall_ms) } else { 0 };
            let at = now.monotonic_ms.saturating_sub(ago);
            if ago > ARRIVAL_WINDOW_MS {
                continue;
            }
            if spec.kind == JobKind::Service {
                services.push((at, job.tasks));
            } else {
                let each = self.run_ms(spec) as f64 * job.need.share_of(&whole);
                work.push((at, f64::from(job.tasks) * each));
            }
        }
        let f = &mut self.fleet;
        f.last_seen_arrival = last;
        f.service_arrivals.extend(services);
        f.batch_arrivals.extend(work);
        f.service_arrivals.retain(|(t, _)| now.monotonic_ms <= t + ARRIVAL_WINDOW_MS);
        f.batch_arrivals.retain(|(t, _)| now.monotonic_ms <= t + WORK_WINDOW_MS);
    }

    /// Over how long arrivals have been watched, in milliseconds.
    pub(super) fn watched_ms(&self, now: u64, window: u64) -> f64 {
        (now - self.began_at).clamp(ARRIVAL_WINDOW_MS / 2, ARRIVAL_WINDOW_MS).min(window) as f64
    }

    /// Machines that batch work keeps busy at the rate at which it has been coming.
    pub(super) fn batch_machines(&self, now: u64) -> f64 {
        let work: f64 = self.fleet.batch_arrivals.iter().map(|(_, w)| w).sum();
        work / self.watched_ms(now, WORK_WINDOW_MS)
    }

    /// Room to keep for services: what one of their tasks takes, and how many are expected
    /// to arrive while a machine boots.
    pub(super) fn spare_slots(&self, now: u64, catalog: &Catalog) -> Option<(Resources, f64)> {
        let cluster = &self.cluster;
        let newest = cluster.queue.values().rev().find(|uid| cluster.is_service(uid))?;
        let need = cluster.jobs.get(newest)?.need;
        let tasks: u32 = self.fleet.service_arrivals.iter().map(|(_, n)| n).sum();
        let ready = catalog.longest_boot_s() * MS_PER_S;
        let expected = (f64::from(tasks) / self.watched_ms(now, ARRIVAL_WINDOW_MS) * ready).ceil();
        Some((need, expected + SPARE_SERVICE_SLOTS))
    }
}
