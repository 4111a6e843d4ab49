//! Responses to heartbeats: which commands a worker gets, and when the response is sent.

use crate::constants::{COMMANDS_MAX, GRACE_EXTRA_S, HEARTBEAT_HOLD_MAX_MS};
use crate::coordination::{ConnectionId, Controller};
use crate::protocol::parse_task;
use crate::protocol::workers::{EndCause, Heartbeat, HeartbeatResponse, WorkerCommand};
use crate::storage::gangs::GangState;
use crate::storage::job::Job;
use crate::storage::machine::{
    HeartbeatId, Machine, MachineState, Placement, PlacementPhase, StopReason, TaskId,
};
use crate::storage::records::MachineName;

/// An attempt of a task as a heartbeat reports it.
#[derive(Debug)]
pub(super) struct TaskAttempt {
    /// The task's name on the wire.
    pub(super) task_id: String,
    pub(super) attempt: u64,
}

/// A heartbeat whose response waits for a transaction that may add commands to it.
#[derive(Debug)]
pub(in crate::coordination) struct DeferredHeartbeat {
    connection: ConnectionId,
    machine: MachineName,
    id: HeartbeatId,
    received_at: u64,
    has_current_token: bool,
    ended_tasks: Vec<TaskAttempt>,
    /// Reported tasks without a placement, which have to be stopped.
    untracked_tasks: Vec<TaskAttempt>,
}

impl DeferredHeartbeat {
    pub(super) fn new(
        connection: ConnectionId,
        machine: MachineName,
        heartbeat: &Heartbeat,
        has_current_token: bool,
        untracked_tasks: Vec<TaskAttempt>,
        now: u64,
    ) -> DeferredHeartbeat {
        let ended = heartbeat.tasks.iter().filter(|task| !task.status.is_on_machine());
        let readable = ended.filter(|task| parse_task(&task.task_id).is_some());
        let ended_tasks = readable
            .map(|task| TaskAttempt { task_id: task.task_id.clone(), attempt: task.attempt })
            .collect();
        DeferredHeartbeat {
            connection,
            machine,
            id: HeartbeatId::of(heartbeat),
            received_at: now,
            has_current_token,
            ended_tasks,
            untracked_tasks,
        }
    }

    /// The connection that the response goes to.
    pub(in crate::coordination) fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// The machine that sent it.
    pub(in crate::coordination) fn machine(&self) -> &MachineName {
        &self.machine
    }

    /// When the response is sent at the latest.
    pub(in crate::coordination) fn response_deadline(&self) -> u64 {
        self.received_at + HEARTBEAT_HOLD_MAX_MS
    }

    /// Commands that stop tasks without a placement, and commands that let the worker drop ended tasks from its
    /// heartbeats. What does not fit into this response goes into a later one.
    fn stop_and_clear_commands(&self, machine: &Machine) -> Vec<WorkerCommand> {
        let mut commands: Vec<WorkerCommand> = Vec::new();
        for TaskAttempt { task_id, attempt } in self.untracked_tasks.iter().take(COMMANDS_MAX) {
            let (task_id, attempt) = (task_id.clone(), *attempt);
            commands.push(WorkerCommand::Stop { task_id, attempt, grace_s: 0.0 });
        }
        for TaskAttempt { task_id, attempt } in &self.ended_tasks {
            // Only once the end of the task is stored, which removes the placement.
            if !machine_has_placement(machine, task_id, *attempt) && commands.len() < COMMANDS_MAX {
                let (task_id, attempt) = (task_id.clone(), *attempt);
                commands.push(WorkerCommand::Clear { task_id, attempt });
            }
        }
        commands
    }
}

fn machine_has_placement(machine: &Machine, task_id: &str, attempt: u64) -> bool {
    let Some((job, index)) = parse_task(task_id) else { return false };
    let placement = machine.placements.get(&TaskId::new(job.into(), index));
    placement.is_some_and(|placement| placement.attempt == attempt)
}

/// What a response does about a placement.
enum Decision {
    /// No command.
    NoCommand,
    /// Stop the task.
    Stop {
        /// Seconds that the task gets to save its progress.
        grace_s: f64,
    },
    /// Start the task.
    Start,
    /// Settle the task as lost without a command: it is certainly not on the machine.
    SettleAsLost,
}

