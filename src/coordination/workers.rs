//! Workers' reports and the commands that travel in their answers.
//!
//! What a report settles, and when: only a report that shows our token, the newest by
//! session and sequence. A start that a newer report doesn't show was not executed, since a
//! worker has one report in flight and drops late answers, so it is sent again.

use super::gangs::saves_when_stopped;
use super::leader::is_failure;
use super::report_evidence::{note_machine, shown, Evidence, ResponseDelivery};
use super::{ConnectionId, Controller, Leader, Requester};
use crate::constants::{
    ATTEMPT_BITS, COMMANDS_MAX, ELECTION_LEAST_MS, FAIL_PAUSE_MAX_MS, FAIL_PAUSE_MS,
    FAULTY_FAILURES, FAULTY_WINDOW_MS, GRACE_EXTRA_S, MS_PER_S, RECLAIM_MARGIN_S, REPORT_HOLD_MS,
    UNREACHABLE_CALM_LEASES,
};
use crate::protocol::parse_task;
use crate::protocol::users::JobKind;
use crate::protocol::workers::*;
use crate::settings::Platform;

use crate::storage::cluster::{Adoption, ClusterState};
use crate::storage::gangs::GangState;
use crate::storage::machine::{
    HeartbeatId, MachineState, Placement, PlacementPhase, StopReason, TaskId,
};
use crate::storage::records::{JobId, JobStage, MachineName};
use std::collections::BTreeSet;

/// A report whose answer waits for a commit that may bring commands.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub connection: ConnectionId,
    pub machine: MachineName,
    newest: HeartbeatId,
    pub since: u64,
    ours: bool,
    /// Tasks shown as ended, and tasks shown that nothing explains.
    ended: Vec<(String, u64)>,
    unknown_tasks: Vec<(String, u64)>,
}

impl Controller {
    /// Answers a report with the leader to turn to, if it is known.
    pub(super) fn redirect(&mut self, connection: ConnectionId) {
        self.redirect_past(connection, self.highest_term);
    }

    /// The same, where only a leader of this term or a later one will do.
    fn redirect_past(&mut self, connection: ConnectionId, term: u64) {
        self.metrics.work.reports_redirected += 1;
        let leader = match &self.replica.leader {
            Some(leader)
                if leader.value.label != self.settings.label && leader.value.term >= term =>
            {
                Some(leader.value.label.clone())
            }
            _ => self.fresh_gossip().find(|g| g.leads && g.term >= term).map(|g| g.label.clone()),
        };
        let body = serde_json::to_vec(&LeaderRedirect { leader }).unwrap_or_default();
        self.respond(connection, 421, None, body);
    }

    /// Takes note of a token above every term that we know. Whoever leads has stored its term before it
    /// showed it to anyone, so where the store can be read it decides. A worker that showed an absurd
    /// token once made every leader step down, and the terms after it run out of numbers.
    ///
    /// Without the store the token is believed if there was time for so many elections: a leader
    /// that is cut off should make way for its successor.
    fn observe_fencing_token(&mut self, token: u64) {
        if self.store_is_usable() {
            return self.request_leader_read();
        }
        let read_at = self.store_sync.fresh_at.unwrap_or(self.started_at);
        let elections = (self.now.monotonic_ms - read_at) / ELECTION_LEAST_MS + 1;
        if token - self.highest_term <= elections {
            self.highest_term = token;
            self.check_term();
        }
    }

