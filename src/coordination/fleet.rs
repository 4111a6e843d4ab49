//! The machines: what is there, what to rent, what to return.

use super::leader::View;
use super::planner::Plan;
use super::*;
use crate::protocol::cloud::{hosts_path, Host, HostStatus, Hosts, MachineType, Names, Rent};
use crate::protocol::users::JobKind;
use crate::protocol::workers::Cause;
use crate::protocol::Resources;
use crate::storage::cluster::*;
use crate::storage::records::*;
use std::collections::{HashSet, VecDeque};

/// A rental under way. Its name is never used for another one.
#[derive(Debug, Clone)]
pub(crate) struct Rental {
    request_id: String,
    machine_type: usize,
    zone: String,
    spot: bool,
    number: usize,
}

/// A kind of machine that can be rented.
type Kind = (String, String, bool);

/// Tasks that found no room in the last pass.
#[derive(Debug, Clone)]
struct UnplacedTasks {
    need: Resources,
    spot_ok: bool,
    service: bool,
    allowed_types: Vec<bool>,
    zone: Option<String>,
    /// Tasks, and slots that are wanted for them.
    slots: f64,
    /// Of these, the slots worth an ordinary machine.
    dear: f64,
    in_zone: Vec<(String, u32)>,
    zone_cap: u32,
}

/// The leader's view of the fleet.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    list_at: u64,
    listing: bool,
    list_begun: u64,
    pages: Vec<Host>,
    listed_once: bool,
    look_at: u64,
    rentals: Vec<Rental>,
    no_capacity: HashMap<Kind, u64>,
    gone: HashSet<Name>,
    unplaced: Vec<UnplacedTasks>,
    /// Arrivals of service tasks: when, how many.
    arrivals: VecDeque<(u64, u32)>,
    /// Arrivals of batch work: when, milliseconds times the share of a machine it takes.
    work: VecDeque<(u64, f64)>,
    seen_arrival: u64,
    /// Since when there has been more room than is wanted.
    excess_since: Option<u64>,
    /// When the next service may be moved.
    move_at: u64,
    cloud_at: u64,
}

impl Fleet {
    pub(super) fn new(now: u64) -> Fleet {
        Fleet { list_at: now, look_at: now, cloud_at: now, ..Fleet::default() }
    }

    pub(super) fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    /// A pass found nothing waiting.
    pub(super) fn none_unplaced(&mut self) {
        self.unplaced.clear();
    }

    /// Remembers what a pass found no room for.
    pub(super) fn note_unplaced(&mut self, view: &View, plan: &Plan, catalog: &Catalog) {
        let boot_ms =
            catalog.machine_types.iter().map(|b| b.boot_s).fold(0.0, f64::max) * c::MS_PER_S;
        let s = &view.snapshot;
        self.unplaced.clear();
        let patience = boot_ms * c::RENT_PATIENCE_BOOTS;
        let dearer = catalog
            .machine_types
            .iter()
            .filter(|b| b.spot_price > 0.0)
            .map(|b| b.rate / b.spot_price)
            .fold(1.0, f64::max);
        for (j, n) in plan.unplaced.iter().enumerate() {
            let job = &s.jobs[j];
            // What will soon find a place on what we have needs no new machine.
            let within =
                |p: f64| plan.expected[j].iter().filter(|ms| **ms as f64 <= p).count() as u32;
            // Work that may use spot machines waits the longer for ordinary ones, the more
            // those cost beyond them.
            let dear = n.saturating_sub(within(patience * dearer));
            let n = &n.saturating_sub(within(patience));
            if *n == 0 {
                continue;
            }
            // Within the team's limit.
            let team = &s.teams[job.team];
            let mut left = i64::from(*n);
            if team.limit.gpu > 0 && job.need.gpu > 0 {
                left = left.min((team.limit.gpu - team.used.gpu) / job.need.gpu);
            }
            if team.limit.cpu > 0 && job.need.cpu > 0 {
                left = left.min((team.limit.cpu - team.used.cpu) / job.need.cpu);
            }
            if left <= 0 {
                continue;
            }
            // A slot serves short tasks one after the other.
            let run_s = job.run_ms as f64 / c::MS_PER_S;
            let per_task = if job.service { 1.0 } else { (run_s / c::DRAIN_TARGET_S).min(1.0) };
            self.unplaced.push(UnplacedTasks {
                need: job.need,
                spot_ok: job.spot_ok,
                service: job.service,
                allowed_types: job.allowed_types.clone(),
                zone: job.zone.map(|z| view.zones[z].clone()),
                slots: left as f64 * per_task,
                dear: left.min(i64::from(dear)) as f64 * per_task,
                in_zone: view.zones.iter().cloned().zip(job.in_zone.iter().copied()).collect(),
                zone_cap: job.zone_cap,
            });
        }
    }
}

