//! Tasks that the last planning pass found no capacity for: the demand that the fleet scales out for.

use super::Fleet;
use crate::constants::{BATCH_BACKLOG_TARGET_S, MS_PER_S, SCALE_OUT_WAIT_BOOT_FACTOR};
use crate::coordination::planner::{JobView, Plan, TeamView};
use crate::coordination::planner_input::PlannerInput;
use crate::protocol::cloud::Catalog;
use crate::protocol::Resources;

/// Tasks of a job that the last planning pass found no capacity for.
#[derive(Debug, Clone)]
pub(super) struct UnplacedTasks {
    /// Resources of each task.
    pub(super) need: Resources,
    pub(super) spot_allowed: bool,
    pub(super) is_service: bool,
    /// Whether the job may use a machine type, by the type's index in the catalog.
    pub(super) allowed_types: Vec<bool>,
    /// The only zone that the job allows, if it names one.
    pub(super) zone: Option<String>,
    /// Number of slots wanted for the tasks; a slot has the resources of one task.
    pub(super) slots: f64,
    /// Number of these slots for which an on-demand machine may be rented.
    pub(super) on_demand_slots: f64,
    /// Tasks of the job that are already placed, by zone.
    pub(super) tasks_per_zone: Vec<(String, u32)>,
    pub(super) max_tasks_per_zone: u32,
    /// Whether this is a gang whose tasks, and so the machines rented for it, must all be in one zone.
    pub(super) one_zone: bool,
}

impl Fleet {
    /// Forgets the unplaced tasks: no tasks wait.
    pub(in crate::coordination) fn clear_unplaced(&mut self) {
        self.unplaced.clear();
    }

    /// Records the tasks that a planning pass found no capacity for.
    pub(in crate::coordination) fn record_unplaced(
        &mut self,
        input: &PlannerInput,
        plan: &Plan,
        catalog: &Catalog,
    ) {
        self.unplaced.clear();
        let max_wait = MaxWait::from_catalog(catalog);
        for (index, job) in input.snapshot.jobs.iter().enumerate() {
            let unplaced = plan.unplaced[index];
            let expected_wait_ms = &plan.expected_wait_ms[index];
            let placed_within =
                |ms: f64| expected_wait_ms.iter().filter(|wait| **wait as f64 <= ms).count() as u32;
            // Tasks that present machines will soon have capacity for need no new machine.
            let tasks = unplaced.saturating_sub(placed_within(max_wait.any_machine_ms));
            let on_demand_tasks = unplaced.saturating_sub(placed_within(max_wait.on_demand_ms));
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
                on_demand_slots: allowed.min(i64::from(on_demand_tasks)) as f64 * slots_per_task,
                tasks_per_zone: zones.zip(job.tasks_per_zone.iter().copied()).collect(),
                max_tasks_per_zone: job.max_tasks_per_zone,
                one_zone: job.is_gang && job.one_zone,
            });
        }
    }
}

/// How long tasks wait for capacity on present machines before another machine is rented.
struct MaxWait {
    /// For any machine.
    any_machine_ms: f64,
    /// For an on-demand machine, if the task may use spot machines: longer by the ratio of the prices.
    on_demand_ms: f64,
}

impl MaxWait {
    fn from_catalog(catalog: &Catalog) -> MaxWait {
        let any_machine_ms = catalog.longest_boot_s() * MS_PER_S * SCALE_OUT_WAIT_BOOT_FACTOR;
        let price_ratio = catalog
            .machine_types
            .iter()
            .filter(|machine_type| machine_type.spot_price > 0.0)
            .map(|machine_type| machine_type.rate / machine_type.spot_price)
            .fold(1.0, f64::max);
        MaxWait { any_machine_ms, on_demand_ms: any_machine_ms * price_ratio }
    }
}

/// How many of the tasks the team's limit allows; negative if the team is over it.
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

/// Slots wanted for each task of a job: short batch tasks share a slot, one after the other.
fn slots_per_task(job: &JobView) -> f64 {
    if job.is_service || job.is_gang {
        return 1.0;
    }
    let run_s = job.run_ms as f64 / MS_PER_S;
    (run_s / BATCH_BACKLOG_TARGET_S).min(1.0)
}