    pub(super) fn on_heartbeat(&mut self, connection: ConnectionId, body: &[u8]) {
        let report: Heartbeat = match serde_json::from_slice(body) {
            Ok(r) => r,
            Err(e) => {
                let requester =
                    Requester { connection, relayed: false, since: self.now.monotonic_ms };
                return self.refuse(requester, 400, &e.to_string(), None);
            }
        };
        let now = self.now.monotonic_ms;
        self.metrics.work.reports += 1;
        self.worker_heartbeats.insert(report.machine.clone(), now);
        self.note_worker_token(&report);
        if report.fencing_token > self.highest_term {
            self.observe_fencing_token(report.fencing_token);
        }
        if report.fencing_token > self.highest_term {
            // It would drop our answer. Whoever gave it that token, it is not the leader that we know.
            return self.redirect_past(connection, report.fencing_token);
        }
        let ready = self.leader.as_ref().is_some_and(|leader| leader.ready);
        if ready && self.may_renew_worker_leases() {
            self.process_heartbeat(connection, report);
        } else if self.rebuilds() && self.may_renew_worker_leases() {
            self.answer_in_rebuild(connection, report);
        } else if self.leader.is_none() && self.may_extend_lease(report.fencing_token) {
            self.extend_lease(connection, report);
        } else {
            self.redirect(connection);
        }
    }

    fn process_heartbeat(&mut self, connection: ConnectionId, report: Heartbeat) {
        let now = self.now.monotonic_ms;
        let catalog = self.catalog.clone();
        let rebuilt = self.replica.rebuild.is_some();
        let history_is_doubtful = rebuilt || self.starts_are_held();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        leader.last_heartbeat_at = now;
        if leader.fleet.is_gone(&report.machine) {
            // A late report of a machine that was deleted.
            return self.redirect(connection);
        }
        let name: MachineName = report.machine.as_str().into();
        let ours = report.fencing_token == leader.term;
        let keys = leader.cluster.hash_keys();
        let m = leader.cluster.machine_entry(&name, now);
        let id = HeartbeatId::of(&report);
        if id <= m.newest_heartbeat {
            // Late or repeated: the worker has given it up.
            return self.redirect(connection);
        }
        if m.lease_expired && report.incarnation <= m.newest_heartbeat.incarnation {
            // Sent before its lease ran out and held on the way: what it shows is over, and
            // the worker has begun another session since. Such reports once brought back
            // machines that were still cut off, with tasks long started elsewhere.
            return self.redirect(connection);
        }
        let hearing = ResponseDelivery::of(m, id, ours, now);
        note_machine(m, &report, catalog.as_deref(), ours, now);
        let shown = shown(&report, keys);
        let evidence = Evidence::of(m, &shown, id, ours, now);
        let signs = hearing.undelivered_signs + u32::from(evidence.start_missed);
        let heard = hearing.delivered || evidence.start_arrived;
        let lease = self.settings.params.workers.lease_s * MS_PER_S;
        let calm = (lease * UNREACHABLE_CALM_LEASES) as u64;
        if m.note_response_delivery(signs, heard, now, calm) {
            log::info!("{name}: reports, but no answer seems to reach it");
        }
        if m.unreachable_since.is_some() {
            // What was never shown there is settled by its next report and starts elsewhere.
            for p in m.placements.values_mut().filter(|p| p.reported_status.is_none()) {
                p.stop_reason.get_or_insert(StopReason::Eviction);
            }
        }
        let ended = report.tasks.iter().filter(|task| !task.status.is_on_machine());
        let ended = ended.filter(|task| parse_task(&task.task_id).is_some());
        let mut held = DeferredHeartbeat {
            connection,
            machine: name.clone(),
            newest: id,
            since: now,
            ours,
            ended: ended.map(|task| (task.task_id.clone(), task.attempt)).collect(),
            unknown_tasks: Vec::new(),
        };
        for (id, placed_at) in evidence.running {
            let Some(j) = leader.cluster.jobs.get_mut(&id.job) else { continue };
            j.has_started = true;
            if let Some(gang) = &mut j.gang {
                gang.note_running();
            }
            let Some(spec) = j.spec.clone() else { continue };
            let machine_type = &leader.cluster.machines[&name].type_name;
            let known = catalog.as_ref().and_then(|c| c.machine_type(machine_type));
            let room = known.map_or(0.0, |t| t.cache_gb);
            if let Some(m) = leader.cluster.machines.get_mut(&name) {
                m.note_image(&spec.image, spec.size_gb, room);
            }
            let _ = self.metrics.start_ms.record(now - placed_at);
            log::debug!("{id}: runs on {name}, {} ms after it was placed", now - placed_at);
        }
        for (task, cause) in evidence.settled {
            leader.record_task_end(&name, &task, cause, now);
            leader.cluster.settle(&name, &task, cause);
            leader.plan_soon(now);
        }
        // What is shown and nothing explains.
        let mut unknown_tasks = BTreeSet::new();
        for reported in report.tasks.iter().filter(|x| x.status.is_on_machine()) {
            let Some((job, task)) = parse_task(&reported.task_id) else {
                continue;
            };
            let id = TaskId::new(job.into(), task);
            let known = leader.cluster.machines[&name]
                .placements
                .get(&id)
                .is_some_and(|p| p.attempt == reported.attempt);
            if known {
                continue;
            }
            let attempt = reported.attempt;
            if history_is_doubtful && !ours {
                // Perhaps a late copy. What really runs there a report with our token shows.
                continue;
            }
            if rebuilt && !self.replica.jobs.contains_key(&id.job) {
                // Accepted in the lost history, as far as anyone can tell: it is left alone.
                unknown_tasks.insert((id, attempt));
                continue;
            }
            if rebuilt && leader.cluster.adopt(&name, &id, attempt, now) != Adoption::Refused {
                continue;
            }
            log::info!("{}: attempt {attempt} on {name} is not known", reported.task_id);
            if ours && !rebuilt && self.recovery.notices_losses() {
                self.redirect(connection);
                return self.note_unexplained_task(&name, &reported.task_id);
            }
            held.unknown_tasks.push((reported.task_id.clone(), attempt));
            leader.cluster.add_untracked_task(&name, &id, attempt, now);
        }
        if let Some(m) = leader.cluster.machines.get_mut(&name).filter(|_| !rebuilt || ours) {
            m.unknown_tasks = unknown_tasks;
        }
        if leader.cluster.machines[&name].is_empty() {
            leader.cluster.machines.get_mut(&name).map(|m| m.idle_since.get_or_insert(now));
        }
        leader.reclaim(&name, now, &self.settings);
        leader.deferred_heartbeats.push(held);
    }

