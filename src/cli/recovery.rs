//! `mountgap recovery`: shows what a rebuild of the store could not account for, and sends operators'
//! decisions on it.

use super::client::{request, ClientError};
use crate::protocol::recovery::{
    Decision, DecisionAnswer, DecisionRequest, LastRebuild, RecoveryReport, RECOVERY_PATH,
};
use std::net::SocketAddrV4;

/// Requests a controller's recovery report and returns it as JSON.
pub fn fetch_json(address: SocketAddrV4) -> Result<String, ClientError> {
    Ok(String::from_utf8(request(address, "GET", RECOVERY_PATH, &[])?)?)
}

/// Requests a controller's recovery report and formats it as readable text.
pub fn fetch_text(address: SocketAddrV4) -> Result<String, ClientError> {
    let body = request(address, "GET", RECOVERY_PATH, &[])?;
    let report: RecoveryReport = serde_json::from_slice(&body)?;
    Ok(report_lines(&report).join("\n"))
}

/// Sends a decision to a controller until it has been applied to all jobs, and returns a summary.
pub fn decide(
    address: SocketAddrV4,
    decision: Decision,
    selection: &DecisionRequest,
) -> Result<String, ClientError> {
    let names_jobs = !selection.jobs.is_empty() || selection.all;
    if !names_jobs && decision != Decision::CloseGap {
        return Err(ClientError::NoJobsNamed);
    }
    let path = format!("{RECOVERY_PATH}/{}", decision.name());
    let body = serde_json::to_vec(selection)?;
    repeat_until_done(|| {
        let response = request(address, "POST", &path, &body)?;
        Ok(serde_json::from_slice(&response)?)
    })
}

/// Repeats a request while jobs are left that did not fit into one transaction.
fn repeat_until_done(
    mut send: impl FnMut() -> Result<DecisionAnswer, ClientError>,
) -> Result<String, ClientError> {
    let mut total = 0;
    loop {
        let answer = send()?;
        total += answer.decided;
        if answer.left == 0 || answer.decided == 0 {
            return Ok(format!("{total} jobs decided on, {} left", answer.left));
        }
    }
}

fn report_lines(report: &RecoveryReport) -> Vec<String> {
    let mut lines = loss_lines(report);
    lines.extend(report.last_rebuild.iter().flat_map(rebuild_lines));
    for flagged in &report.flagged {
        lines.push(format!("flagged {}: {}", flagged.job, flagged.reason));
    }
    for task in &report.unknown_tasks {
        lines.push(format!("unknown {} attempt {} on {}", task.task, task.attempt, task.machine));
    }
    lines
}

fn loss_lines(report: &RecoveryReport) -> Vec<String> {
    let store = report.store.as_deref().unwrap_or("without identity");
    let RecoveryReport { controller, phase, losses, .. } = report;
    let mut lines = vec![format!("{controller}: {phase}, store {store}, {losses} losses seen")];
    if let Some(loss) = &report.loss {
        lines.push(format!("loss: {loss}"));
    }
    if let Some((commits, values)) = report.written {
        lines.push(format!("rebuilding: {commits} commits carried out, {values} values in all"));
    }
    lines
}

fn rebuild_lines(last: &LastRebuild) -> Vec<String> {
    let sources = last.sources.join(", ");
    let mut lines = vec![
        format!("last rebuild: {} by {} from {sources}", last.phase, last.owner),
        format!("  because {}", last.loss),
    ];
    if !last.gap.is_empty() {
        let gap = last.gap.join(", ");
        lines.push(format!("  gap: no memory from before the loss at {gap}"));
    }
    lines
}

#[cfg(test)]
mod tests;
