//! A cache of the allocations that each machine allows for one job.
//!
//! The tasks of a job are placed one after the other, and each placement changes one machine. A
//! cached allocation is therefore recomputed only if its machine has changed, or if something has
//! changed that all allocations of the job depend on. The result is the same as without the cache;
//! unit tests compare the two.

use super::allocation::Allocation;
use super::pass::Pass;

/// What allocations depend on besides the machines. A reservation affects only its own machine,
/// whose version changes when it is made.
#[derive(Debug, PartialEq)]
pub(super) struct CacheContext {
    job: usize,
    /// Zones that may get one more task of the job.
    zones: Vec<bool>,
}

/// A value computed at a version of a machine; version 0 means not computed.
#[derive(Debug, Clone, Default)]
struct Cached<T> {
    version: u32,
    value: T,
}

/// Allocations on all machines for the job that was considered last.
#[derive(Debug, Default)]
pub(super) struct AllocationCache {
    context: Option<CacheContext>,
    immediate: Vec<Cached<Option<Allocation>>>,
    later: Vec<Cached<Vec<Allocation>>>,
    /// The bound on the penalty factor with which the later allocations were computed.
    bound: f64,
}

impl AllocationCache {
    /// Clears the cache unless it was filled in the same context.
    pub(super) fn set_context(&mut self, context: CacheContext, machines: usize) {
        if self.context.as_ref() == Some(&context) {
            return;
        }
        self.context = Some(context);
        self.immediate.resize_with(machines, Cached::default);
        self.later.resize_with(machines, Cached::default);
        self.immediate.iter_mut().for_each(|cached| cached.version = 0);
        self.later.iter_mut().for_each(|cached| cached.version = 0);
    }

    /// The allocation on a machine that starts now.
    pub(super) fn immediate(
        &mut self,
        pass: &Pass<'_>,
        job: usize,
        machine: usize,
    ) -> Option<Allocation> {
        let cached = &mut self.immediate[machine];
        let version = pass.machines[machine].version;
        if cached.version != version {
            cached.version = version;
            cached.value = pass.immediate_allocation(job, machine);
        }
        cached.value
    }

    /// The later allocations on a machine with a penalty factor below `bound`.
    pub(super) fn later(
        &mut self,
        pass: &Pass<'_>,
        job: usize,
        machine: usize,
        bound: f64,
    ) -> &[Allocation] {
        if self.bound != bound {
            self.bound = bound;
            self.later.iter_mut().for_each(|cached| cached.version = 0);
        }
        let cached = &mut self.later[machine];
        let version = pass.machines[machine].version;
        if cached.version != version {
            cached.version = version;
            cached.value.clear();
            cached.value.extend(pass.later_allocations(job, machine, bound));
        }
        &cached.value
    }
}

impl Pass<'_> {
    /// What the allocations of a job depend on at present, besides the machines.
    pub(super) fn cache_context(&self, job: usize) -> CacheContext {
        let zones = 0..self.jobs[job].tasks_per_zone.len();
        CacheContext { job, zones: zones.map(|zone| self.is_zone_allowed(job, zone)).collect() }
    }
}