    /// Answers held reports whose commits are in, or that can wait no longer.
    pub(super) fn answer_deferred_heartbeats(&mut self) {
        let now = self.now.monotonic_ms;
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let deciding = leader.ready && leader.deciding(now);
        let mut go = Vec::new();
        let mut keep = Vec::new();
        for h in leader.deferred_heartbeats.drain(..) {
            let wants = leader.cluster.machines.get(&h.machine).is_some_and(|m| {
                m.uncommitted_placements > 0
                    || (m.state == MachineState::Up && !m.cordoned && m.reclaim_at.is_none())
            });
            if deciding && wants && now < h.since + REPORT_HOLD_MS {
                keep.push(h);
            } else {
                go.push(h);
            }
        }
        leader.deferred_heartbeats = keep;
        for h in go {
            self.answer_heartbeat(h);
        }
    }

    fn answer_heartbeat(&mut self, h: DeferredHeartbeat) {
        let now = self.now.monotonic_ms;
        if !self.may_renew_worker_leases() {
            return self.redirect(h.connection);
        }
        let may_order_starts = self.may_order_starts();
        let rebuilt_in = self.replica.rebuild.as_ref().map_or(0, |record| record.value.term);
        let Some(leader) = self.leader.as_mut() else {
            return self.redirect(h.connection);
        };
        let term = leader.term;
        let jobs = &leader.cluster.jobs;
        let Some(m) = leader.cluster.machines.get_mut(&h.machine) else {
            return self.redirect(h.connection);
        };
        if m.newest_heartbeat != h.newest || m.state == MachineState::Terminated {
            return self.redirect(h.connection);
        }
        let mut commands = Vec::new();
        let mut starts = Vec::new();
        let mut nowhere = Vec::new();
        // What does not fit into an answer goes out with the next one.
        for (task_id, attempt) in h.unknown_tasks.into_iter().take(COMMANDS_MAX) {
            commands.push(WorkerCommand::Stop { task_id, attempt, grace_s: 0.0 });
        }
        for (task_id, attempt) in h.ended {
            // Only once what it said is committed, which takes the placement out.
            let open = parse_task(&task_id).is_some_and(|(job, task)| {
                m.placements
                    .get(&TaskId::new(job.into(), task))
                    .is_some_and(|p| p.attempt == attempt)
            });
            if !open && commands.len() < COMMANDS_MAX {
                commands.push(WorkerCommand::Clear { task_id, attempt });
            }
        }
        for (id, p) in &mut m.placements {
            if p.settled.is_some() || p.phase != PlacementPhase::Committed {
                continue;
            }
            if commands.len() + starts.len() >= COMMANDS_MAX {
                break;
            }
            let job = jobs.get(&id.job);
            let live = job.is_some_and(|j| j.stage == JobStage::Live && !j.done.get(id.index));
            // Peers' word stops a task, but settles nothing: see `blind`.
            let told = self.ended_by_peers.contains(&id.job);
            let halt = if live && !told { p.stop_reason } else { Some(StopReason::NotNeeded) };
            let task_id = id.to_string();
            let inherited = p.attempt >> ATTEMPT_BITS != term;
            if let Some(halt) = halt {
                if p.reported_status.is_none() && p.start_sent_after.is_none() && !inherited {
                    if !live || p.stop_reason.is_some() {
                        nowhere.push(id.clone());
                    }
                    continue;
                }
                let saves = job.and_then(|j| j.spec.as_ref()).filter(|s| s.saves());
                let grace_s = match (halt, saves) {
                    (StopReason::Eviction, Some(s)) => s.checkpoint_cost_s + GRACE_EXTRA_S,
                    _ => 0.0,
                };
                commands.push(WorkerCommand::Stop { task_id, attempt: p.attempt, grace_s });
            } else if may_order_starts
                && p.reported_status.is_none()
                && m.state == MachineState::Up
                && !m.lease_expired
                && (!inherited || h.ours)
            {
                let gang = job.and_then(|j| j.gang.as_ref());
                // A rebuild may have brought back what was settled before: it is not started once more
                // past its team's limit, but placed anew.
                let brought_back = p.attempt >> ATTEMPT_BITS < rebuilt_in;
                if brought_back
                    || gang.is_some_and(|gang| may_have_started(gang, p, inherited, h.newest))
                {
                    if h.ours {
                        nowhere.push(id.clone());
                    }
                    continue;
                }
                p.start_sent_after = Some(h.newest);
                starts.push(WorkerCommand::Start { task_id, attempt: p.attempt });
            }
        }
        commands.extend(starts);
        m.last_response_at = Some(now);
        for id in nowhere {
            leader.cluster.settle(&h.machine, &id, EndCause::Lost);
        }
        let _ = self.metrics.report_ms.record(now - h.since);
        let body = serde_json::to_vec(&HeartbeatResponse { fencing_token: term, commands })
            .unwrap_or_default();
        self.respond(h.connection, 200, None, body);
    }
}

