//! Jobs with waiting tasks, and the teams that they belong to.

use super::InputBuilder;
use crate::constants::MS_PER_S;
use crate::coordination::planner::{is_within_guarantee, JobView, TeamView};
use crate::protocol::cloud::Catalog;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::Resources;
use crate::settings::Objective;
use crate::storage::job::Job;
use crate::storage::machine::TaskId;
use crate::storage::records::MachineName;

impl<'a> InputBuilder<'a> {
    /// Adds the jobs with waiting tasks, in the order of their arrival.
    pub(super) fn add_waiting_jobs(&mut self) {
        // Resources of each team's unfinished jobs, up to and including the present one.
        let mut team_needs = vec![Resources::default(); self.settings.params.teams.len()];
        let cluster = self.cluster;
        for job_id in cluster.queue.values() {
            let Some(job) = cluster.jobs.get(job_id) else { continue };
            let Some(spec) = &job.spec else { continue };
            let Some(team) = self.indices.team(&spec.team) else { continue };
            team_needs[team] += job.need * i64::from(job.tasks - job.done_count.min(job.tasks));
            if waiting_tasks(job, self.now_ms) == 0 || is_paused(job, self.now_ms) {
                continue;
            }
            let guarantee = self.settings.params.teams[team].guarantee();
            let within_guarantee = is_within_guarantee(&team_needs[team], &guarantee);
            let Some(view) = self.job_view(job, spec, team, within_guarantee) else { continue };
            self.input.snapshot.jobs.push(view);
            self.input.jobs.push(job_id.clone());
        }
    }

    /// The planner's view of a job; `None` if the job can't be placed at present.
    fn job_view(
        &mut self,
        job: &'a Job,
        spec: &'a JobSpec,
        team: usize,
        within_guarantee: bool,
    ) -> Option<JobView> {
        let zones = self.zone_constraints(job, spec)?;
        let waited_ms = self.clock.wall_ms.saturating_sub(job.accepted_at_wall_ms);
        let run_ms = self.leader.expected_run_ms(spec);
        let AvoidedMachines { avoided, retryable } = self.avoided_machines(job);
        Some(JobView {
            priority: spec.priority,
            team,
            is_service: spec.kind == JobKind::Service,
            is_gang: spec.is_gang(),
            arrival: job.arrival,
            waited_ms,
            due_in_ms: due_in_ms(&self.settings.params.objectives, spec, run_ms, waited_ms),
            within_guarantee,
            need: job.need,
            bandwidth: spec.cores * self.operator.bandwidth(&spec.class),
            run_ms,
            allowed_types: allowed_types(self.catalog, spec),
            zone: zones.required_zone,
            spot_allowed: spec.spot_allowed,
            tasks_per_zone: zones.tasks_per_zone,
            max_tasks_per_zone: spec.zone_cap(),
            one_zone: spec.one_zone,
            waiting_tasks: waiting_tasks(job, self.now_ms),
            has_started: job.has_started || job.done_count > 0 || !job.placed_on.is_empty(),
            image: self.indices.image(&spec.image),
            image_gb: spec.size_gb,
            avoided_machines: avoided,
            retryable_machines: retryable,
        })
    }

    /// Machines that a job avoids because it failed there. One on which the job is being tried again is not
    /// retryable until that task has ended or is known to run.
    fn avoided_machines(&self, job: &Job) -> AvoidedMachines {
        let mut machines = AvoidedMachines::default();
        for (name, may_retry) in job.failures.avoided_machines(self.now_ms) {
            let Some(&index) = self.machine_indices.get(name) else { continue };
            machines.avoided.push(index);
            if may_retry && !self.is_trying(job, name) {
                machines.retryable.push(index);
            }
        }
        machines
    }

    /// Whether a task of the job is placed on the machine and not known to run there.
    fn is_trying(&self, job: &Job, machine: &MachineName) -> bool {
        let placed = job.placed_on.iter().filter(|(_, name)| *name == machine);
        let mut placements = placed.filter_map(|(index, name)| {
            self.cluster.placement(name, &TaskId::new(job.id.clone(), *index))
        });
        placements.any(|placement| placement.running_since.is_none())
    }

