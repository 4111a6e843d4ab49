//! What a worker's heartbeat proves: about its machine, about whether our responses arrive there, and
//! about the placements that we know of.

use crate::constants::{
    MS_PER_S, RECLAIM_NOTICE_MAX_S, UNREACHABLE_SESSION_SIGNS, WORKER_TIMEOUT_S,
};
use crate::protocol::cloud::Catalog;
use crate::protocol::parse_task;
use crate::protocol::workers::{EndCause, Heartbeat, ReportedTask};
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::machine::{AttemptId, HeartbeatId, Machine, MachineState, Placement, TaskId};

/// Tasks of a heartbeat by attempt.
pub(super) struct ReportedTasks<'a>(HashMap<AttemptId, &'a ReportedTask>);

impl<'a> ReportedTasks<'a> {
    /// The tasks that a heartbeat shows; names that can't be read are left out.
    pub(super) fn of(heartbeat: &'a Heartbeat, keys: HashKeys) -> ReportedTasks<'a> {
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

/// Whether our responses arrive at a machine, as far as a heartbeat tells.
pub(super) struct ResponseDelivery {
    /// A response of ours has arrived.
    pub(super) delivered: bool,
    /// Signs that none does.
    pub(super) undelivered_signs: u32,
}

impl ResponseDelivery {
    /// Judges a heartbeat before it is noted as the machine's newest.
    ///
    /// A worker that our response has reached stays with us: its next heartbeat is the next one it
    /// sends, and comes before it would have given the response up. One that no response reaches
    /// waits, and tries the other controllers first. The first heartbeat with our token also
    /// shows that a response has arrived.
    pub(super) fn of(
        machine: &Machine,
        id: HeartbeatId,
        has_our_token: bool,
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
        let mut undelivered_signs = u32::from(!has_our_token && answered_at.is_some());
        if answered_last && id.incarnation > previous.incarnation {
            // A worker that a response reaches keeps its incarnation.
            undelivered_signs += UNREACHABLE_SESSION_SIGNS;
        }
        let skipped_numbers = id.sequence > previous.next().sequence;
        undelivered_signs += u32::from(answered_last && skipped_numbers);
        let shows_token_first = has_our_token && !machine.has_our_token;
        ResponseDelivery { delivered: follows_promptly || shows_token_first, undelivered_signs }
    }
}

/// Notes what a heartbeat says of its machine itself.
pub(super) fn note_machine(
    machine: &mut Machine,
    heartbeat: &Heartbeat,
    catalog: Option<&Catalog>,
    has_our_token: bool,
    now: u64,
) {
    machine.newest_heartbeat = HeartbeatId::of(heartbeat);
    machine.last_heartbeat_at = Some(now);
    machine.type_name.clone_from(&heartbeat.machine_type);
    machine.zone.clone_from(&heartbeat.zone);
    machine.spot = heartbeat.spot;
    if let Some(known) = catalog.and_then(|catalog| catalog.machine_type(&machine.type_name)) {
        machine.total = known.total();
    }
    if matches!(machine.state, MachineState::Booting | MachineState::AwaitingHeartbeat) {
        machine.state = MachineState::Up;
        let spot = if machine.spot { ", spot" } else { "" };
        log::info!("{}: up, {} in {}{spot}", machine.name, machine.type_name, machine.zone);
    }
    machine.up_at.get_or_insert(now);
    // A heartbeat that does not show our token though we answered one before may be a late copy
    // of one from before our term: such must not hide that a machine is silent.
    if has_our_token || machine.last_response_at.is_none() {
        machine.last_alive_at = Some(now);
    }
    machine.lease_expired = false;
    machine.has_our_token |= has_our_token;
    note_reclaim(machine, heartbeat.reclaim_s, now);
}

/// Notes when the cloud takes the machine back, if it has said so.
fn note_reclaim(machine: &mut Machine, reclaim_s: Option<f64>, now: u64) {
    let was_known = machine.reclaim_at.is_some();
    let notice_ms = |s: f64| (s.clamp(0.0, RECLAIM_NOTICE_MAX_S) * MS_PER_S) as u64;
    machine.reclaim_at = reclaim_s.map(|s| now + notice_ms(s));
    if machine.reclaim_at.is_some() && !was_known {
        log::info!("{}: to be reclaimed in {:.0} s", machine.name, reclaim_s.unwrap_or(0.0));
    }
}

/// A task that a heartbeat is the first to show running.
pub(super) struct StartedTask {
    pub(super) id: TaskId,
    /// When it was placed.
    pub(super) placed_at: u64,
}

/// A placement that a heartbeat proves to be over.
pub(super) struct EndedTask {
    pub(super) id: TaskId,
    pub(super) cause: EndCause,
}

/// What a heartbeat shows, against the placements that we know of.
#[derive(Default)]
pub(super) struct Evidence {
    pub(super) ended: Vec<EndedTask>,
    pub(super) started: Vec<StartedTask>,
    /// A start that we ordered has arrived.
    pub(super) start_arrived: bool,
    /// A start that we ordered has not.
    pub(super) start_missed: bool,
}

impl Evidence {
    /// Compares the placements on a machine with what is shown, and notes what is shown of each.
    pub(super) fn of(
        machine: &mut Machine,
        shown: &ReportedTasks<'_>,
        heartbeat: HeartbeatId,
        has_our_token: bool,
        now: u64,
    ) -> Evidence {
        let mut evidence = Evidence::default();
        let open = machine.placements.iter_mut().filter(|(_, p)| p.settled.is_none());
        for (id, placement) in open {
            match shown.get(id, placement.attempt) {
                Some(task) if task.status.is_on_machine() => {
                    evidence.add_present(id, placement, task, has_our_token, now);
                }
                Some(task) if has_our_token => {
                    evidence.add_end(id, task.cause.unwrap_or(EndCause::Lost));
                }
                None if has_our_token => evidence.add_absent(id, placement, heartbeat),
                _ => {}
            }
        }
        evidence
    }

    fn add_end(&mut self, id: &TaskId, cause: EndCause) {
        self.ended.push(EndedTask { id: id.clone(), cause });
    }

    /// The task is on the machine.
    fn add_present(
        &mut self,
        id: &TaskId,
        placement: &mut Placement,
        task: &ReportedTask,
        has_our_token: bool,
        now: u64,
    ) {
        let shown_first = placement.reported_status.is_none();
        self.start_arrived |= has_our_token && shown_first && placement.start_sent_after.is_some();
        placement.reported_status = Some(task.status);
        if task.status.has_begun() && placement.running_since.is_none() {
            placement.running_since = Some(now);
            self.started.push(StartedTask { id: id.clone(), placed_at: placement.placed_at });
        }
    }

    /// A heartbeat with our token does not show the task.
    fn add_absent(&mut self, id: &TaskId, placement: &Placement, heartbeat: HeartbeatId) {
        if placement.reported_status.is_some() {
            // It was there and is not any more: killed with its incarnation.
            return self.add_end(id, EndCause::Lost);
        }
        let start_sent_after = placement.start_sent_after;
        let can_still_arrive = start_sent_after.is_some_and(|ordered| heartbeat <= ordered);
        if placement.stop_reason.is_some() && !can_still_arrive {
            // Never arrived, and not wanted any more.
            return self.add_end(id, EndCause::Lost);
        }
        self.start_missed |= start_sent_after.is_some() && !can_still_arrive;
    }
}