/// The decisions on a machine's placements for one response.
struct DecidedCommands {
    /// Stop and clear commands, which come before the start commands.
    commands: Vec<WorkerCommand>,
    starts: Vec<WorkerCommand>,
    /// Tasks to settle as lost.
    lost: Vec<TaskId>,
}

impl DecidedCommands {
    fn new(commands: Vec<WorkerCommand>) -> DecidedCommands {
        DecidedCommands { commands, starts: Vec::new(), lost: Vec::new() }
    }

    /// Whether the response holds the most commands that it may.
    fn is_full(&self) -> bool {
        self.commands.len() + self.starts.len() >= COMMANDS_MAX
    }

    fn add(
        &mut self,
        decision: Decision,
        id: &TaskId,
        placement: &mut Placement,
        heartbeat: HeartbeatId,
    ) {
        let (task_id, attempt) = (id.to_string(), placement.attempt);
        match decision {
            Decision::NoCommand => {}
            Decision::Stop { grace_s } => {
                self.commands.push(WorkerCommand::Stop { task_id, attempt, grace_s });
            }
            Decision::Start => {
                placement.start_sent_after = Some(heartbeat);
                self.starts.push(WorkerCommand::Start { task_id, attempt });
            }
            Decision::SettleAsLost => self.lost.push(id.clone()),
        }
    }

    fn into_commands(mut self) -> Vec<WorkerCommand> {
        self.commands.append(&mut self.starts);
        self.commands
    }
}

/// What all decisions for one response depend on.
struct ResponseContext {
    /// The leader's term.
    term: u64,
    /// The term of the last rebuild of the store; 0 if there was none.
    rebuilt_in_term: u64,
    /// The heartbeat that is answered.
    heartbeat: HeartbeatId,
    /// Whether it shows this term's fencing token.
    has_current_token: bool,
    /// Whether start commands may be sent now, and to this machine.
    may_start: bool,
}

impl ResponseContext {
    /// Decides on a committed placement that is not settled; `peers_report_end` tells whether a peer has
    /// reported the end of its job.
    fn decide(
        &self,
        placement: &Placement,
        job: Option<&Job>,
        index: u32,
        peers_report_end: bool,
    ) -> Decision {
        let is_needed = job.is_some_and(|job| job.is_unfinished(index));
        let stop_reason = match is_needed && !peers_report_end {
            true => placement.stop_reason,
            false => Some(StopReason::NotNeeded),
        };
        match stop_reason {
            Some(stop_reason) => self.decide_stop(placement, job, stop_reason, is_needed),
            None => self.decide_start(placement, job),
        }
    }

    /// Whether the placement was made in an earlier term.
    fn is_inherited(&self, placement: &Placement) -> bool {
        placement.term() != self.term
    }

    fn decide_stop(
        &self,
        placement: &Placement,
        job: Option<&Job>,
        stop_reason: StopReason,
        is_needed: bool,
    ) -> Decision {
        let start_was_sent =
            placement.reported_status.is_some() || placement.start_sent_after.is_some();
        if !start_was_sent && !self.is_inherited(placement) {
            // A peer's report of the job's end is no evidence that settles a task: see `store_isolation`.
            return match !is_needed || placement.stop_reason.is_some() {
                true => Decision::SettleAsLost,
                false => Decision::NoCommand,
            };
        }
        let spec = job.and_then(|job| job.spec.as_ref()).filter(|spec| spec.writes_checkpoints());
        let grace_s = match (stop_reason, spec) {
            (StopReason::Eviction, Some(spec)) => spec.checkpoint_cost_s + GRACE_EXTRA_S,
            _ => 0.0,
        };
        Decision::Stop { grace_s }
    }

    fn decide_start(&self, placement: &Placement, job: Option<&Job>) -> Decision {
        let is_inherited = self.is_inherited(placement);
        let may_start = self.may_start
            && placement.reported_status.is_none()
            && (!is_inherited || self.has_current_token);
        if !may_start {
            return Decision::NoCommand;
        }
        // A rebuild of the store may have restored a placement that had been settled. Its task is not started
        // from that placement, which could exceed the team's limit, but is placed anew.
        let is_from_before_rebuild = placement.term() < self.rebuilt_in_term;
        let gang = job.and_then(|job| job.gang.as_ref());
        let may_have_run = gang.is_some_and(|gang| self.gang_may_have_run(gang, placement));
        match (is_from_before_rebuild || may_have_run, self.has_current_token) {
            (false, _) => Decision::Start,
            (true, true) => Decision::SettleAsLost,
            (true, false) => Decision::NoCommand,
        }
    }

