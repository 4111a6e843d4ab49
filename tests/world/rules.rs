//! The checker: every rule of the protocol, held against all that happens.

use super::*;

/// The largest jobs of a class are one in so many of it.
const LARGEST_PART: usize = 4;
/// Milliseconds from its acceptance within which a class's largest job has to begin.
const LARGEST_BEGIN_MS: u64 = 240_000;

impl World {
    pub(super) fn check_start(&mut self, name: &str, job: &str, task: u32) {
        let now = self.now;
        let key = (job.to_string(), task);
        let mut broken = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (other, w) in &self.workers {
            for k in w.running() {
                if k == key && other != name {
                    broken.push(format!("ran_twice {job}/{task} on {other} and {name}"));
                }
                if k.0 == job {
                    *zones.entry(w.yard.as_str()).or_default() += 1;
                }
            }
        }
        let j = &self.jobs[job];
        let w = &self.workers[name];
        if j.withdrawn_told.is_some_and(|t| now > t + CANCEL_MS) {
            broken.push(format!("ran_cancelled {job}/{task} starts"));
        }
        if w.spot && !j.spec["lendables"].as_bool().unwrap() {
            broken.push(format!("wrong_place {job}: spot"));
        }
        if j.spec["yard"].as_str().is_some_and(|y| y != w.yard) {
            broken.push(format!("wrong_place {job}: zone"));
        }
        if j.spec["apart"].as_bool().unwrap() && zones.values().any(|n| *n > j.loads.div_ceil(2)) {
            broken.push(format!("wrong_place {job}: apart"));
        }
        if j.spec["together"].as_bool().unwrap() && zones.len() > 1 {
            broken.push(format!("wrong_place {job}: together"));
        }
        let begun = self.jobs.get_mut(job).unwrap();
        begun.starts += 1;
        if !begun.is_gang() {
            begun.begun_at.get_or_insert(now);
        }
        self.broken.extend(broken);
    }

    /// Looks for accepted jobs that have a task waiting beside a machine with room for it, their
    /// team under its limit. Once troubles are over that is not to last for 90 s.
    pub(super) fn check_waiting(&mut self, calm_since: u64) {
        let now = self.now;
        let room: Vec<(f64, String, bool)> = self
            .workers
            .values()
            .filter(|w| !w.dead && w.recall_at.is_none() && now >= w.hung_until)
            .map(|w| {
                let used: f64 =
                    w.on().map(|(j, _)| self.jobs[j].spec["gpus"].as_f64().unwrap()).sum();
                (4.0 - used, w.yard.clone(), w.spot)
            })
            .collect();
        let red: f64 = self
            .workers
            .values()
            .flat_map(|w| w.on())
            .filter(|(j, _)| self.jobs[*j].spec["crew"] == "red")
            .map(|(j, _)| self.jobs[j].spec["gpus"].as_f64().unwrap())
            .sum();
        let mut on: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for w in self.workers.values() {
            for (j, _) in w.on() {
                *on.entry(j).or_default().entry(w.yard.as_str()).or_default() += 1;
            }
        }
        let mut waiting = Vec::new();
        for (uid, j) in &self.jobs {
            let placed = on.get(uid.as_str());
            let n: u32 = placed.map_or(0, |z| z.values().sum());
            let over = j.asked_withdraw || j.accepted_at.is_none() || j.bad;
            let left = j.loads - (j.done_tasks.len() as u32).min(j.loads);
            let gpus = j.spec["gpus"].as_f64().unwrap_or(0.0);
            let limited = j.spec["crew"] == "red" && red + gpus > self.gpu_max + 1e-9;
            let fits = |(free, yard, spot): &(f64, String, bool)| {
                let here = placed.and_then(|z| z.get(yard.as_str())).copied().unwrap_or(0);
                *free >= gpus
                    && (!spot || j.spec["lendables"] == true)
                    && j.spec["yard"].as_str().is_none_or(|y| y == yard)
                    && (j.spec["apart"] != true || here < j.loads.div_ceil(2))
                    && (j.spec["together"] != true || here == n)
            };
            let waits = match j.is_gang() {
                true => !over && n == 0 && left > 0 && self.room_for_gang(j, &room, red),
                false => !over && n < left && !limited && room.iter().any(fits),
            };
            if waits {
                waiting.push(uid.clone());
            }
        }
        for (uid, j) in &mut self.jobs {
            if !waiting.contains(uid) {
                j.at_ease = now;
            } else if now > j.at_ease.max(calm_since).max(j.accepted_at.unwrap_or(now)) + WAITING_MS
            {
                self.broken.push(format!("waits {uid} beside room for it"));
            }
        }
    }

    /// Asserts what users ask of a day as a whole, for jobs that were accepted and not cancelled: of each
    /// class, of each team and of the largest jobs of each class half at least has begun, and the
    /// largest ones within four minutes of their acceptance.
    pub fn assert_all_kinds_are_served(&self, when: &str) {
        let kept = |j: &&Job| j.accepted_at.is_some() && !j.asked_withdraw && !j.bad;
        let mut groups: BTreeMap<String, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values().filter(kept) {
            let name = |field: &str| job.spec[field].as_str().expect("a name").to_string();
            groups.entry(format!("class {}", name("duty"))).or_default().push(job);
            groups.entry(format!("team {}", name("crew"))).or_default().push(job);
        }
        for (group, jobs) in &mut groups {
            let begun = jobs.iter().filter(|j| j.begun_at.is_some()).count();
            assert!(begun * 2 >= jobs.len(), "{when}: {begun} of {} of {group}", jobs.len());
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by_key(|j| std::cmp::Reverse(j.loads));
            let largest = &jobs[..jobs.len().div_ceil(LARGEST_PART)];
            let in_time = |j: &&&Job| {
                let (accepted, begun) = (j.accepted_at.expect("kept"), j.begun_at);
                begun.unwrap_or(self.now) <= accepted + LARGEST_BEGIN_MS
            };
            let begun = largest.iter().filter(in_time).count();
            assert!(begun * 2 >= largest.len(), "{when}: {begun} of the largest of {group}");
            assert!(largest.first().iter().all(in_time), "{when}: the largest of {group}");
        }
    }

    pub(super) fn check(&mut self) {
        let mut red = 0.0;
        let mut broken = Vec::new();
        for w in self.workers.values().filter(|w| !w.dead) {
            for (job, task) in w.running() {
                let j = &self.jobs[&job];
                if j.spec["crew"] == "red" {
                    red += j.spec["gpus"].as_f64().unwrap();
                }
                if j.withdrawn_told.is_some_and(|t| self.now > t + CANCEL_MS) {
                    broken.push(format!("ran_cancelled {job}/{task}"));
                }
            }
        }
        if red > self.gpu_max + 1e-9 {
            broken.push(format!("quota: {red}"));
        }
        self.broken.extend(broken);
    }
}
