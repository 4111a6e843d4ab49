//! Tasks on machines: their resources and expected ends, and the images there.

use super::InputBuilder;
use crate::constants::{MS_PER_S, OVERDUE_SHARE, SERVICE_RUN_S};
use crate::coordination::gang_rules::keeps_progress_when_stopped;
use crate::coordination::planner::{CachedImage, RunningTask};
use crate::protocol::users::{JobKind, Priority};
use crate::protocol::Resources;
use crate::storage::machine::{Machine, Placement, TaskId};
use crate::storage::records::JobId;

/// Data common to all placements of a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedJob {
    pub(super) priority: Priority,
    pub(super) team: Option<usize>,
    pub(super) need: Resources,
    pub(super) bandwidth: f64,
    pub(super) run_ms: u64,
    pub(super) is_service: bool,
    /// Whether a stopped task resumes from a checkpoint.
    pub(super) keeps_progress: bool,
    /// Tasks that end if one of them is stopped: all of a gang.
    pub(super) tasks_stopped: u32,
    pub(super) image: usize,
    pub(super) image_gb: f64,
    /// Expected milliseconds from the decision to stop a task until it has ended.
    pub(super) stop_ms: u64,
}

/// The unsettled tasks of a machine, and the images that it holds or fetches for them.
pub(super) struct MachineTasks {
    pub(super) running: Vec<RunningTask>,
    /// The tasks, in the order of `running`.
    pub(super) handles: Vec<TaskId>,
    pub(super) images: Vec<CachedImage>,
}

impl<'a> InputBuilder<'a> {
    /// The planner's view of the tasks and images on a machine.
    pub(super) fn tasks_on(&mut self, machine: &'a Machine, fetch_ms_per_gb: f64) -> MachineTasks {
        let held = machine.images.iter();
        let held = held.map(|(name, _)| CachedImage::ready(self.indices.image(name)));
        let mut tasks =
            MachineTasks { running: Vec::new(), handles: Vec::new(), images: held.collect() };
        for (id, placement) in &machine.placements {
            if placement.settled.is_some() {
                continue;
            }
            let Some(job) = self.placed_job(&id.job) else { continue };
            let fetch_ms = (job.image_gb * fetch_ms_per_gb) as u64;
            if placement.running_since.is_none() {
                let fetched_at = placement.placed_at + fetch_ms;
                add_image_being_fetched(&mut tasks.images, job.image, fetched_at, self.now_ms);
            }
            tasks.running.push(RunningTask {
                priority: job.priority,
                team: job.team,
                need: job.need,
                bandwidth: job.bandwidth,
                end_ms: expected_end_ms(placement, &job, fetch_ms, self.now_ms),
                is_service: job.is_service,
                ran_ms: placement.running_since.map(|since| self.now_ms - since),
                keeps_progress: job.keeps_progress,
                tasks_stopped: job.tasks_stopped,
                is_stopping: placement.stop_reason.is_some(),
                stop_ms: job.stop_ms,
                handle: tasks.handles.len(),
            });
            tasks.handles.push(id.clone());
        }
        tasks
    }

    /// Data common to all placements of a job; `None` if the job or its specification is not known.
    fn placed_job(&mut self, job_id: &'a JobId) -> Option<PlacedJob> {
        let InputBuilder { leader, settings, operator, silent_ms, indices, .. } = self;
        let cluster = self.cluster;
        *self.placed_jobs.entry(job_id).or_insert_with(|| {
            let job = cluster.jobs.get(job_id)?;
            let spec = job.spec.as_ref()?;
            Some(PlacedJob {
                priority: spec.priority,
                team: indices.team(&spec.team),
                need: job.need,
                bandwidth: spec.cores * operator.bandwidth(&spec.class),
                run_ms: leader.expected_run_ms(spec),
                is_service: spec.kind == JobKind::Service,
                keeps_progress: keeps_progress_when_stopped(spec, &settings.params.workers),
                tasks_stopped: if spec.is_gang() { spec.tasks } else { 1 },
                image: indices.image(&spec.image),
                image_gb: spec.size_gb,
                stop_ms: (spec.checkpoint_cost_s * MS_PER_S) as u64 + *silent_ms / 2,
            })
        })
    }
}

/// Adds an image that a machine is fetching, unless it is already listed.
fn add_image_being_fetched(
    images: &mut Vec<CachedImage>,
    image: usize,
    fetched_at: u64,
    now_ms: u64,
) {
    if !images.iter().any(|known| known.image == image) {
        images.push(CachedImage { image, ready_in_ms: fetched_at.saturating_sub(now_ms) });
    }
}

/// The time at which a placed task is expected to end.
pub(super) fn expected_end_ms(
    placement: &Placement,
    job: &PlacedJob,
    fetch_ms: u64,
    now_ms: u64,
) -> u64 {
    if placement.stop_reason.is_some() {
        return now_ms + job.stop_ms;
    }
    if job.is_service {
        return now_ms + (SERVICE_RUN_S * MS_PER_S) as u64;
    }
    let started_at =
        placement.running_since.unwrap_or_else(|| (placement.placed_at + fetch_ms).max(now_ms));
    let end_ms = started_at + job.run_ms;
    if end_ms > now_ms {
        return end_ms;
    }
    // An overdue task is expected to run on for a share of the time that it has run so far.
    now_ms + ((now_ms - started_at) as f64 * OVERDUE_SHARE) as u64
}