/// Whether a task of a gang that a machine does not show may have been there before, and the gang may
/// have run: an attempt that lost a task is not made whole again. It was placed by an earlier
/// leader, the machine has begun another session since it was ordered, or others ran already.
fn may_have_started(
    gang: &GangState,
    placement: &Placement,
    inherited: bool,
    newest: HeartbeatId,
) -> bool {
    let session_ended =
        placement.start_sent_after.is_some_and(|sent| sent.incarnation < newest.incarnation);
    inherited || session_ended || gang.running
}

impl Leader {
    /// Draws conclusions from how a task ended: run times, sick machines, bad jobs.
    fn record_task_end(&mut self, machine: &MachineName, id: &TaskId, cause: EndCause, now: u64) {
        let cluster = &mut self.cluster;
        let Some(job) = cluster.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(m) = cluster.machines.get_mut(machine) else {
            return;
        };
        let ran = m.placements.get(id).and_then(|p| p.running_since).map(|t| now - t);
        if cause == EndCause::Done {
            // It works here: the machines where it failed before are to blame.
            let blamed: Vec<MachineName> = job.failed_on.drain().collect();
            m.failures.clear();
            for other in blamed {
                if let Some(o) = cluster.machines.get_mut(&other) {
                    if o.failures.iter().any(|(t, _)| now - t < FAULTY_WINDOW_MS) {
                        log::info!(
                            "{other}: set aside, {} failed there and not on {machine}",
                            id.job
                        );
                        o.cordoned = true;
                    }
                }
            }
            if let (Some(spec), Some(ran)) = (spec, ran) {
                if ran > 0 {
                    self.learn_run(&spec, ran);
                }
            }
            return;
        }
        if !is_failure(cause) {
            return;
        }
        job.failed_on.insert(machine.clone());
        if job.fails_everywhere() {
            job.fail_pause_ms = (job.fail_pause_ms * 2).clamp(FAIL_PAUSE_MS, FAIL_PAUSE_MAX_MS);
            job.paused_until = now + job.fail_pause_ms;
            log::debug!("{}: failed on several machines, paused {} ms", id.job, job.fail_pause_ms);
            return;
        }
        m.failures.retain(|(t, _)| now - t < FAULTY_WINDOW_MS);
        m.failures.push((now, id.job.clone()));
        let mut jobs: Vec<&JobId> = m.failures.iter().map(|(_, j)| j).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let works_elsewhere = job.successes > 0 && m.failures.len() as u32 >= FAULTY_FAILURES;
        if (jobs.len() as u32 >= FAULTY_FAILURES || works_elsewhere) && !m.cordoned {
            log::info!("{machine}: set aside, tasks of {} jobs failed there", jobs.len());
            m.cordoned = true;
        }
    }