impl Controller {
    pub(super) fn catalog_due(&mut self) {
        let now = self.now.mono;
        let period =
            if self.leader.is_some() { c::CATALOG_PERIOD_MS } else { c::CATALOG_PERIOD_MS * 10 };
        let wait = if self.catalog.is_some() { period } else { c::CLOUD_RETRY_MS };
        if self.catalog_asked || self.catalog_at.is_some_and(|t| now < t + wait) {
            return;
        }
        if self.cloud.take(1.0, 0.0, now) {
            self.catalog_asked = true;
            self.catalog_at = Some(now);
            self.call(
                Service::Cloud,
                "GET",
                "/catalog".into(),
                vec![],
                c::CLOUD_CALL_MS,
                Purpose::Catalog,
            );
        }
    }

    pub(super) fn catalog_answered(&mut self, reply: Option<(u16, Vec<u8>)>) {
        self.catalog_asked = false;
        let Some((200, body)) = reply else { return };
        match serde_json::from_slice::<Catalog>(&body) {
            Ok(catalog) => self.catalog = Some(Rc::new(catalog)),
            Err(e) => log::error!("catalogue can't be read: {e}"),
        }
    }

    pub(super) fn fleet_due(&mut self) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.fleet.listing && now >= l.fleet.list_at && self.cloud.take(1.0, 0.0, now) {
            l.fleet.listing = true;
            l.fleet.list_begun = now;
            l.fleet.pages.clear();
            l.fleet.list_at = now + c::LIST_PERIOD_MS;
            let purpose = Purpose::Hosts { begun: now };
            let path = hosts_path(None, c::LIST_LIMIT);
            self.call(Service::Cloud, "GET", path, vec![], c::CLOUD_CALL_MS, purpose);
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if now >= l.fleet.look_at {
            l.fleet.look_at = now + l.fleet_period();
            self.metrics.work.fleet_scans += 1;
            if let Some(catalog) = &self.catalog {
                l.note_arrivals(self.now, catalog);
            }
            self.forget_gone();
            self.consolidate();
            self.move_services();
            // One that the state service does not serve may not lead any more: it must not
            // take machines away.
            if self.served() {
                self.return_machines();
                self.rent_machines();
            }
        }
    }

