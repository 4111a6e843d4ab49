//! Emptying machines that are not needed: which are closed, and whose services move.

use super::*;
use crate::constants::{
    ARRIVAL_WINDOW_MS, CLOSE_SHARE, EXCESS_ROOM_MS, HEADROOM_MACHINES, LOW_LOAD_SHARE, MOVE_GAP_MS,
    MOVE_SHARE, UNPLACED_SHARE,
};
use crate::storage::machine::StopReason;

impl Controller {
    /// Empties the dearest thinly used machines when the others have room for their work and
    /// for work to come; opens such machines again when that is no longer so. How many at a
    /// time grows with the fleet.
    pub(super) fn consolidate(&mut self) {
        let now = self.now.monotonic_ms;
        let operator = self.operator.clone();
        let Some(catalog) = self.cloud.catalog().cloned() else { return };
        let Some(leader) = self.leader.as_mut() else { return };
        let spare = leader.spare_slots(now, &catalog);
        let cluster = &leader.cluster;
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
        let lull = (leader.batch_machines(now) - batch_now).max(0.0);
        let headroom = (busy + lull) * operator.headroom_share + lull + HEADROOM_MACHINES;
        let early = now < leader.began_at + ARRIVAL_WINDOW_MS / 2;
        // A few tasks that find no place for reasons of their own (a zone, a kind of machine) must
        // not keep hundreds of machines open.
        let whole = open.first().map_or(Resources::default(), |(m, _)| m.total);
        let unplaced: f64 =
            leader.fleet.unplaced.iter().map(|u| u.slots * u.need.share_of(&whole)).sum();
        let unplaced = unplaced > open.len() as f64 * UNPLACED_SHARE;
        let short = unplaced || free < headroom || early;
        let most = ((open.len() as f64 * CLOSE_SHARE) as usize).max(1);
        if short {
            leader.fleet.excess_since = None;
            // The fullest first: they have the most work that need not move.
            let mut again: Vec<(f64, MachineName)> = cluster
                .machines
                .values()
                .filter(|m| m.draining && m.state == MachineState::Up && !m.cordoned)
                .map(|m| (load(m), m.name.clone()))
                .collect();
            again.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, name) in again.into_iter().take(most) {
                if let Some(m) = leader.cluster.machines.get_mut(&name) {
                    log::debug!("{name}: opened again");
                    m.draining = false;
                    leader.plan_soon(now);
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
                let thin = *services == 0.0 || *share <= LOW_LOAD_SHARE;
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
            leader.fleet.excess_since = None;
            return;
        }
        let since = *leader.fleet.excess_since.get_or_insert(now);
        if now < since + EXCESS_ROOM_MS {
            return;
        }
        leader.fleet.excess_since = None;
        log::debug!("closes {}, the others have room for their work", chosen.join(", "));
        for name in chosen {
            if let Some(m) = leader.cluster.machines.get_mut(&name) {
                m.draining = true;
            }
        }
    }

    /// Moves services off machines that are being emptied to where their image is, a few at a
    /// time, those first that leave their machine soonest empty.
    pub(super) fn move_services(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else { return };
        if now < leader.fleet.next_move_at {
            return;
        }
        let cluster = &leader.cluster;
        let mut from: Vec<(f64, &Machine)> = cluster
            .machines
            .values()
            .filter(|m| m.draining && m.state == MachineState::Up)
            .map(|m| (services(cluster, m), m))
            .filter(|(n, _)| *n > 0.0)
            .collect();
        if from.is_empty() {
            return;
        }
        from.sort_by(|a, b| a.0.total_cmp(&b.0));
        let most = ((cluster.machines.len() as f64 * MOVE_SHARE) as usize).max(1);
        let mut targets: Vec<(&Machine, Resources)> =
            cluster.machines.values().filter(|t| usable(t)).map(|t| (t, cluster.free(t))).collect();
        let mut chosen = Vec::new();
        for (m, (id, p)) in from.iter().flat_map(|(_, m)| m.placements.iter().map(move |x| (m, x)))
        {
            if chosen.len() >= most {
                break;
            }
            let Some(job) = cluster.jobs.get(&id.job) else { continue };
            let Some(spec) = job.spec.as_ref().filter(|s| s.kind == JobKind::Service) else {
                continue;
            };
            if p.settled.is_some() || p.stop_reason.is_some() || p.running_since.is_none() {
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
        leader.fleet.next_move_at = now + MOVE_GAP_MS;
        for (name, id) in chosen {
            if let Some(p) =
                leader.cluster.machines.get_mut(&name).and_then(|m| m.placements.get_mut(&id))
            {
                log::debug!("{id}: moves off {name}");
                p.stop_reason = Some(StopReason::Eviction);
            }
        }
    }
}
