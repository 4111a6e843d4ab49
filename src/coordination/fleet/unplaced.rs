//! Tasks that found no room in the last planning pass: what the fleet scales out for.

use super::Fleet;
use crate::constants::{DRAIN_TARGET_S, MS_PER_S, RENT_PATIENCE_BOOTS};
use crate::coordination::planner::{JobView, Plan, TeamView};
use crate::coordination::planner_input::PlannerInput;
use crate::protocol::cloud::Catalog;
use crate::protocol::Resources;

/// Tasks of a job that found no room in the last pass.
#[derive(Debug, Clone)]
pub(super) struct UnplacedTasks {
    /// What each takes.
    pub(super) need: Resources,
    pub(super) spot_allowed: bool,
    pub(super) is_service: bool,
    /// By index in the catalog.
    pub(super) allowed_types: Vec<bool>,
    /// The only allowed zone.
    pub(super) zone: Option<String>,
    /// Slots that are wanted for the tasks.
    pub(super) slots: f64,
    /// Of these, the slots worth an ordinary machine.
    pub(super) ordinary_slots: f64,
    pub(super) tasks_per_zone: Vec<(String, u32)>,
    pub(super) max_tasks_per_zone: u32,
    /// A gang whose tasks have to be in one zone: what is rented for it is too.
    pub(super) whole_in_one_zone: bool,
}

impl Fleet {
    /// A pass found nothing waiting.
    pub(in crate::coordination) fn clear_unplaced(&mut self) {
        self.unplaced.clear();
    }

    /// Remembers what a pass found no room for.
    pub(in crate::coordination) fn note_unplaced(
        &mut self,
        input: &PlannerInput,
        plan: &Plan,
        catalog: &Catalog,
    ) {
        self.unplaced.clear();
        let patience = Patience::from_catalog(catalog);
        for (index, job) in input.snapshot.jobs.iter().enumerate() {
            let unplaced = plan.unplaced[index];
            let expected_wait_ms = &plan.expected_wait_ms[index];
            let placed_within =
                |ms: f64| expected_wait_ms.iter().filter(|wait| **wait as f64 <= ms).count() as u32;
            // What will soon find a place on what we have needs no new machine.
            let tasks = unplaced.saturating_sub(placed_within(patience.any_machine_ms));
            let worth_ordinary = unplaced.saturating_sub(placed_within(patience.ordinary_ms));
            if tasks == 0 {
                continue;
            }
            let allowed = tasks_within_limit(tasks, job, &input.snapshot.teams[job.team]);
            if allowed <= 0 || job.is_gang && allowed < i64::from(tasks) {
                continue;
            }
            let slots_per_task = slots_per_task(job);
            let zones = input.zones.iter().cloned();
            self.unplaced.push(UnplacedTasks {
                need: job.need,
                spot_allowed: job.spot_allowed,
                is_service: job.is_service,
                allowed_types: job.allowed_types.clone(),
                zone: job.zone.map(|zone| input.zones[zone].clone()),
                slots: allowed as f64 * slots_per_task,
                ordinary_slots: allowed.min(i64::from(worth_ordinary)) as f64 * slots_per_task,
                tasks_per_zone: zones.zip(job.tasks_per_zone.iter().copied()).collect(),
                max_tasks_per_zone: job.max_tasks_per_zone,
                whole_in_one_zone: job.is_gang && job.one_zone,
            });
        }
    }
}

/// How long tasks wait for a place on the machines that there are before another one is rented.
struct Patience {
    any_machine_ms: f64,
    /// Work that may use spot machines waits the longer for ordinary ones, the more those cost
    /// beyond them.
    ordinary_ms: f64,
}

impl Patience {
    fn from_catalog(catalog: &Catalog) -> Patience {
        let any_machine_ms = catalog.longest_boot_s() * MS_PER_S * RENT_PATIENCE_BOOTS;
        let ordinary_to_spot = catalog
            .machine_types
            .iter()
            .filter(|machine_type| machine_type.spot_price > 0.0)
            .map(|machine_type| machine_type.rate / machine_type.spot_price)
            .fold(1.0, f64::max);
        Patience { any_machine_ms, ordinary_ms: any_machine_ms * ordinary_to_spot }
    }
}

/// How many of a job's tasks its team's limit allows.
fn tasks_within_limit(tasks: u32, job: &JobView, team: &TeamView) -> i64 {
    let mut allowed = i64::from(tasks);
    if team.limit.gpu > 0 && job.need.gpu > 0 {
        allowed = allowed.min((team.limit.gpu - team.used.gpu) / job.need.gpu);
    }
    if team.limit.cpu > 0 && job.need.cpu > 0 {
        allowed = allowed.min((team.limit.cpu - team.used.cpu) / job.need.cpu);
    }
    allowed
}

/// Slots wanted for each task of a job: one slot serves short tasks one after the other.
fn slots_per_task(job: &JobView) -> f64 {
    if job.is_service || job.is_gang {
        return 1.0;
    }
    let run_s = job.run_ms as f64 / MS_PER_S;
    (run_s / DRAIN_TARGET_S).min(1.0)
}
