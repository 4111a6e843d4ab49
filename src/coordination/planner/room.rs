//! Room for higher ranks and for guarantees: which tasks are stopped for it.

use super::pass::Pass;
use super::search::Preference;
use super::RunningTask;
use crate::constants::{JOB_TASKS_PER_PASS, PREEMPT_SHIELD_MS, ROOM_COMING_MS};
use crate::protocol::users::Priority;
use crate::protocol::Resources;
use std::collections::BTreeMap;

impl Pass<'_> {
    /// Stops tasks of lower ranks, or of teams beyond their guarantee, where a higher claim
    /// can't start. What is being stopped already counts as room to come.
    pub(super) fn make_room(&mut self, order: &[usize]) {
        // Room that is there or coming, per machine.
        let mut room: Vec<Resources> = (0..self.rows.len())
            .map(|m| {
                let mut free = self.rows[m].free;
                for r in self.snapshot.machines[m].running.iter().filter(|r| r.is_stopping) {
                    free += r.need;
                }
                free
            })
            .collect();
        let mut stopped: Vec<Vec<bool>> = self
            .snapshot
            .machines
            .iter()
            .map(|m| m.running.iter().map(|r| r.is_stopping).collect())
            .collect();
        let mut used = self.team_usage.clone();
        // What could be stopped on each machine for each rank, at the most: a quick look that
        // spares the search where nothing would come of it.
        let borrows: Vec<bool> = (0..self.snapshot.teams.len())
            .map(|t| !self.team_usage[t].under(&self.snapshot.teams[t].guarantee))
            .collect();
        let may_stop = |r: &RunningTask, priority: Priority, within: bool, team: usize| {
            r.priority > priority || within && r.team.is_some_and(|t| t != team && borrows[t])
        };
        let mut stoppable: BTreeMap<(Priority, bool, usize), Vec<Option<Resources>>> =
            BTreeMap::new();
        for &j in order {
            let job = &self.snapshot.jobs[j];
            let within = job.within_guarantee;
            if job.is_gang || job.priority > Priority::High && !within {
                continue;
            }
            let stoppable = stoppable
                .entry((job.priority, within, job.team))
                .or_insert_with(|| vec![None; room.len()]);
            for _ in 0..self.waiting_tasks[j].min(JOB_TASKS_PER_PASS as u32) {
                let mut with = used[job.team];
                with += job.need;
                if !with.under(&self.snapshot.teams[job.team].limit) {
                    break;
                }
                // Where the least is lost, by the image that has to be fetched and by what is
                // stopped; a place where there is room wins over one like it.
                let mut best: Option<(u64, Preference, usize, Vec<usize>)> = None;
                for m in 0..room.len() {
                    let here = room[m].fits(&job.need);
                    if !here {
                        let mut most = *stoppable[m].get_or_insert_with(|| {
                            let mut most = Resources::default();
                            for r in &self.snapshot.machines[m].running {
                                if !r.is_stopping && may_stop(r, job.priority, within, job.team) {
                                    most += r.need;
                                }
                            }
                            most
                        });
                        most += room[m];
                        if !most.fits(&job.need) {
                            continue;
                        }
                    }
                    // Where it would not start for its image, room would be made for nothing, pass
                    // after pass: in the wake of a start five tasks were stopped for each service.
                    if !self.allowed(j, m) || self.better_on_the_way(j, m) {
                        continue;
                    }
                    let fetch = self.fetch_ms(j, m, self.snapshot.now_ms);
                    if best.as_ref().is_some_and(|(cost, ..)| fetch > *cost) {
                        continue;
                    }
                    let choice = if here {
                        Some((0, Vec::new()))
                    } else {
                        self.victims(j, m, room[m], &stopped[m], within)
                    };
                    let Some((lost, victims)) = choice else { continue };
                    let (cost, preference) = (lost + fetch, self.preference(j, m));
                    let better = best
                        .as_ref()
                        .is_none_or(|(b, t, ..)| cost < *b || (cost == *b && preference < *t));
                    if better {
                        best = Some((cost, preference, m, victims));
                    }
                }
                let Some((_, _, m, victims)) = best else { break };
                if victims.is_empty() && self.rows[m].free.fits(&job.need) {
                    room[m] -= job.need;
                    used[job.team] = with;
                    continue;
                }
                let mut wait = ROOM_COMING_MS;
                for v in victims {
                    let r = &self.snapshot.machines[m].running[v];
                    stopped[m][v] = true;
                    room[m] += r.need;
                    self.rows[m].end_at(v, self.snapshot.now_ms + r.stop_ms.max(1));
                    wait = wait.max(r.stop_ms);
                    if let Some(t) = r.team {
                        used[t] -= r.need;
                    }
                    self.plan.preemptions.push((m, r.handle));
                }
                room[m] -= job.need;
                self.held_for_priority[m] += job.need;
                used[job.team] = with;
                // The task for which room is made waits for it. Where it went elsewhere in the
                // same pass all the same, tasks were stopped for nothing, pass after pass.
                self.awaiting_room[j] += 1;
                self.waiting_tasks[j] -= 1;
                self.plan.expected_wait_ms[j].push(wait);
                self.claim(j, m, self.snapshot.now_ms + wait, job.run_ms);
            }
        }
    }

    /// Tasks to stop on a machine so that one task of the job fits, and what that loses.
    fn victims(
        &self,
        j: usize,
        m: usize,
        mut room: Resources,
        stopped: &[bool],
        within: bool,
    ) -> Option<(u64, Vec<usize>)> {
        let job = &self.snapshot.jobs[j];
        let running = &self.snapshot.machines[m].running;
        let mut can: Vec<(u64, usize)> = running
            .iter()
            .enumerate()
            .filter(|(v, r)| {
                if stopped[*v] || r.is_stopping {
                    return false;
                }
                let lower = r.priority > job.priority;
                let borrowed = within
                    && r.team.is_some_and(|t| {
                        t != job.team
                            && !self.team_usage[t].under(&self.snapshot.teams[t].guarantee)
                    });
                lower || borrowed
            })
            .map(|(v, r)| {
                let ran = r.ran_ms.unwrap_or(0);
                // A young start would not count for its users; old work without saves is lost.
                let shield = if ran < PREEMPT_SHIELD_MS { PREEMPT_SHIELD_MS } else { 0 };
                let lost = if r.keeps_progress { 0 } else { ran };
                let service = if r.is_service { PREEMPT_SHIELD_MS * 4 } else { 0 };
                let cost = 1_000 + shield + lost + service;
                // The rest of its gang stops with it, and all of it starts anew.
                let whole = if r.tasks_stopped > 1 { cost + PREEMPT_SHIELD_MS } else { cost };
                (whole * u64::from(r.tasks_stopped), v)
            })
            .collect();
        can.sort_unstable();
        let mut cost = 0;
        let mut victims = Vec::new();
        for (c, v) in can {
            if room.fits(&job.need) {
                break;
            }
            room += running[v].need;
            cost += c;
            victims.push(v);
        }
        (room.fits(&job.need) && !victims.is_empty()).then_some((cost, victims))
    }
}
