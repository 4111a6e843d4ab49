//! The checker: every rule of the protocol, held against all that happens.

use super::*;

/// The largest jobs of a class are one in so many of it.
const LARGEST_JOBS_DIVISOR: usize = 4;
/// Milliseconds from its acceptance within which a class's largest job has to begin.
const LARGEST_JOB_START_LIMIT_MS: u64 = 240_000;

impl Simulation {
    pub(super) fn check_task_start(&mut self, name: &str, job: &str, task: u32) {
        let now = self.now;
        let key = (job.to_string(), task);
        let mut violations = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (other, w) in &self.workers {
            for k in w.running_tasks() {
                if k == key && other != name {
                    violations.push(format!("ran_twice {job}/{task} on {other} and {name}"));
                }
                if k.0 == job {
                    *zones.entry(w.zone.as_str()).or_default() += 1;
                }
            }
        }
        let j = &self.jobs[job];
        let w = &self.workers[name];
        if j.reported_cancelled_at.is_some_and(|t| now > t + CANCEL_MS) {
            violations.push(format!("ran_cancelled {job}/{task} starts"));
        }
        if w.spot && !j.spec["lendables"].as_bool().unwrap() {
            violations.push(format!("wrong_place {job}: spot"));
        }
        if j.spec["yard"].as_str().is_some_and(|y| y != w.zone) {
            violations.push(format!("wrong_place {job}: zone"));
        }
        if j.spec["apart"].as_bool().unwrap() && zones.values().any(|n| *n > j.tasks.div_ceil(2)) {
            violations.push(format!("wrong_place {job}: apart"));
        }
        if j.spec["together"].as_bool().unwrap() && zones.len() > 1 {
            violations.push(format!("wrong_place {job}: together"));
        }
        let begun = self.jobs.get_mut(job).unwrap();
        begun.starts += 1;
        if !begun.is_gang() {
            begun.first_started_at.get_or_insert(now);
        }
        self.violations.extend(violations);
    }

    /// Looks for accepted jobs that have a task waiting beside a machine with room for it, their
    /// team under its limit. Once troubles are over that is not to last for 90 s.
    pub(super) fn check_starvation(&mut self, faults_ended_at: u64) {
        let now = self.now;
        let room: Vec<(f64, String, bool)> = self
            .workers
            .values()
            .filter(|w| !w.stopped && w.reclaim_at.is_none() && now >= w.hung_until)
            .map(|w| {
                let used: f64 = w
                    .unfinished_tasks()
                    .map(|(j, _)| self.jobs[j].spec["gpus"].as_f64().unwrap())
                    .sum();
                (4.0 - used, w.zone.clone(), w.spot)
            })
            .collect();
        let red: f64 = self
            .workers
            .values()
            .flat_map(|w| w.unfinished_tasks())
            .filter(|(j, _)| self.jobs[*j].spec["crew"] == "red")
            .map(|(j, _)| self.jobs[j].spec["gpus"].as_f64().unwrap())
            .sum();
        let mut on: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for w in self.workers.values() {
            for (j, _) in w.unfinished_tasks() {
                *on.entry(j).or_default().entry(w.zone.as_str()).or_default() += 1;
            }
        }
        let mut waiting = Vec::new();
        for (uid, j) in &self.jobs {
            let placed = on.get(uid.as_str());
            let n: u32 = placed.map_or(0, |z| z.values().sum());
            let over = j.cancel_requested || j.accepted_at.is_none() || j.always_fails;
            let left = j.tasks - (j.done_tasks.len() as u32).min(j.tasks);
            let gpus = j.spec["gpus"].as_f64().unwrap_or(0.0);
            let limited = j.spec["crew"] == "red" && red + gpus > self.team_gpus_max + 1e-9;
            let fits = |(free, zone, spot): &(f64, String, bool)| {
                let here = placed.and_then(|z| z.get(zone.as_str())).copied().unwrap_or(0);
                *free >= gpus
                    && (!spot || j.spec["lendables"] == true)
                    && j.spec["yard"].as_str().is_none_or(|only| only == zone)
                    && (j.spec["apart"] != true || here < j.tasks.div_ceil(2))
                    && (j.spec["together"] != true || here == n)
            };
            let waits = match j.is_gang() {
                true => !over && n == 0 && left > 0 && self.gang_fits(j, &room, red),
                false => !over && n < left && !limited && room.iter().any(fits),
            };
            if waits {
                waiting.push(uid.clone());
            }
        }
        for (uid, j) in &mut self.jobs {
            if !waiting.contains(uid) {
                j.unstarved_at = now;
            } else if now
                > j.unstarved_at.max(faults_ended_at).max(j.accepted_at.unwrap_or(now))
                    + STARVATION_LIMIT_MS
            {
                self.violations.push(format!("waits {uid} beside room for it"));
            }
        }
    }

    /// Asserts what users ask of a day as a whole, for jobs that were accepted and not cancelled: of each
    /// class, of each team and of the largest jobs of each class half at least has begun, and the
    /// largest ones within four minutes of their acceptance.
    pub fn assert_fair_service(&self, when: &str) {
        let kept = |j: &&Job| j.accepted_at.is_some() && !j.cancel_requested && !j.always_fails;
        let mut groups: BTreeMap<String, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values().filter(kept) {
            let name = |field: &str| job.spec[field].as_str().expect("a name").to_string();
            groups.entry(format!("class {}", name("duty"))).or_default().push(job);
            groups.entry(format!("team {}", name("crew"))).or_default().push(job);
        }
        for (group, jobs) in &mut groups {
            let begun = jobs.iter().filter(|j| j.first_started_at.is_some()).count();
            assert!(begun * 2 >= jobs.len(), "{when}: {begun} of {} of {group}", jobs.len());
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by_key(|j| std::cmp::Reverse(j.tasks));
            let largest = &jobs[..jobs.len().div_ceil(LARGEST_JOBS_DIVISOR)];
            let in_time = |j: &&&Job| {
                let (accepted, begun) = (j.accepted_at.expect("kept"), j.first_started_at);
                begun.unwrap_or(self.now) <= accepted + LARGEST_JOB_START_LIMIT_MS
            };
            let begun = largest.iter().filter(in_time).count();
            assert!(begun * 2 >= largest.len(), "{when}: {begun} of the largest of {group}");
            assert!(largest.first().iter().all(in_time), "{when}: the largest of {group}");
        }
    }

    pub(super) fn check_invariants(&mut self) {
        let mut red = 0.0;
        let mut violations = Vec::new();
        for w in self.workers.values().filter(|w| !w.stopped) {
            for (job, task) in w.running_tasks() {
                let j = &self.jobs[&job];
                if j.spec["crew"] == "red" {
                    red += j.spec["gpus"].as_f64().unwrap();
                }
                if j.reported_cancelled_at.is_some_and(|t| self.now > t + CANCEL_MS) {
                    violations.push(format!("ran_cancelled {job}/{task}"));
                }
            }
        }
        if red > self.team_gpus_max + 1e-9 {
            violations.push(format!("quota: {red}"));
        }
        self.violations.extend(violations);
    }
}
