//! What the machines offer to one job, kept for as long as it holds.
//!
//! The tasks of a job are placed one after the other, and each placement changes one machine. So
//! an offer is worked out again only when its machine has changed, or when something else did
//! that all offers to the job rest on. What is chosen is the same as if every offer were worked out
//! anew for each task; the tests compare the two.

use super::pass::Pass;
use super::search::Allocation;

/// What offers rest on beside the machines themselves. A reservation concerns its own machine alone,
/// which changes with the claim that goes with it.
#[derive(Debug, PartialEq)]
pub(super) struct Basis {
    job: usize,
    /// The zones in which one more task of the job may be.
    zones: Vec<bool>,
}

/// Something worked out at a version of a machine; 0 for nothing yet.
#[derive(Debug, Clone, Default)]
struct Kept<T> {
    version: u32,
    value: T,
}

/// The offers of all machines to the job that was looked at last.
#[derive(Debug, Default)]
pub(super) struct Offers {
    basis: Option<Basis>,
    now: Vec<Kept<Option<Allocation>>>,
    later: Vec<Kept<Vec<Allocation>>>,
    /// The factor under which later offers are worth having, when they were worked out.
    bound: f64,
}

impl Offers {
    /// Forgets what does not rest on this.
    pub(super) fn rest_on(&mut self, basis: Basis, machines: usize) {
        if self.basis.as_ref() == Some(&basis) {
            return;
        }
        self.basis = Some(basis);
        self.now.resize_with(machines, Kept::default);
        self.later.resize_with(machines, Kept::default);
        self.now.iter_mut().for_each(|kept| kept.version = 0);
        self.later.iter_mut().for_each(|kept| kept.version = 0);
    }

    /// The place that a machine offers now.
    pub(super) fn now(&mut self, pass: &Pass, job: usize, machine: usize) -> Option<Allocation> {
        let kept = &mut self.now[machine];
        if kept.version != pass.versions[machine] {
            kept.version = pass.versions[machine];
            kept.value = pass.offer_now(job, machine);
        }
        kept.value
    }

    /// The places that a machine offers later, of a factor under the bound.
    pub(super) fn later(
        &mut self,
        pass: &Pass,
        job: usize,
        machine: usize,
        bound: f64,
    ) -> &[Allocation] {
        if self.bound != bound {
            self.bound = bound;
            self.later.iter_mut().for_each(|kept| kept.version = 0);
        }
        let kept = &mut self.later[machine];
        if kept.version != pass.versions[machine] {
            kept.version = pass.versions[machine];
            kept.value.clear();
            kept.value.extend(pass.offers_later(job, machine, bound));
        }
        &kept.value
    }
}

impl Pass<'_> {
    /// What offers to a job rest on at present.
    pub(super) fn basis(&self, job: usize) -> Basis {
        let zones = self.tasks_per_zone[job].len();
        Basis { job, zones: (0..zones).map(|zone| self.zone_allowed(job, zone)).collect() }
    }
}