    /// Zone constraints of a job; `None` if the job can't be placed at present.
    fn zone_constraints(&self, job: &Job, spec: &JobSpec) -> Option<ZoneConstraints> {
        let tasks_per_zone = self.tasks_per_zone(job, spec)?;
        let required_zone = match &spec.zone {
            Some(name) => Some(self.indices.zone(name)?),
            None => None,
        };
        Some(ZoneConstraints { tasks_per_zone, required_zone })
    }

    /// Unsettled tasks of a job per zone, or zeros if its placement doesn't depend on them. `None` if the
    /// job must be spread over zones or stay in one, and the zone of one of its machines is not known yet.
    fn tasks_per_zone(&self, job: &Job, spec: &JobSpec) -> Option<Vec<u32>> {
        let mut tasks_per_zone = vec![0; self.indices.zone_count()];
        let must_know_all = spec.spread || spec.one_zone;
        if !must_know_all && spec.kind != JobKind::Service {
            return Some(tasks_per_zone);
        }
        for machine in job.placed_on.values() {
            let machine = self.cluster.machines.get(machine);
            match machine.and_then(|machine| self.indices.zone(&machine.zone)) {
                Some(zone) => tasks_per_zone[zone] += 1,
                None if must_know_all => return None,
                None => {}
            }
        }
        Some(tasks_per_zone)
    }

    /// Adds all teams. Resources used by tasks of unknown jobs count against every team.
    pub(super) fn add_teams(&mut self) {
        let unknown = self.cluster.used_by_unknown_tasks();
        for team in &self.settings.params.teams {
            let mut used = self.cluster.usage.get(&team.name).copied().unwrap_or_default();
            used += unknown;
            self.input.snapshot.teams.push(TeamView {
                used,
                guarantee: team.guarantee(),
                limit: team.limit(),
                share_permille: 0,
            });
        }
    }
}

/// Indices of the machines that a job avoids because it failed there.
#[derive(Default)]
struct AvoidedMachines {
    avoided: Vec<usize>,
    /// Those on which it may be tried again if no other machine fits.
    retryable: Vec<usize>,
}

/// Zone constraints of a job.
struct ZoneConstraints {
    /// Unsettled tasks per zone.
    tasks_per_zone: Vec<u32>,
    /// The only zone in which the job may run.
    required_zone: Option<usize>,
}

/// Tasks of a job that are offered to the planner.
pub(super) fn waiting_tasks(job: &Job, now_ms: u64) -> u32 {
    // A job that failed on several machines in a row is retried one task at a time.
    match job.failures.are_on_several_machines(now_ms) && !job.is_gang() {
        true => job.waiting_tasks().min(1),
        false => job.waiting_tasks(),
    }
}

/// Whether a job is in backoff after failures of its tasks or of its gang's attempts.
fn is_paused(job: &Job, now_ms: u64) -> bool {
    let gang_retry_at = job.gang.as_ref().map_or(0, |gang| gang.retry_at);
    job.failures.is_paused(now_ms) || gang_retry_at > now_ms
}

/// Which machine types a job may use, in the order of the catalog.
fn allowed_types(catalog: &Catalog, spec: &JobSpec) -> Vec<bool> {
    let types = catalog.machine_types.iter();
    types.map(|machine_type| spec.allows_type(&machine_type.type_name)).collect()
}

/// Milliseconds until each deadline of a job, sorted: those from the objectives for its class, and its own.
pub(super) fn due_in_ms(
    objectives: &[Objective],
    spec: &JobSpec,
    run_ms: u64,
    waited_ms: u64,
) -> Vec<u64> {
    let applies_to_class =
        |objective: &&Objective| objective.class.as_deref().is_none_or(|class| class == spec.class);
    let run_s = run_ms as f64 / MS_PER_S;
    let mut due_in_ms: Vec<u64> = objectives
        .iter()
        .filter(applies_to_class)
        .filter_map(|objective| objective.complete_within(spec.deadline_s, run_s))
        .chain(spec.deadline_s)
        .map(|seconds| ((seconds * MS_PER_S) as u64).saturating_sub(waited_ms))
        .collect();
    due_in_ms.sort_unstable();
    due_in_ms.dedup();
    due_in_ms
}
