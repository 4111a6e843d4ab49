//! What a worker's report proves: about its machine, about whether our answers arrive there, and
//! about the placements that we know of.

use crate::constants::{MS_PER_S, RECLAIM_MOST_S, UNREACHABLE_SESSION_SIGNS, WORKER_WAIT_S};
use crate::protocol::cloud::Catalog;
use crate::protocol::workers::{EndCause, Heartbeat, ReportedTask};
use crate::protocol::{parse_task, Resources};
use crate::storage::hashing::{HashKeys, HashMap};
use crate::storage::machine::{HeartbeatId, Machine, MachineState, TaskId};

/// Tasks of a report by task and attempt.
pub(super) type ReportedTasks<'a> = HashMap<(TaskId, u64), &'a ReportedTask>;

/// The tasks that a report shows; names that can't be read are left out.
pub(super) fn shown(report: &Heartbeat, keys: HashKeys) -> ReportedTasks<'_> {
    let mut shown = keys.map();
    for reported in &report.tasks {
        if let Some((job, task)) = parse_task(&reported.task_id) {
            shown.insert((TaskId::new(job.into(), task), reported.attempt), reported);
        }
    }
    shown
}

/// Whether our answers arrive at a machine, as far as a report tells.
pub(super) struct ResponseDelivery {
    /// An answer of ours has arrived.
    pub delivered: bool,
    /// Signs that none does.
    pub undelivered_signs: u32,
}

impl ResponseDelivery {
    /// Judges a report before it is noted as the machine's newest.
    ///
    /// A worker that our answer has reached stays with us: its next report is the next one it
    /// sends, and comes before it would have given the answer up. One that no answer reaches
    /// waits, and tries the other controllers first. The first report with our token also
    /// shows that an answer has arrived.
    pub(super) fn of(machine: &Machine, id: HeartbeatId, ours: bool, now: u64) -> ResponseDelivery {
        let (before, answered, received) =
            (machine.newest_heartbeat, machine.last_response_at, machine.last_heartbeat_at);
        let answered_last = received.is_some_and(|r| answered.is_some_and(|a| a >= r));
        let wait = (WORKER_WAIT_S * MS_PER_S) as u64;
        let follows = id == before.next();
        let prompt = answered_last && follows && received.is_some_and(|r| now < r + wait);
        let mut signs = u32::from(!ours && answered.is_some());
        if answered_last && id.incarnation > before.incarnation {
            // A worker that an answer reaches keeps its session.
            signs += UNREACHABLE_SESSION_SIGNS;
        }
        signs += u32::from(answered_last && id.sequence > before.next().sequence);
        ResponseDelivery {
            delivered: prompt || ours && !machine.has_our_token,
            undelivered_signs: signs,
        }
    }
}

/// Notes what a report says of its machine itself.
pub(super) fn note_machine(
    machine: &mut Machine,
    report: &Heartbeat,
    catalog: Option<&Catalog>,
    ours: bool,
    now: u64,
) {
    machine.newest_heartbeat = HeartbeatId::of(report);
    machine.last_heartbeat_at = Some(now);
    machine.type_name.clone_from(&report.machine_type);
    machine.zone.clone_from(&report.zone);
    machine.spot = report.spot;
    if let Some(known) = catalog.and_then(|c| c.machine_type(&machine.type_name)) {
        machine.total = Resources::new(known.cores, known.gpus, known.ram_gb);
    }
    if matches!(machine.state, MachineState::Booting | MachineState::AwaitingHeartbeat) {
        machine.state = MachineState::Up;
        let spot = if machine.spot { ", spot" } else { "" };
        log::info!("{}: up, {} in {}{spot}", machine.name, machine.type_name, machine.zone);
    }
    machine.up_at.get_or_insert(now);
    // A report that does not show our token though we answered one before may be a late copy
    // of one from before our term: such must not hide that a machine is silent.
    if ours || machine.last_response_at.is_none() {
        machine.last_alive_at = Some(now);
    }
    machine.lease_expired = false;
    machine.has_our_token |= ours;
    note_reclaim(machine, report.reclaim_s, now);
}

/// Notes when the cloud takes the machine back, if it has said so.
fn note_reclaim(machine: &mut Machine, reclaim_s: Option<f64>, now: u64) {
    let known = machine.reclaim_at.is_some();
    let notice = |s: f64| (s.clamp(0.0, RECLAIM_MOST_S) * MS_PER_S) as u64;
    machine.reclaim_at = reclaim_s.map(|s| now + notice(s));
    if machine.reclaim_at.is_some() && !known {
        log::info!("{}: to be taken in {:.0} s", machine.name, reclaim_s.unwrap_or(0.0));
    }
}

/// What a report shows, against the placements that we know of.
#[derive(Default)]
pub(super) struct Evidence {
    /// Placements that are over, with the cause.
    pub settled: Vec<(TaskId, EndCause)>,
    /// Tasks first seen running, with the time at which they were placed.
    pub running: Vec<(TaskId, u64)>,
    /// A start that we ordered has arrived.
    pub start_arrived: bool,
    /// A start that we ordered has not.
    pub start_missed: bool,
}

impl Evidence {
    /// Compares the placements on a machine with what is shown, and notes what is shown of each.
    pub(super) fn of(
        machine: &mut Machine,
        shown: &ReportedTasks,
        id: HeartbeatId,
        ours: bool,
        now: u64,
    ) -> Evidence {
        let mut evidence = Evidence::default();
        for (task, p) in machine.placements.iter_mut().filter(|(_, p)| p.settled.is_none()) {
            match shown.get(&(task.clone(), p.attempt)) {
                Some(reported) if !reported.status.is_on_machine() => {
                    if ours {
                        let cause = reported.cause.unwrap_or(EndCause::Lost);
                        evidence.settled.push((task.clone(), cause));
                    }
                }
                Some(reported) => {
                    evidence.start_arrived |=
                        ours && p.reported_status.is_none() && p.start_sent_after.is_some();
                    p.reported_status = Some(reported.status);
                    if reported.status.has_begun() && p.running_since.is_none() {
                        p.running_since = Some(now);
                        evidence.running.push((task.clone(), p.placed_at));
                    }
                }
                None if !ours => {}
                // It was there and is not any more: killed with its session.
                None if p.reported_status.is_some() => {
                    evidence.settled.push((task.clone(), EndCause::Lost))
                }
                // Never arrived, and not wanted any more.
                None if p.stop_reason.is_some() && p.start_sent_after.is_none_or(|o| id > o) => {
                    evidence.settled.push((task.clone(), EndCause::Lost));
                }
                None => evidence.start_missed |= p.start_sent_after.is_some_and(|o| id > o),
            }
        }
        evidence
    }
}
