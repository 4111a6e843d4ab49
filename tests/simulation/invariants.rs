//! Invariant checks for every rule of the protocol.
//!
//! The first word of each violation is the name of the violated rule:
//!
//! - `ran_twice`: a task ran on two machines at the same time.
//! - `quota`: the running tasks of a team used more GPUs than its limit.
//! - `wrong_place`: a task started on a spot machine or in a zone that its job does not allow.
//! - `ran_cancelled`: a task started or ran later than [`CANCEL_MS`] after its job was reported as cancelled.
//! - `forgotten`: a request for an accepted job was answered as if the job were unknown or invalid.
//! - `invented`: a request for a job that no user submitted was answered with success.
//! - `not_done`: a job was reported as done before all its tasks were done.
//! - `went_back`: a job was reported as cancelled without a request, or left a final status.
//!
//! Five more first words stand for conditions that are not rules of the protocol:
//!
//! - `starved`: a job waited for too long although there was capacity for it.
//! - `invalid_job_accepted`: a job was accepted that can't run or lacks a field.
//! - `started_after_cancellation`: a worker received a start command too long after a confirmed cancellation.
//! - `started_again`: a worker received a start command for an attempt that it had been told to clear.
//! - `direct_command`: a controller sent a command to the address of a worker. Such a command can be executed late
//!   or twice, also after its task was moved or cancelled.

use super::*;

/// The largest jobs of a class are one in this many of its jobs.
const LARGEST_JOBS_DIVISOR: usize = 4;
/// Time after its acceptance within which the largest job of a class must start.
const LARGEST_JOB_START_LIMIT_MS: u64 = 240_000;

/// Paths of requests to the address of a worker.
const WORKER_PATHS: [&str; 2] = ["/do", "/inspect"];

impl Simulation {
    /// Checks a request that a controller sends.
    pub(super) fn check_call(&mut self, path: &str) {
        if WORKER_PATHS.contains(&path) {
            self.violations.push(format!("direct_command {path}"));
        }
    }

    /// Checks a task that starts on a machine.
    pub(super) fn check_task_start(&mut self, machine: &str, job_id: &str, task: u32) {
        let now = self.now;
        let key = (job_id.to_string(), task);
        let mut violations = Vec::new();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (other, worker) in &self.workers {
            for running in worker.running_tasks() {
                if running == key && other != machine {
                    violations.push(format!("ran_twice {job_id}/{task} on {other} and {machine}"));
                }
                if running.0 == job_id {
                    *zones.entry(worker.zone.as_str()).or_default() += 1;
                }
            }
        }
        let job = &self.jobs[job_id];
        let worker = &self.workers[machine];
        if job.reported_cancelled_at.is_some_and(|t| now > t + CANCEL_MS) {
            violations.push(format!("ran_cancelled {job_id}/{task} starts"));
        }
        if worker.spot && !job.spec["lendables"].as_bool().unwrap() {
            violations.push(format!("wrong_place {job_id}: spot"));
        }
        if job.spec["yard"].as_str().is_some_and(|y| y != worker.zone) {
            violations.push(format!("wrong_place {job_id}: zone"));
        }
        if job.spec["apart"].as_bool().unwrap()
            && zones.values().any(|n| *n > job.tasks.div_ceil(2))
        {
            violations.push(format!("wrong_place {job_id}: apart"));
        }
        if job.spec["together"].as_bool().unwrap() && zones.len() > 1 {
            violations.push(format!("wrong_place {job_id}: together"));
        }
        let job = self.jobs.get_mut(job_id).unwrap();
        job.starts += 1;
        if !job.is_gang() {
            job.first_started_at.get_or_insert(now);
        }
        self.violations.extend(violations);
    }