    pub(super) fn hosts_answered(&mut self, begun: u64, reply: Option<(u16, Vec<u8>)>) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if l.fleet.list_begun != begun {
            return;
        }
        let hosts: Option<Hosts> = match reply {
            Some((200, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        };
        let Some(hosts) = hosts else {
            l.fleet.listing = false;
            l.fleet.list_at = now + c::CLOUD_RETRY_MS;
            return;
        };
        let last = hosts.machines.last().map(|h| h.uid.clone());
        l.fleet.pages.extend(hosts.machines);
        if let (true, Some(last)) = (hosts.has_next, last) {
            self.cloud.take(1.0, f64::MIN, now);
            let path = hosts_path(Some(&last), c::LIST_LIMIT);
            let purpose = Purpose::Hosts { begun };
            return self.call(Service::Cloud, "GET", path, vec![], c::CLOUD_CALL_MS, purpose);
        }
        l.fleet.listing = false;
        self.list_complete(begun);
    }

    /// Compares a whole list with the state. A list asked for at `begun` describes a moment
    /// no more than twice the lag earlier.
    fn list_complete(&mut self, begun: u64) {
        let now = self.now.mono;
        let lag = (self.cfg.params.cloud.list_lag_s * 2.0 * c::MS_PER_S) as u64 + c::LIST_MARGIN_MS;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let hosts = std::mem::take(&mut l.fleet.pages);
        l.fleet.listed_once = true;
        let listed: HashSet<&str> = hosts.iter().map(|h| h.uid.as_str()).collect();
        let mut dead: Vec<Name> = Vec::new();
        for h in &hosts {
            if l.fleet.is_gone(&h.uid) {
                continue;
            }
            let name: Name = h.uid.as_str().into();
            let new = !l.cluster.machines.contains_key(&name);
            let m = l.cluster.machine_entry(&name, now);
            if m.type_name.is_empty() {
                m.type_name = h.machine_type.clone();
                m.zone = h.zone.clone();
                m.spot = h.spot;
            }
            if new || m.listed_at.is_none() {
                m.rented_at = begun.saturating_sub((h.age_s.max(0.0) * c::MS_PER_S) as u64);
                if m.rented_at == 0 {
                    m.rented_at = 1;
                }
            }
            m.listed_at.get_or_insert(now);
            // An old machine that has not reported in this term is not one that fails to
            // boot: a new leader once returned healthy machines for that.
            if m.life == Life::Booting && h.status == HostStatus::Running {
                m.life = Life::Unheard;
                m.confirmed_read_at = now;
            }
            if h.status == HostStatus::Failed && !m.failed && m.life != Life::Gone {
                dead.push(name);
            }
        }
        for name in dead {
            log::info!("{name}: listed as failed");
            l.cluster.settle_all(&name);
            if let Some(m) = l.cluster.machines.get_mut(&name) {
                m.draining = true;
                m.lease_expired = true;
                m.failed = true;
            }
            l.plan_soon(now);
        }
        let mut gone = Vec::new();
        for m in l.cluster.machines.values() {
            let confirmed_read_at = m.listed_at.or(m.up_at).unwrap_or(m.confirmed_read_at);
            if m.life != Life::Gone && !listed.contains(&*m.name) && begun > confirmed_read_at + lag
            {
                // A worker that reported after that moment is surely there.
                if m.reported_at.is_none_or(|t| begun > t + lag) {
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
    fn machine_gone(&mut self, name: &Name) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.fleet.gone.insert(name.clone());
        l.cluster.settle_all(name);
        if let Some(m) = l.cluster.machines.get_mut(name) {
            m.life = Life::Gone;
            m.images.clear();
        }
        l.plan_soon(now);
    }

    fn forget_gone(&mut self) {
        let Some(l) = self.leader.as_mut() else { return };
        // A placement whose commit was under way when its machine was found gone or silent was
        // never ordered; it once stayed for ever, and its task with it.
        let mut over: Vec<(Name, TaskId)> = Vec::new();
        for m in l.cluster.machines.values().filter(|m| m.life == Life::Gone || m.lease_expired) {
            // On a silent one only what was not ordered since it expired.
            let never = |p: &Placement| m.life == Life::Gone || p.ordered.is_none();
            let open = |p: &Placement| p.ended.is_none() && p.phase == Phase::Committed;
            let ids = m.placements.iter().filter(|(_, p)| open(p) && never(p));
            over.extend(ids.map(|(id, _)| (m.name.clone(), id.clone())));
        }
        for (name, id) in over {
            l.cluster.settle(&name, &id, Cause::Lost);
        }
        l.cluster.machines.retain(|_, m| m.life != Life::Gone || !m.placements.is_empty());
    }

    /// Empties the dearest thinly used machines when the others have room for their work and
    /// for work to come; opens such machines again when that is no longer so. How many at a
    /// time grows with the fleet.
    fn consolidate(&mut self) {
        let now = self.now.mono;
        let op = self.op.clone();
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(l) = self.leader.as_mut() else { return };
        let spare = l.spare_slots(now, &catalog);
        let cluster = &l.cluster;
        let load = |m: &Machine| {
            let mut used = m.total;
            used -= cluster.free(m);
            used.share_of(&m.total)
        };
        let open: Vec<(&Machine, f64)> =
            cluster.machines.values().filter(|m| usable(m)).map(|m| (m, load(m))).collect();
        let mut free: f64 = open.iter().map(|(_, share)| 1.0 - share).sum();
        let busy: f64 = open.iter().map(|(_, share)| share).sum();
        let batch_now: f64 =
            open.iter().map(|(m, share)| share * (1.0 - service_share(cluster, m))).sum();
        // What comes at the usual rate may be more than what runs at this moment.
        let lull = (l.batch_machines(now) - batch_now).max(0.0);
        let headroom = (busy + lull) * op.headroom_share + lull + c::HEADROOM_MACHINES;
        let early = now < l.began + c::ARRIVAL_WINDOW_MS / 2;
        // A few tasks that find no place for reasons of their own (a zone, a kind of machine) must
        // not keep hundreds of machines open.
        let whole = open.first().map_or(Resources::default(), |(m, _)| m.total);
        let unplaced: f64 =
            l.fleet.unplaced.iter().map(|u| u.slots * u.need.share_of(&whole)).sum();
        let unplaced = unplaced > open.len() as f64 * c::UNPLACED_SHARE;
        let short = unplaced || free < headroom || early;
        let most = ((open.len() as f64 * c::CLOSE_SHARE) as usize).max(1);
        if short {
            l.fleet.excess_since = None;
            // The fullest first: they have the most work that need not move.
            let mut again: Vec<(f64, Name)> = cluster
                .machines
                .values()
                .filter(|m| m.closing && m.life == Life::Up && !m.draining)
                .map(|m| (load(m), m.name.clone()))
                .collect();
            again.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, name) in again.into_iter().take(most) {
                if let Some(m) = l.cluster.machines.get_mut(&name) {
                    log::debug!("{name}: opened again");
                    m.closing = false;
                    l.plan_soon(now);
                }
            }
            return;
        }
        let room = |m: &Machine| match &spare {
            Some((need, _)) if !m.spot => cluster.room_for_services(m).times(need) as f64,
            _ => 0.0,
        };
        let mut ordinary_free: f64 = open.iter().map(|(m, _)| room(m)).sum();
        let want = spare.as_ref().map_or(0.0, |(_, w)| *w);
        let mut candidates: Vec<(&Machine, f64, f64)> = open
            .iter()
            .map(|(m, share)| (*m, *share, services(cluster, m)))
            .filter(|(m, share, services)| {
                let thin = *services == 0.0 || *share <= c::LOW_LOAD_SHARE;
                thin && m.up_at.is_some_and(|t| now > t + boot_ms(&catalog, &m.type_name))
            })
            .collect();
        // The dearest kind first, then those with the least to move, then the emptiest.
        candidates.sort_by(|a, b| {
            a.0.spot.cmp(&b.0.spot).then(a.2.total_cmp(&b.2)).then(a.1.total_cmp(&b.1))
        });
        let mut chosen = Vec::new();
        for (m, _, services) in candidates {
            if chosen.len() >= most || free - 1.0 < headroom {
                break;
            }
            // Its room is gone, and what it holds takes room elsewhere.
            let left = ordinary_free - room(m) - services;
            if m.spot || spare.is_none() || left >= want {
                ordinary_free = left;
                free -= 1.0;
                chosen.push(m.name.clone());
            }
        }
        if chosen.is_empty() {
            l.fleet.excess_since = None;
            return;
        }
        let since = *l.fleet.excess_since.get_or_insert(now);
        if now < since + c::EXCESS_ROOM_MS {
            return;
        }
        l.fleet.excess_since = None;
        log::debug!("closes {}, the others have room for their work", chosen.join(", "));
        for name in chosen {
            if let Some(m) = l.cluster.machines.get_mut(&name) {
                m.closing = true;
            }
        }
    }

    /// Moves services off machines that are being emptied to where their image is, a few at a
    /// time, those first that leave their machine soonest empty.
    fn move_services(&mut self) {
        let now = self.now.mono;
        let Some(l) = self.leader.as_mut() else { return };
        if now < l.fleet.move_at {
            return;
        }
        let cluster = &l.cluster;
        let mut from: Vec<(f64, &Machine)> = cluster
            .machines
            .values()
            .filter(|m| m.closing && m.life == Life::Up)
            .map(|m| (services(cluster, m), m))
            .filter(|(n, _)| *n > 0.0)
            .collect();
        if from.is_empty() {
            return;
        }
        from.sort_by(|a, b| a.0.total_cmp(&b.0));
        let most = ((cluster.machines.len() as f64 * c::MOVE_SHARE) as usize).max(1);
        let mut targets: Vec<(&Machine, Resources)> =
            cluster.machines.values().filter(|t| usable(t)).map(|t| (t, cluster.free(t))).collect();
        let mut chosen = Vec::new();
        for (m, (id, p)) in from.iter().flat_map(|(_, m)| m.placements.iter().map(move |x| (m, x)))
        {
            if chosen.len() >= most {
                break;
            }
            let Some(job) = cluster.jobs.get(&id.0) else { continue };
            let Some(spec) = job.spec.as_ref().filter(|s| s.kind == JobKind::Service) else {
                continue;
            };
            if p.ended.is_some() || p.halt.is_some() || p.running_since.is_none() {
                continue;
            }
            let target = targets.iter_mut().find(|(t, free)| {
                t.zone == m.zone
                    && (!t.spot || spec.spot_allowed)
                    && t.type_name == m.type_name
                    && t.images.iter().any(|(k, _)| *k == spec.image)
                    && free.fits(&job.need)
            });
            if let Some((_, free)) = target {
                *free -= job.need;
                chosen.push((m.name.clone(), id.clone()));
            }
        }
        if chosen.is_empty() {
            return;
        }
        l.fleet.move_at = now + c::MOVE_GAP_MS;
        for (name, id) in chosen {
            if let Some(p) =
                l.cluster.machines.get_mut(&name).and_then(|m| m.placements.get_mut(&id))
            {
                log::debug!("{}/{}: moves off {name}", id.0, id.1);
                p.halt = Some(Halt::MakeRoom);
            }
        }
    }

    // --- returning -----------------------------------------------------------------

    fn return_machines(&mut self) {
        let now = self.now.mono;
        let op = self.op.clone();
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        // Leases may be kept in our place for so long after we were last heard.
        let isolation = self.isolated_ms() + self.lease_ms();
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        let spare = l.spare_slots(now, &catalog);
        let silent = l.silent_services(now, &self.cfg);
        let lease = (self.cfg.params.workers.lease_s * c::MS_PER_S) as u64;
        let silent_ms = (self.cfg.params.workers.report_s * c::SILENT_PERIODS * c::MS_PER_S) as u64;
        let mut free_slots: f64 = 0.0;
        for m in l.cluster.machines.values().filter(|m| usable(m) && !m.spot) {
            free_slots +=
                spare.as_ref().map_or(0.0, |(need, _)| l.cluster.free(m).times(need) as f64);
        }
        let mut names = Vec::new();
        for m in l.cluster.machines.values() {
            let ready = boot_ms(&catalog, &m.type_name);
            let empty = m.placements.is_empty();
            let start_starving = now.saturating_sub(m.rented_at);
            // Cut off it may come back, and another one in its place takes a boot before it is of
            // use: it is kept for that long. A zone that was cut off was once returned whole.
            let give_up = lease + ready;
            let idle_ms = match op.idle_return_s {
                Some(s) => (s * c::MS_PER_S) as u64,
                None => (ready as f64 * c::IDLE_RETURN_BOOTS) as u64,
            };
            let back = match m.life {
                Life::Booting | Life::Unheard | Life::Up if m.failed => true,
                Life::Gone | Life::Deleting | Life::Unheard => false,
                Life::Booting => start_starving as f64 > ready as f64 * c::BOOT_LOST,
                Life::Up if m.lease_expired => {
                    m.answered_at.is_none_or(|t| now > t + give_up) || m.draining
                }
                // Empty, or past its time and silent: to wait for the list would hold its
                // tasks for twice its lag.
                Life::Up if m.reclaim_at.is_some() => {
                    let past = m.reclaim_at.is_some_and(|t| now > t + c::RECLAIM_PAST_MS);
                    let quiet = m.reported_at.is_none_or(|t| now > t + silent_ms);
                    empty || (past && quiet)
                }
                Life::Up if m.draining => empty,
                Life::Up if m.closing => {
                    empty && start_starving as f64 >= c::CHARGE_MIN_S * c::MS_PER_S
                }
                Life::Up if !empty => false,
                Life::Up => {
                    let idle = m.idle_since.is_some_and(|t| now >= t + idle_ms);
                    let paid = start_starving as f64 >= c::CHARGE_MIN_S * c::MS_PER_S;
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
            let mute = m.life == Life::Up
                && !m.lease_expired
                && m.reported_at.is_some_and(|t| now > t + give_up.max(isolation));
            let unheard =
                m.life == Life::Unheard && now > m.confirmed_read_at + lease + c::SILENT_DELETE_MS;
            let doubtful = silent.contains(&m.name);
            // What nobody can order about any more is replaced: with tasks on it once its lease
            // must be over, so that they start elsewhere.
            let patience = match empty {
                true => c::SILENT_DELETE_MS,
                false => lease,
            };
            let deaf =
                m.life == Life::Up && m.unreachable_since.is_some_and(|t| now > t + patience);
            if back || mute || unheard || doubtful || deaf {
                names.push(m.name.clone());
            }
        }
        // A leader that hears nobody must not take that for the death of all.
        if names.is_empty() || now > l.heard_at + c::LEADER_UNHEARD_MS {
            return;
        }
        names.truncate(c::DELETE_MAX);
        if !self.cloud.take(1.0, 0.0, now) {
            return;
        }
        for n in &names {
            if let Some(m) = l.cluster.machines.get_mut(n) {
                m.life = Life::Deleting;
            }
        }
        log::info!("returns {}", names.join(", "));
        let body = Names { machines: names.iter().map(|n| n.to_string()).collect() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let purpose = Purpose::Delete(names);
        self.call(Service::Cloud, "POST", "/hosts/delete".into(), body, c::CLOUD_CALL_MS, purpose);
    }

    pub(super) fn delete_answered(&mut self, names: Vec<Name>, reply: Option<(u16, Vec<u8>)>) {
        if matches!(reply, Some((200, _))) {
            for n in names {
                self.machine_gone(&n);
            }
            return;
        }
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        for n in names {
            // Perhaps carried out, perhaps later: asked for again.
            if let Some(m) = l.cluster.machines.get_mut(&n).filter(|m| m.life == Life::Deleting) {
                m.life = if m.up_at.is_some() { Life::Up } else { Life::Unheard };
                m.draining = true;
            }
        }
    }

    // --- renting -------------------------------------------------------------------

    fn rent_machines(&mut self) {
        let now = self.now.mono;
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        let rent_spot = self.op.rent_spot;
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        if !l.fleet.listed_once || now < l.fleet.cloud_at {
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
        for m in l.cluster.machines.values().filter(|m| m.life == Life::Booting) {
            let Some(b) = catalog.machine_types.iter().position(|b| b.type_name == m.type_name)
            else {
                continue;
            };
            let machine_type = &catalog.machine_types[b];
            let start_starving = now.saturating_sub(m.rented_at) as f64 / c::MS_PER_S;
            if start_starving <= machine_type.boot_s * c::BOOT_LATE {
                coming.push(Coming {
                    total: total(machine_type),
                    machine_type: b,
                    zone: m.zone.clone(),
                    spot: m.spot,
                });
            }
        }
        for r in &l.fleet.rentals {
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
        let mut unplaced = l.fleet.unplaced.clone();
        // Room for services to come, on ordinary machines: free now, or held by tasks that
        // may be stopped for them.
        if let Some((need, want)) = l.spare_slots(now, &catalog) {
            let mut have = 0.0;
            for m in l.cluster.machines.values().filter(|m| usable(m) && !m.spot) {
                have += l.cluster.room_for_services(m).times(&need) as f64;
            }
            let missing = want - have;
            if missing > 0.0 {
                unplaced.push(UnplacedTasks {
                    need,
                    spot_ok: false,
                    service: true,
                    allowed_types: vec![true; catalog.machine_types.len()],
                    zone: None,
                    slots: missing,
                    dear: missing,
                    in_zone: vec![],
                    zone_cap: u32::MAX,
                });
            }
        }
        // How many machines of each kind there are: zones with fewer come first.
        let mut counts: HashMap<(&str, bool), usize> = HashMap::new();
        for m in l.cluster.machines.values().filter(|m| m.life != Life::Gone) {
            *counts.entry((m.zone.as_str(), m.spot)).or_default() += 1;
        }
        let mut wanted: HashMap<(usize, String, bool), usize> = HashMap::new();
        // Services first: they may not be able to use what the others get.
        unplaced.sort_by_key(|u| (!u.service, u.spot_ok));
        for u in &unplaced {
            let mut slots = u.slots;
            // Those before this one have no room for such a task any more.
            let mut from = 0;
            let mut in_zone: HashMap<String, u32> = u.in_zone.iter().cloned().collect();
            while slots > c::SLOT_EPSILON {
                let open = |zone: &str| {
                    u.zone.as_ref().is_none_or(|y| y == zone)
                        && in_zone.get(zone).copied().unwrap_or(0) < u.zone_cap
                };
                let on_way = coming.iter().skip(from).position(|x| {
                    (u.spot_ok || !x.spot)
                        && u.allowed_types[x.machine_type]
                        && open(&x.zone)
                        && x.total.fits(&u.need)
                });
                from = on_way.map_or(coming.len(), |n| from + n);
                if let Some(x) = coming.get_mut(from) {
                    x.total -= u.need;
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
                            if spot && !(u.spot_ok && rent_spot) {
                                continue;
                            }
                            if !spot && u.spot_ok && slots <= u.slots - u.dear {
                                continue;
                            }
                            let kind = (b.type_name.clone(), zone.clone(), spot);
                            if l.fleet.no_capacity.get(&kind).is_some_and(|t| now < *t) {
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
                let number = (*left).min(c::RENT_MAX);
                if number == 0 {
                    continue;
                }
                if !self.cloud.take(1.0, 1.0, now) {
                    *left = 0;
                    continue;
                }
                *left -= number;
                let (machine_type, zone, spot) = (*machine_type, zone.clone(), *spot);
                let request_id = format!("mg-{}", l.unique());
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
            let body = Rent {
                request_id: r.request_id.clone(),
                machine_type: catalog.machine_types[r.machine_type].type_name.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                number: r.number,
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            if let Some(l) = self.leader.as_mut() {
                l.fleet.rentals.push(r.clone());
            }
            self.call(
                Service::Cloud,
                "POST",
                "/hosts".into(),
                body,
                c::CLOUD_CALL_MS,
                Purpose::Rent(r),
            );
        }
    }

    pub(super) fn rent_answered(&mut self, rental: Rental, reply: Option<(u16, Vec<u8>)>) {
        let now = self.now.mono;
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        let Some(l) = self.leader.as_mut() else {
            return;
        };
        l.fleet.rentals.retain(|r| r.request_id != rental.request_id);
        let Some(machine_type) = catalog.machine_types.get(rental.machine_type) else {
            return;
        };
        let kind = (machine_type.type_name.clone(), rental.zone.clone(), rental.spot);
        match reply {
            Some((200, body)) => {
                let Ok(names) = serde_json::from_slice::<Names>(&body) else {
                    return;
                };
                if names.machines.len() < rental.number {
                    l.fleet.no_capacity.insert(kind, now + c::CAPACITY_REST_MS);
                }
                for n in names.machines {
                    let name: Name = n.as_str().into();
                    if l.fleet.is_gone(&n) {
                        continue;
                    }
                    let m = l.cluster.machine_entry(&name, now);
                    if m.type_name.is_empty() {
                        m.type_name = machine_type.type_name.clone();
                        m.zone = rental.zone.clone();
                        m.spot = rental.spot;
                        m.rented_at = now;
                    }
                }
            }
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                log::info!("no capacity for {} in {}, spot {}", kind.0, kind.1, kind.2);
                l.fleet.no_capacity.insert(kind, now + c::CAPACITY_REST_MS);
            }
            // Perhaps carried out, perhaps later: what comes of it shows up in the list.
            _ => l.fleet.cloud_at = now + c::CLOUD_RETRY_MS,
        }
    }
}

impl Leader {
    /// Machines with services that have missed a whole round of reports while nearly all
    /// others report, and whose services have a place elsewhere: deleting them is evidence
    /// at once, where a lease or the list take twice as long. If they were only cut off, their
    /// tasks would have ended with the lease all the same.
    fn silent_services(&self, now: u64, cfg: &Platform) -> Vec<Name> {
        let w = &cfg.params.workers;
        // A report that fails, the worker's wait for it, one at a wrong controller, and back.
        let round = w.report_s * 2.5 + c::WORKER_WAIT_S + c::WORKER_RETRY_S * 2.0;
        let round_ms = (round * c::MS_PER_S) as u64;
        let recent_ms = (w.report_s * c::SILENT_PERIODS * c::MS_PER_S) as u64;
        let cluster = &self.cluster;
        let last = |m: &Machine| m.reported_at.unwrap_or(0).max(self.began);
        let known: Vec<&Machine> = cluster
            .machines
            .values()
            .filter(|m| matches!(m.life, Life::Up | Life::Unheard) && !m.failed)
            .collect();
        let quiet: Vec<&&Machine> = known
            .iter()
            .filter(|m| !m.lease_expired && now > last(m).max(m.confirmed_read_at) + round_ms)
            .collect();
        let heard =
            known.iter().filter(|m| m.reported_at.is_some_and(|t| now <= t + recent_ms)).count();
        let few = quiet.len() * c::SILENT_FEW <= known.len();
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
                    .filter(|((uid, _), p)| p.ended.is_none() && cluster.is_service(uid))
                    .filter_map(|((uid, _), _)| cluster.jobs.get(uid).map(|j| j.need))
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

    /// Takes note of jobs that came since the last look. What a new leader finds counts at
    /// the time of day that it was accepted.
    fn note_arrivals(&mut self, now: Clock, catalog: &Catalog) {
        let Some(whole) = catalog.machine_types.iter().map(total).max_by_key(|t| (t.gpu, t.cpu))
        else {
            return;
        };
        let from = self.fleet.seen_arrival;
        let mut services = Vec::new();
        let mut work = Vec::new();
        let mut last = from;
        for (stamp, uid) in self.cluster.queue.range(from + 1..) {
            last = *stamp;
            let Some(job) = self.cluster.jobs.get(uid) else { continue };
            let Some(spec) = &job.spec else { continue };
            let ago = if from == 0 { now.wall.saturating_sub(job.at_wall) } else { 0 };
            let at = now.mono.saturating_sub(ago);
            if ago > c::ARRIVAL_WINDOW_MS {
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
        f.seen_arrival = last;
        f.arrivals.extend(services);
        f.work.extend(work);
        f.arrivals.retain(|(t, _)| now.mono <= t + c::ARRIVAL_WINDOW_MS);
        f.work.retain(|(t, _)| now.mono <= t + c::WORK_WINDOW_MS);
    }

    /// Over how long arrivals have been watched, in milliseconds.
    fn watched_ms(&self, now: u64, window: u64) -> f64 {
        (now - self.began).clamp(c::ARRIVAL_WINDOW_MS / 2, c::ARRIVAL_WINDOW_MS).min(window) as f64
    }

    /// Machines that batch work keeps busy at the rate at which it has been coming.
    fn batch_machines(&self, now: u64) -> f64 {
        let work: f64 = self.fleet.work.iter().map(|(_, w)| w).sum();
        work / self.watched_ms(now, c::WORK_WINDOW_MS)
    }

    /// Room to keep for services: what one of their tasks takes, and how many are expected
    /// to arrive while a machine boots.
    fn spare_slots(&self, now: u64, catalog: &Catalog) -> Option<(Resources, f64)> {
        let cluster = &self.cluster;
        let newest = cluster.queue.values().rev().find(|uid| cluster.is_service(uid))?;
        let need = cluster.jobs.get(newest)?.need;
        let tasks: u32 = self.fleet.arrivals.iter().map(|(_, n)| n).sum();
        let ready =
            catalog.machine_types.iter().map(|b| b.boot_s).fold(0.0, f64::max) * c::MS_PER_S;
        let expected =
            (f64::from(tasks) / self.watched_ms(now, c::ARRIVAL_WINDOW_MS) * ready).ceil();
        Some((need, expected + c::SPARE_SERVICE_SLOTS))
    }
}

/// Tasks of services on a machine.
fn services(cluster: &ClusterState, m: &Machine) -> f64 {
    let on = |((uid, _), p): &(&TaskId, &Placement)| p.ended.is_none() && cluster.is_service(uid);
    m.placements.iter().filter(on).count() as f64
}

/// The part of a machine's load that services make up.
fn service_share(cluster: &ClusterState, m: &Machine) -> f64 {
    let (mut service, mut all) = (0.0, 0.0);
    for ((uid, _), p) in &m.placements {
        if let (None, Some(j)) = (p.ended, cluster.jobs.get(uid)) {
            let share = j.need.share_of(&m.total);
            all += share;
            if cluster.is_service(uid) {
                service += share;
            }
        }
    }
    if all > 0.0 {
        service / all
    } else {
        0.0
    }
}

fn usable(m: &Machine) -> bool {
    m.life == Life::Up
        && !m.draining
        && !m.closing
        && !m.lease_expired
        && m.unreachable_since.is_none()
        && m.reclaim_at.is_none()
}

fn total(b: &MachineType) -> Resources {
    Resources::new(b.cores, b.gpus, b.ram_gb)
}

fn boot_ms(catalog: &Catalog, type_name: &str) -> u64 {
    let s =
        catalog.machine_types.iter().find(|b| b.type_name == type_name).map_or(60.0, |b| b.boot_s);
    (s * c::MS_PER_S) as u64
}