    /// Whether a gang's task that its machine does not report may have run there, so that the attempt has lost a
    /// task; such an attempt is not completed again. This is so if the placement is of an earlier term, if the
    /// worker has begun another incarnation since the start command was sent, or if the gang was running.
    fn gang_may_have_run(&self, gang: &GangState, placement: &Placement) -> bool {
        let sent_in = placement.start_sent_after.map(|sent_after| sent_after.incarnation);
        let incarnation_ended = sent_in.is_some_and(|sent_in| sent_in < self.heartbeat.incarnation);
        self.is_inherited(placement) || incarnation_ended || gang.running
    }
}

impl Controller {
    /// Answers the deferred heartbeats that have no transaction to wait for, or whose deadline has come.
    pub(in crate::coordination) fn answer_deferred_heartbeats(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let commands_may_follow = leader.ready && leader.may_have_commands_soon(now);
        let deferred = std::mem::take(&mut leader.deferred_heartbeats);
        let (waiting, due): (Vec<_>, Vec<_>) = deferred.into_iter().partition(|heartbeat| {
            commands_may_follow
                && leader.may_get_commands(&heartbeat.machine)
                && now < heartbeat.response_deadline()
        });
        leader.deferred_heartbeats = waiting;
        due.into_iter().for_each(|heartbeat| self.answer_heartbeat(&heartbeat));
    }

    fn answer_heartbeat(&mut self, heartbeat: &DeferredHeartbeat) {
        if !self.may_renew_worker_leases() {
            return self.redirect(heartbeat.connection);
        }
        match self.commands_for(heartbeat) {
            Some(response) => {
                let waited_ms = self.now.monotonic_ms - heartbeat.received_at;
                let _ = self.metrics.report_ms.record(waited_ms);
                let body = serde_json::to_vec(&response).unwrap_or_default();
                self.respond(heartbeat.connection, 200, None, body);
            }
            None => self.redirect(heartbeat.connection),
        }
    }

    /// The response to a heartbeat; `None` if its machine is gone or has sent a newer heartbeat.
    fn commands_for(&mut self, heartbeat: &DeferredHeartbeat) -> Option<HeartbeatResponse> {
        let may_send_starts = self.may_send_starts();
        let rebuilt_in_term = self.store.replica().rebuild_term();
        let leader = self.leader.as_mut()?;
        let jobs = &leader.cluster.jobs;
        let machine = leader.cluster.machines.get_mut(&heartbeat.machine)?;
        if machine.newest_heartbeat != heartbeat.id || machine.state == MachineState::Terminated {
            return None;
        }
        let takes_starts = machine.state == MachineState::Up && !machine.lease_expired;
        let context = ResponseContext {
            term: leader.term,
            rebuilt_in_term,
            heartbeat: heartbeat.id,
            has_current_token: heartbeat.has_current_token,
            may_start: may_send_starts && takes_starts,
        };
        let peers_report_end_of = |job_id: &str| self.membership.has_ended_per_peer(job_id);
        let mut decided = DecidedCommands::new(heartbeat.stop_and_clear_commands(machine));
        for (id, placement) in &mut machine.placements {
            if placement.settled.is_some() || placement.phase != PlacementPhase::Committed {
                continue;
            }
            if decided.is_full() {
                break;
            }
            // A peer's report of the job's end stops a task, but does not settle it.
            let peers_report_end = peers_report_end_of(&id.job);
            let decision = context.decide(placement, jobs.get(&id.job), id.index, peers_report_end);
            decided.add(decision, id, placement, heartbeat.id);
        }
        machine.last_response_at = Some(self.now.monotonic_ms);
        for id in &decided.lost {
            leader.cluster.settle(&heartbeat.machine, id, EndCause::Lost);
        }
        let commands = decided.into_commands();
        Some(HeartbeatResponse { fencing_token: leader.term, commands })
    }
}

#[cfg(test)]
mod tests;