    /// Looks for accepted jobs that have a waiting task although a machine has capacity for it and their
    /// team is below its limit. Without faults this may last for 90 s at most.
    pub(super) fn check_starvation(&mut self, faults_ended_at: u64) {
        let now = self.now;
        let capacity: Vec<(f64, String, bool)> = self
            .workers
            .values()
            .filter(|worker| {
                !worker.stopped && worker.reclaim_at.is_none() && now >= worker.hung_until
            })
            .map(|worker| {
                let used: f64 = worker
                    .unfinished_tasks()
                    .map(|(job, _)| self.jobs[job].spec["gpus"].as_f64().unwrap())
                    .sum();
                (4.0 - used, worker.zone.clone(), worker.spot)
            })
            .collect();
        let red_gpus: f64 = self
            .workers
            .values()
            .flat_map(|worker| worker.unfinished_tasks())
            .filter(|(job, _)| self.jobs[*job].spec["crew"] == "red")
            .map(|(job, _)| self.jobs[job].spec["gpus"].as_f64().unwrap())
            .sum();
        let mut placed_by_zone: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for worker in self.workers.values() {
            for (job, _) in worker.unfinished_tasks() {
                *placed_by_zone.entry(job).or_default().entry(worker.zone.as_str()).or_default() +=
                    1;
            }
        }
        let mut waiting = Vec::new();
        for (job_id, job) in &self.jobs {
            let placed = placed_by_zone.get(job_id.as_str());
            let placed_tasks: u32 = placed.map_or(0, |zones| zones.values().sum());
            let excluded = job.cancel_requested || job.accepted_at.is_none() || job.always_fails;
            let unfinished = job.tasks - (job.done_tasks.len() as u32).min(job.tasks);
            let gpus = job.spec["gpus"].as_f64().unwrap_or(0.0);
            let over_limit =
                job.spec["crew"] == "red" && red_gpus + gpus > self.team_gpus_max + 1e-9;
            let fits = |(free, zone, spot): &(f64, String, bool)| {
                let here = placed.and_then(|zones| zones.get(zone.as_str())).copied().unwrap_or(0);
                *free >= gpus
                    && (!spot || job.spec["lendables"] == true)
                    && job.spec["yard"].as_str().is_none_or(|only| only == zone)
                    && (job.spec["apart"] != true || here < job.tasks.div_ceil(2))
                    && (job.spec["together"] != true || here == placed_tasks)
            };
            let waits = match job.is_gang() {
                true => {
                    !excluded
                        && placed_tasks == 0
                        && unfinished > 0
                        && self.gang_fits(job, &capacity, red_gpus)
                }
                false => {
                    !excluded
                        && placed_tasks < unfinished
                        && !over_limit
                        && capacity.iter().any(fits)
                }
            };
            if waits {
                waiting.push(job_id.clone());
            }
        }
        for (job_id, job) in &mut self.jobs {
            if !waiting.contains(job_id) {
                job.unstarved_at = now;
            } else if now
                > job.unstarved_at.max(faults_ended_at).max(job.accepted_at.unwrap_or(now))
                    + STARVATION_LIMIT_MS
            {
                self.violations
                    .push(format!("starved {job_id}: waits although there is capacity for it"));
            }
        }
    }

    /// Asserts fair service over the whole run, for jobs that were accepted and not cancelled: at least half
    /// of the jobs of each class and of each team have started, at least half of the largest jobs of each
    /// class have started within four minutes of their acceptance, and so has the largest one.
    pub fn assert_fair_service(&self, when: &str) {
        let counted =
            |job: &&Job| job.accepted_at.is_some() && !job.cancel_requested && !job.always_fails;
        let mut groups: BTreeMap<String, Vec<&Job>> = BTreeMap::new();
        for job in self.jobs.values().filter(counted) {
            let name = |field: &str| job.spec[field].as_str().expect("a string").to_string();
            groups.entry(format!("class {}", name("duty"))).or_default().push(job);
            groups.entry(format!("team {}", name("crew"))).or_default().push(job);
        }
        for (group, jobs) in &mut groups {
            let started = jobs.iter().filter(|job| job.first_started_at.is_some()).count();
            assert!(started * 2 >= jobs.len(), "{when}: {started} of {} of {group}", jobs.len());
            if !group.starts_with("class") {
                continue;
            }
            jobs.sort_by_key(|job| std::cmp::Reverse(job.tasks));
            let largest = &jobs[..jobs.len().div_ceil(LARGEST_JOBS_DIVISOR)];
            let in_time = |job: &&&Job| {
                let (accepted, started) =
                    (job.accepted_at.expect("an accepted job"), job.first_started_at);
                started.unwrap_or(self.now) <= accepted + LARGEST_JOB_START_LIMIT_MS
            };
            let started = largest.iter().filter(in_time).count();
            assert!(started * 2 >= largest.len(), "{when}: {started} of the largest of {group}");
            assert!(largest.first().iter().all(in_time), "{when}: the largest of {group}");
        }
    }

    /// Checks what must hold at any time: cancelled jobs have stopped and team limits are kept.
    pub(super) fn check_invariants(&mut self) {
        let mut red_gpus = 0.0;
        let mut violations = Vec::new();
        for worker in self.workers.values().filter(|worker| !worker.stopped) {
            for (job_id, task) in worker.running_tasks() {
                let job = &self.jobs[&job_id];
                if job.spec["crew"] == "red" {
                    red_gpus += job.spec["gpus"].as_f64().unwrap();
                }
                if job.reported_cancelled_at.is_some_and(|t| self.now > t + CANCEL_MS) {
                    violations.push(format!("ran_cancelled {job_id}/{task}"));
                }
            }
        }
        if red_gpus > self.team_gpus_max + 1e-9 {
            violations.push(format!("quota {red_gpus}"));
        }
        self.violations.extend(violations);
    }
}
