//! Validation of submissions.
//!
//! A valid submission is answered only once its batch is committed, or a read shows its job.

use crate::constants::RETRY_AFTER_S;
use crate::coordination::gang_rules::{gang_tasks_max, zones_suffice};
use crate::coordination::rejection::Rejection;
use crate::coordination::requester::Requester;
use crate::coordination::store_client::FreshReadWaiter;
use crate::coordination::Controller;
use crate::protocol::cloud::{Catalog, MachineType};
use crate::protocol::routes::JOBS_PATH;
use crate::protocol::users::{JobSpec, Submission};
use crate::storage::records::JobStage;
use std::collections::BTreeSet;
use std::rc::Rc;

impl Controller {
    pub(super) fn submit(&mut self, requester: Requester, body: &[u8]) {
        self.metrics.work.submissions += 1;
        let submission = match Submission::parse(body) {
            Ok(submission) => submission,
            Err(error) => return self.answer_error(requester, 400, &error.to_string(), None),
        };
        let job_id = submission.job_id().to_string();
        if !self.admit(requester, "POST", JOBS_PATH, body) {
            return;
        }
        if let Some(job) = self.store.replica().jobs.get(job_id.as_str()) {
            if job.value.stage != JobStage::Live {
                return self.answer_with_status(requester, &job_id);
            }
            return self.request_read_for_submission(requester, job_id, None);
        }
        match self.validate(submission) {
            Ok(spec) => self.add_to_batch(requester, spec),
            // Another controller may have just accepted the job with another body.
            Err(rejection) => self.request_read_for_submission(requester, job_id, Some(rejection)),
        }
    }

    /// Makes a submission wait for a fresh read that shows whether its job is known.
    pub(super) fn request_read_for_submission(
        &mut self,
        requester: Requester,
        job_id: String,
        rejection: Option<Rejection>,
    ) {
        let waiter = FreshReadWaiter::Submit { requester, job_id, rejection };
        self.request_fresh_read(waiter);
    }

    /// Checks that the job can ever run.
    fn validate(&self, submission: Submission) -> Result<Rc<JobSpec>, Rejection> {
        let spec =
            submission.into_spec().map_err(|error| Rejection::Malformed(error.to_string()))?;
        let team = self.settings.params.teams.iter().find(|team| team.name == spec.team);
        let team = team.ok_or_else(|| Rejection::UnknownTeam(spec.team.clone()))?;
        let catalog = self.cloud.catalog().ok_or(Rejection::MachineTypesUnknown)?;
        let need = spec.need();
        if !usable_types(&spec, catalog).any(|machine_type| is_in_allowed_zone(&spec, machine_type))
        {
            return Err(Rejection::FitsNoMachineType);
        }
        let at_once = need * i64::from(spec.tasks_at_once());
        let limit = team.limit();
        if !at_once.is_within(&limit) {
            return Err(Rejection::OverTeamLimit);
        }
        if spec.is_gang() {
            self.validate_gang(&spec, catalog)?;
        }
        Ok(Rc::new(spec))
    }

    /// Checks that all tasks of a gang can be placed at once.
    fn validate_gang(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), Rejection> {
        let tasks_max = gang_tasks_max(self.store.limits(), self.settings.controllers());
        if spec.tasks as usize > tasks_max {
            return Err(Rejection::GangTooLarge { tasks_max });
        }
        let zones: BTreeSet<&String> = usable_types(spec, catalog)
            .flat_map(|machine_type| &machine_type.zones)
            .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone))
            .collect();
        match zones_suffice(spec, zones.len()) {
            true => Ok(()),
            false => Err(Rejection::TooFewZones),
        }
    }

    /// Answers a submission after a fresh read: its job is known by now, or it is rejected.
    pub(in crate::coordination) fn submit_after_read(
        &mut self,
        requester: Requester,
        job_id: &str,
        rejection: Option<Rejection>,
    ) {
        if self.store.replica().jobs.contains_key(job_id) {
            return self.answer_with_status(requester, job_id);
        }
        match rejection {
            // With a gap in the history, the job may have been accepted although it is invalid now.
            Some(rejection) if !self.has_history_gap() => self.reject(requester, &rejection),
            _ => self.reject_unavailable(requester),
        }
    }

    fn reject(&mut self, requester: Requester, rejection: &Rejection) {
        let status = rejection.status();
        let retry_after_s = (status == 503).then_some(RETRY_AFTER_S);
        self.answer_error(requester, status, &rejection.to_string(), retry_after_s);
    }
}

/// Machine types that the job allows and that have capacity for one of its tasks.
fn usable_types<'a>(
    spec: &'a JobSpec,
    catalog: &'a Catalog,
) -> impl Iterator<Item = &'a MachineType> {
    let need = spec.need();
    catalog.machine_types.iter().filter(move |machine_type| {
        spec.allows_type(&machine_type.type_name) && machine_type.total().fits(&need)
    })
}

/// Whether machines of the type can be rented in a zone that the job allows.
fn is_in_allowed_zone(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
}
