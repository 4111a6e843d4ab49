//! The planner's snapshot of the cluster, with the names behind its indices.

use super::gangs::saves_when_stopped;
use super::planner::{self, JobView, MachineView, RunningTask, Snapshot, TeamView};
use super::{Clock, Leader};
use crate::constants::{
    BOOT_LATE, BOOT_SOON_PART, COMING_MANY, GANG_AVOID_MAX, HTTP_BODY_MAX, MS_PER_S, OVERDUE_SHARE,
    REPORT_JITTER, REPORT_TASK_BYTES, SERVICE_RUN_S, SILENT_PERIODS,
};
use crate::protocol::cloud::Catalog;
use crate::protocol::users::{JobKind, Priority};
use crate::protocol::Resources;
use crate::settings::{Operator, Platform};
use crate::storage::hashing::{HashMap, HashSet};
use crate::storage::machine::{Machine, MachineState, TaskId};
use crate::storage::records::{JobId, MachineName};

/// What a pass needs to know of a job for each of its placements.
struct Facts {
    priority: Priority,
    team: Option<usize>,
    need: Resources,
    bandwidth: f64,
    run: u64,
    service: bool,
    saves: bool,
    stops: u32,
    image: usize,
    size_gb: f64,
    halt_ms: u64,
}

/// A snapshot with the names behind its indices.
pub(crate) struct PlannerInput {
    pub snapshot: Snapshot,
    pub jobs: Vec<JobId>,
    pub machines: Vec<MachineName>,
    pub handles: Vec<Vec<TaskId>>,
    pub zones: Vec<String>,
}