    /// A machine that the cloud will take: tasks that can't end in time are stopped while
    /// they can still save, and those that can't save at once, so that they start elsewhere.
    fn reclaim(&mut self, name: &MachineName, now: u64, settings: &Platform) {
        let jobs = &self.cluster.jobs;
        let Some(m) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let Some(at) = m.reclaim_at else { return };
        let left = at.saturating_sub(now);
        let report = (settings.params.workers.report_s * MS_PER_S) as u64;
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for (id, p) in &mut m.placements {
            let Some(spec) = jobs.get(&id.job).and_then(|j| j.spec.as_ref()) else {
                continue;
            };
            if p.settled.is_some() || p.stop_reason.is_some() {
                continue;
            }
            let stop = if spec.kind == JobKind::Service || p.running_since.is_none() {
                true
            } else if saves_when_stopped(spec, &settings.params.workers) {
                let needs = ((spec.checkpoint_cost_s + RECLAIM_MARGIN_S) * MS_PER_S) as u64;
                left <= needs + report * 2
            } else {
                let ran = p.running_since.map_or(0, |t| now - t);
                let run = (spec.run_estimate_s * MS_PER_S) as u64;
                run.saturating_sub(ran) > left
            };
            if stop && spec.is_gang() {
                gangs.insert(id.job.clone());
            } else if stop {
                p.stop_reason = Some(StopReason::Eviction);
            }
        }
        for uid in gangs {
            self.stop_gang(&uid, StopReason::Eviction, now);
        }
    }
}

impl ClusterState {
    /// A task that runs with no placement: counted where it is, so that it is not started
    /// elsewhere, and halted.
    fn add_untracked_task(&mut self, machine: &MachineName, id: &TaskId, attempt: u64, now: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let free = job.stage == JobStage::Live
            && !job.done.get(id.index)
            && !job.placed_on.contains_key(&id.index)
            && !job.settling.contains(&id.index)
            && id.index < job.tasks;
        if !free {
            return;
        }
        job.requeue_up_to(id.index);
        self.propose(&id.job, id.index, machine, attempt, now);
        if let Some(p) = self.machines.get_mut(machine).and_then(|m| m.placements.get_mut(id)) {
            p.phase = PlacementPhase::Committed;
            p.reported_status = Some(TaskStatus::Running);
            p.stop_reason = Some(StopReason::Eviction);
        }
    }
}
