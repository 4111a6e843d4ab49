//! What the machines offer to one job, kept for as long as it holds.
//!
//! The tasks of a job are placed one after the other, and each placement changes one machine. So
//! an offer is worked out again only when its machine has changed, or when something else did
//! that all offers to the job depend on. What is chosen is the same as if every offer were worked out
//! anew for each task; the tests compare the two.

use super::allocation::Allocation;
use super::pass::Pass;

/// What offers depend on beside the machines themselves. A reservation concerns its own machine alone,
/// which changes with the claim that goes with it.
#[derive(Debug, PartialEq)]
pub(super) struct OfferContext {
    job: usize,
    /// The zones in which one more task of the job may be.
    zones: Vec<bool>,
}

/// Something worked out at a version of a machine; 0 for nothing yet.
#[derive(Debug, Clone, Default)]
struct Cached<T> {
    version: u32,
    value: T,
}

/// The offers of all machines to the job that was looked at last.
#[derive(Debug, Default)]
pub(super) struct Offers {
    context: Option<OfferContext>,
    now: Vec<Cached<Option<Allocation>>>,
    later: Vec<Cached<Vec<Allocation>>>,
    /// The factor under which later offers are worth having, when they were worked out.
    bound: f64,
}

impl Offers {
    /// Forgets the offers unless they were worked out in the same context.
    pub(super) fn set_context(&mut self, context: OfferContext, machines: usize) {
        if self.context.as_ref() == Some(&context) {
            return;
        }
        self.context = Some(context);
        self.now.resize_with(machines, Cached::default);
        self.later.resize_with(machines, Cached::default);
        self.now.iter_mut().for_each(|cached| cached.version = 0);
        self.later.iter_mut().for_each(|cached| cached.version = 0);
    }

    /// The place that a machine offers now.
    pub(super) fn now(
        &mut self,
        pass: &Pass<'_>,
        job: usize,
        machine: usize,
    ) -> Option<Allocation> {
        let cached = &mut self.now[machine];
        let version = pass.machines[machine].version;
        if cached.version != version {
            cached.version = version;
            cached.value = pass.offer_now(job, machine);
        }
        cached.value
    }

    /// The places that a machine offers later, of a factor under the bound.
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
            cached.value.extend(pass.offers_later(job, machine, bound));
        }
        &cached.value
    }
}

impl Pass<'_> {
    /// What offers to a job depend on at present.
    pub(super) fn offer_context(&self, job: usize) -> OfferContext {
        let zones = 0..self.jobs[job].tasks_per_zone.len();
        OfferContext { job, zones: zones.map(|zone| self.is_zone_allowed(job, zone)).collect() }
    }
}
