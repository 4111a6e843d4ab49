//! What a worker's heartbeat proves: about its machine, about whether responses reach the machine, and about
//! the placements on it.

use crate::constants::{MS_PER_S, NEW_INCARNATION_SIGNS, RECLAIM_NOTICE_MAX_S, WORKER_TIMEOUT_S};
use crate::protocol::cloud::Catalog;
use crate::protocol::parse_task;
use crate::protocol::workers::{EndCause, Heartbeat, ReportedTask};
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::machine::{AttemptId, HeartbeatId, Machine, MachineState, Placement, TaskId};

/// The tasks that a heartbeat reports, by attempt.
pub(super) struct ReportedTasks<'a>(HashMap<AttemptId, &'a ReportedTask>);

impl<'a> ReportedTasks<'a> {
    /// The tasks that a heartbeat reports; those whose name can't be parsed are left out.
    pub(super) fn from_heartbeat(heartbeat: &'a Heartbeat, keys: HashKeys) -> ReportedTasks<'a> {
        let mut tasks = keys.map();
        for reported in &heartbeat.tasks {
            if let Some((job, index)) = parse_task(&reported.task_id) {
                let id = TaskId::new(job.into(), index);
                tasks.insert(AttemptId::new(id, reported.attempt), reported);
            }
        }
        ReportedTasks(tasks)
    }

    fn get(&self, id: &TaskId, attempt: u64) -> Option<&'a ReportedTask> {
        self.0.get(&AttemptId::new(id.clone(), attempt)).copied()
    }
}

/// What a heartbeat tells about whether the leader's responses reach its machine.
pub(super) struct ResponseDelivery {
    /// Whether it proves that a response has arrived.
    pub(super) delivered: bool,
    /// Number of signs that responses do not arrive.
    pub(super) missed_response_signs: u32,
}

impl ResponseDelivery {
    /// Evaluates a heartbeat; to be called before it is recorded as the machine's newest.
    ///
    /// A worker that a response has reached sends its next heartbeat to the same controller, with the next
    /// sequence number and before the response would have timed out. A worker that no response reaches waits
    /// for the timeout and then tries the other controllers first. The first heartbeat that shows this term's
    /// fencing token proves too that a response has arrived.
    pub(super) fn evaluate(
        machine: &Machine,
        id: HeartbeatId,
        has_current_token: bool,
        now: u64,
    ) -> ResponseDelivery {
        let previous = machine.newest_heartbeat;
        let answered_at = machine.last_response_at;
        let received_at = machine.last_heartbeat_at;
        let answered_last = received_at
            .is_some_and(|received| answered_at.is_some_and(|answered| answered >= received));
        let wait_ms = (WORKER_TIMEOUT_S * MS_PER_S) as u64;
        let is_in_time = received_at.is_some_and(|received| now < received + wait_ms);
        let follows_promptly = answered_last && id == previous.next() && is_in_time;
        let mut missed_response_signs = u32::from(!has_current_token && answered_at.is_some());
        if answered_last && id.incarnation > previous.incarnation {
            // A worker that responses reach keeps its incarnation.
            missed_response_signs += NEW_INCARNATION_SIGNS;
        }
        let skipped_numbers = id.sequence > previous.next().sequence;
        missed_response_signs += u32::from(answered_last && skipped_numbers);
        let shows_token_first = has_current_token && !machine.has_current_token;
        ResponseDelivery { delivered: follows_promptly || shows_token_first, missed_response_signs }
    }
}

/// Updates a machine with what a heartbeat says of the machine itself.
pub(super) fn update_machine(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    catalog: Option<&Catalog>,
    has_current_token: bool,
    now: u64,
) {
    machine.newest_heartbeat = HeartbeatId::of(heartbeat);
    machine.last_heartbeat_at = Some(now);
    machine.type_name.clone_from(&heartbeat.machine_type);
    machine.zone.clone_from(&heartbeat.zone);
    machine.spot = heartbeat.spot;
    if let Some(machine_type) = catalog.and_then(|catalog| catalog.machine_type(&machine.type_name))
    {
        machine.total = machine_type.total();
    }
    if matches!(machine.state, MachineState::Booting | MachineState::AwaitingHeartbeat) {
        machine.state = MachineState::Up;
        let spot = if machine.spot { ", spot" } else { "" };
        log::info!(
            "machine up: {}, type {} in zone {}{spot}",
            machine.name,
            machine.type_name,
            machine.zone
        );
    }
    machine.up_at.get_or_insert(now);
    // A heartbeat without this term's token, though an earlier one was answered in this term, may be a delayed
    // copy from before the term. Such a copy must not hide that the machine is silent.
    if has_current_token || machine.last_response_at.is_none() {
        machine.last_alive_at = Some(now);
    }
    machine.lease_expired = false;
    machine.has_current_token |= has_current_token;
    update_reclaim_time(machine, heartbeat.reclaim_s, now);
}

