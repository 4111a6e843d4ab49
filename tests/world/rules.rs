//! The checker: every rule of the protocol, held against all that happens.

use super::*;

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
        self.jobs.get_mut(job).unwrap().starts += 1;
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
            if !over && n < left && !limited && room.iter().any(fits) {
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