impl PlannerInput {
    pub(super) fn of_cluster<'a>(
        leader: &'a Leader,
        settings: &Platform,
        operator: &Operator,
        catalog: &Catalog,
        clock: Clock,
    ) -> PlannerInput {
        let now = clock.monotonic_ms;
        let cluster = &leader.cluster;
        let keys = cluster.hash_keys();
        let mut zones: Vec<&str> = Vec::new();
        for z in
            catalog.machine_types.iter().flat_map(|b| b.zones.iter()).chain(&settings.params.zones)
        {
            if !zones.contains(&z.as_str()) {
                zones.push(z);
            }
        }
        let zone_of = |y: &str| zones.iter().position(|z| *z == y);
        let type_index_of = |s: &str| catalog.machine_types.iter().position(|b| b.type_name == s);
        let team_of = |t: &str| settings.params.teams.iter().position(|x| x.name == t);
        let mut images: HashMap<&str, usize> = keys.map();
        let mut image_of = |k: &'a str| {
            let n = images.len();
            *images.entry(k).or_insert(n)
        };
        // What all placements of a job share is worked out once a job, not once a placement.
        let mut facts: HashMap<&JobId, Option<Facts>> = keys.map();
        let silent = (settings.params.workers.report_s * SILENT_PERIODS * MS_PER_S) as u64;
        let slots = HTTP_BODY_MAX / REPORT_TASK_BYTES;

        let mut v = PlannerInput {
            snapshot: Snapshot::default(),
            jobs: vec![],
            machines: vec![],
            handles: vec![],
            zones: zones.iter().map(|z| z.to_string()).collect(),
        };
        v.snapshot.now_ms = now;
        for (i, spot) in [false, true].into_iter().enumerate() {
            let coming = cluster
                .machines
                .values()
                .filter(|m| m.state == MachineState::Booting && m.spot == spot);
            let coming: Vec<(u64, Resources)> = coming
                .filter_map(|m| {
                    let machine_type = &catalog.machine_types[type_index_of(&m.type_name)?];
                    let ready = (machine_type.boot_s * MS_PER_S) as u64;
                    let left = (m.rented_at + ready).saturating_sub(now);
                    let late = now > m.rented_at + (ready as f64 * BOOT_LATE) as u64;
                    let has =
                        Resources::new(machine_type.cores, machine_type.gpus, machine_type.ram_gb);
                    // One that is late may come at any time.
                    (!late).then_some((left.max(ready / BOOT_SOON_PART), has))
                })
                .collect();
            let waits = coming.iter().map(|(ms, _)| *ms);
            let n = coming.len() as u64;
            let many = n >= COMING_MANY;
            v.snapshot.mean_boot_wait[i] = many.then(|| waits.sum::<u64>() / n);
            v.snapshot.booting.extend(coming);
        }
        v.snapshot.gang_wait_ms = (settings.params.workers.gang_wait_s * MS_PER_S) as u64;
        let mut held_reports: HashSet<&MachineName> = keys.set();
        held_reports.extend(leader.deferred_heartbeats.iter().map(|held| held.machine()));
        v.snapshot.thresholds = operator.thresholds.clone();
        for m in cluster.machines.values() {
            let (Some(zone), Some(type_index)) = (zone_of(&m.zone), type_index_of(&m.type_name))
            else {
                continue;
            };
            let open = m.state == MachineState::Up
                && !m.cordoned
                && !m.draining
                && !m.lease_expired
                // What is to be taken gets nothing more: it would not be stored, and the same tasks
                // were placed there pass after pass while others had room for them.
                && m.reclaim_at.is_none()
                // Nothing goes to a machine before it has shown our token: what reports may be
                // a late copy of one that is gone, or a machine that hears nobody.
                && m.has_our_token
                // What a task of an unknown job takes of its machine is not known either.
                && m.unknown_tasks.is_empty()
                && m.unreachable_since.is_none()
                && m.last_alive_at.is_some_and(|t| now - t <= silent);
            if !open {
                continue;
            }
            let machine_type = &catalog.machine_types[type_index];
            let per_gb = if machine_type.fetch_gb_per_s > 0.0 {
                MS_PER_S / machine_type.fetch_gb_per_s
            } else {
                0.0
            };
            let mut held: Vec<(usize, u64)> =
                m.images.iter().map(|(k, _)| (image_of(k), 0)).collect();
            let mut running = Vec::new();
            let mut handles = Vec::new();
            for (id, p) in &m.placements {
                if p.settled.is_some() {
                    continue;
                }
                let fact = facts.entry(&id.job).or_insert_with(|| {
                    let job = cluster.jobs.get(&id.job)?;
                    let spec = job.spec.as_ref()?;
                    Some(Facts {
                        priority: spec.priority,
                        team: team_of(&spec.team),
                        need: job.need,
                        bandwidth: spec.cores * operator.bandwidth(&spec.class),
                        run: leader.run_ms(spec),
                        service: spec.kind == JobKind::Service,
                        saves: saves_when_stopped(spec, &settings.params.workers),
                        stops: if spec.is_gang() { spec.tasks } else { 1 },
                        image: image_of(&spec.image),
                        size_gb: spec.size_gb,
                        halt_ms: (spec.checkpoint_cost_s * MS_PER_S) as u64 + silent / 2,
                    })
                });
                let Some(fact) = fact else { continue };
                let Facts { run, service, image, halt_ms, .. } = *fact;
                let fetch = (fact.size_gb * per_gb) as u64;
                if p.running_since.is_none() {
                    let left = (p.placed_at + fetch).saturating_sub(now);
                    if !held.iter().any(|(k, _)| *k == image) {
                        held.push((image, left));
                    }
                }
                let ran = p.running_since.map(|t| now - t);
                let end = if p.stop_reason.is_some() {
                    now + halt_ms
                } else if service {
                    now + (SERVICE_RUN_S * MS_PER_S) as u64
                } else {
                    let begun = p.running_since.unwrap_or_else(|| (p.placed_at + fetch).max(now));
                    let end = begun + run;
                    if end > now {
                        end
                    } else {
                        now + ((now - begun) as f64 * OVERDUE_SHARE) as u64
                    }
                };
                handles.push(id.clone());
                running.push(RunningTask {
                    priority: fact.priority,
                    team: fact.team,
                    need: fact.need,
                    bandwidth: fact.bandwidth,
                    end_ms: end,
                    is_service: service,
                    ran_ms: ran,
                    keeps_progress: fact.saves,
                    tasks_stopped: fact.stops,
                    is_stopping: p.stop_reason.is_some(),
                    stop_ms: halt_ms,
                    handle: handles.len() - 1,
                });
            }
            v.snapshot.machines.push(MachineView {
                zone,
                type_index,
                spot: m.spot,
                total: m.total,
                free_task_slots: slots.saturating_sub(m.placements.len()),
                running,
                images: held,
                fetch_ms_per_gb: per_gb,
                next_report_ms: match held_reports.contains(&m.name) {
                    true => 0,
                    false => next_report_ms(m, settings.params.workers.report_s, now),
                },
            });
            v.machines.push(m.name.clone());
            v.handles.push(handles);
        }
        let mut index: HashMap<&MachineName, usize> = keys.map();
        index.extend(v.machines.iter().enumerate().map(|(i, m)| (m, i)));
        // What each team's unfinished jobs take together, up to the one looked at.
        let mut claimed = vec![Resources::default(); settings.params.teams.len()];
        for uid in cluster.queue.values() {
            let Some(job) = cluster.jobs.get(uid) else {
                continue;
            };
            let Some(spec) = &job.spec else { continue };
            // A job that fails everywhere is tried one task at a time.
            let waiting = match job.fails_everywhere() && !job.is_gang() {
                true => job.waiting().min(1),
                false => job.waiting(),
            };
            let Some(team) = team_of(&spec.team) else {
                continue;
            };
            claimed[team] += job.need * i64::from(job.tasks - job.done_count.min(job.tasks));
            let gang_pause = job.gang.as_ref().map_or(0, |gang| gang.retry_at);
            if waiting == 0 || job.paused_until.max(gang_pause) > now {
                continue;
            }
            let mut in_zone = vec![0; zones.len()];
            let mut lost_zone = false;
            if spec.spread || spec.one_zone || spec.kind == JobKind::Service {
                for name in job.placed_on.values() {
                    match cluster.machines.get(name).and_then(|m| zone_of(&m.zone)) {
                        Some(z) => in_zone[z] += 1,
                        // Where it is is not known yet: `apart` and `together` can't be kept.
                        None => lost_zone = true,
                    }
                }
            }
            if lost_zone && (spec.spread || spec.one_zone) {
                continue;
            }
            let allowed_types = catalog
                .machine_types
                .iter()
                .map(|b| spec.machine_types.as_ref().is_none_or(|list| list.contains(&b.type_name)))
                .collect();
            let zone = match &spec.zone {
                Some(y) => match zone_of(y) {
                    Some(z) => Some(z),
                    None => continue,
                },
                None => None,
            };
            let tries_everywhere = match job.is_gang() {
                true => job.failed_on.len() > GANG_AVOID_MAX,
                false => job.fails_everywhere(),
            };
            let avoid = match tries_everywhere {
                true => vec![],
                false => job.failed_on.iter().filter_map(|m| index.get(m).copied()).collect(),
            };
            let within = planner::is_within_guarantee(
                &claimed[team],
                &guarantee(&settings.params.teams[team]),
            );
            let waited_ms = clock.wall_ms.saturating_sub(job.accepted_at_wall_ms);
            let run_ms = leader.run_ms(spec);
            let mut times: Vec<u64> = settings
                .params
                .objectives
                .iter()
                .filter(|o| o.class.as_deref().is_none_or(|class| class == spec.class))
                .filter_map(|o| o.complete_within(spec.deadline_s, run_ms as f64 / MS_PER_S))
                .chain(spec.deadline_s)
                .map(|s| ((s * MS_PER_S) as u64).saturating_sub(waited_ms))
                .collect();
            times.sort_unstable();
            times.dedup();
            v.snapshot.jobs.push(JobView {
                priority: spec.priority,
                team,
                is_service: spec.kind == JobKind::Service,
                is_gang: spec.is_gang(),
                arrival: job.arrival,
                waited_ms,
                due_in_ms: times,
                within_guarantee: within,
                need: job.need,
                bandwidth: spec.cores * operator.bandwidth(&spec.class),
                run_ms,
                allowed_types,
                zone,
                spot_allowed: spec.spot_allowed,
                tasks_per_zone: in_zone,
                max_tasks_per_zone: spec.zone_cap(),
                one_zone: spec.one_zone,
                waiting_tasks: waiting,
                has_started: job.has_started || job.done_count > 0 || !job.placed_on.is_empty(),
                image: image_of(&spec.image),
                image_gb: spec.size_gb,
                avoided_machines: avoid,
            });
            v.jobs.push(uid.clone());
        }
        let unknown = cluster.used_by_unknown_tasks();
        for t in &settings.params.teams {
            let mut used = cluster.usage.get(&t.name).copied().unwrap_or_default();
            used += unknown;
            v.snapshot.teams.push(TeamView {
                used,
                guarantee: guarantee(t),
                limit: Resources::new(t.cpus_max, t.gpus_max, 0.0),
                share_permille: 0,
            });
        }
        v.snapshot.previous_reservation = leader.reservation.as_ref().and_then(|(job, machine)| {
            let j = v.jobs.iter().position(|x| x == job)?;
            Some((j, v.machines.iter().position(|x| x == machine)?))
        });
        v
    }
}

/// Milliseconds until a machine's next report is to be expected.
fn next_report_ms(machine: &Machine, report_s: f64, now: u64) -> u64 {
    let period = report_s * MS_PER_S;
    let since = machine.last_heartbeat_at.map_or(0, |t| now - t) as f64;
    let earliest = (period * (1.0 - REPORT_JITTER) - since).max(0.0);
    let latest = (period * (1.0 + REPORT_JITTER) - since).max(period * REPORT_JITTER);
    ((earliest + latest) / 2.0) as u64
}

fn guarantee(t: &crate::settings::Team) -> Resources {
    Resources::new(t.cpus, t.gpus, 0.0)
}