/// Updates the time at which the cloud reclaims the machine from the reclaim notice in a heartbeat, if any.
fn update_reclaim_time(machine: &mut Machine, reclaim_s: Option<f64>, now: u64) {
    let was_known = machine.reclaim_at.is_some();
    let notice_ms = |s: f64| (s.clamp(0.0, RECLAIM_NOTICE_MAX_S) * MS_PER_S) as u64;
    machine.reclaim_at = reclaim_s.map(|s| now + notice_ms(s));
    if machine.reclaim_at.is_some() && !was_known {
        log::info!(
            "machine to be reclaimed: {} in {:.0} s",
            machine.name,
            reclaim_s.unwrap_or(0.0)
        );
    }
}

/// A task that a heartbeat is the first to report as running.
pub(super) struct StartedTask {
    pub(super) id: TaskId,
    /// When its placement was proposed.
    pub(super) placed_at: u64,
}

/// A task whose placement is over, as a heartbeat proves.
pub(super) struct EndedTask {
    pub(super) id: TaskId,
    pub(super) cause: EndCause,
}

/// What a heartbeat proves about the placements on its machine.
#[derive(Default)]
pub(super) struct Evidence {
    pub(super) ended: Vec<EndedTask>,
    pub(super) started: Vec<StartedTask>,
    /// Whether a start command has arrived.
    pub(super) start_arrived: bool,
    /// Whether a start command was sent and did not arrive.
    pub(super) start_missed: bool,
}

impl Evidence {
    /// Compares the placements on a machine with the reported tasks, and updates each with its reported
    /// status.
    pub(super) fn collect(
        machine: &mut Machine,
        reported: &ReportedTasks<'_>,
        heartbeat: HeartbeatId,
        has_current_token: bool,
        now: u64,
    ) -> Evidence {
        let mut evidence = Evidence::default();
        let unsettled = machine.placements.iter_mut().filter(|(_, p)| p.settled.is_none());
        for (id, placement) in unsettled {
            match reported.get(id, placement.attempt) {
                Some(task) if task.status.is_on_machine() => {
                    evidence.add_present(id, placement, task, has_current_token, now);
                }
                Some(task) if has_current_token => {
                    evidence.add_end(id, task.cause.unwrap_or(EndCause::Lost));
                }
                None if has_current_token => evidence.add_absent(id, placement, heartbeat),
                _ => {}
            }
        }
        evidence
    }

    fn add_end(&mut self, id: &TaskId, cause: EndCause) {
        self.ended.push(EndedTask { id: id.clone(), cause });
    }

    /// Evaluates a placement whose task the heartbeat reports as being on the machine.
    fn add_present(
        &mut self,
        id: &TaskId,
        placement: &mut Placement,
        task: &ReportedTask,
        has_current_token: bool,
        now: u64,
    ) {
        let reported_first = placement.reported_status.is_none();
        self.start_arrived |=
            has_current_token && reported_first && placement.start_sent_after.is_some();
        placement.reported_status = Some(task.status);
        if task.status.has_begun() && placement.running_since.is_none() {
            placement.running_since = Some(now);
            self.started.push(StartedTask { id: id.clone(), placed_at: placement.placed_at });
        }
    }

    /// Evaluates a placement whose task is missing from a heartbeat with this term's fencing token.
    fn add_absent(&mut self, id: &TaskId, placement: &Placement, heartbeat: HeartbeatId) {
        if placement.reported_status.is_some() {
            // It was reported before, so it was killed when the worker's incarnation ended.
            return self.add_end(id, EndCause::Lost);
        }
        let start_sent_after = placement.start_sent_after;
        let can_still_arrive = start_sent_after.is_some_and(|sent_after| heartbeat <= sent_after);
        if placement.stop_reason.is_some() && !can_still_arrive {
            // The start command never arrived, and the task is to be stopped anyway.
            return self.add_end(id, EndCause::Lost);
        }
        self.start_missed |= start_sent_after.is_some() && !can_still_arrive;
    }
}
