//! Tests of [`super`], the module `recovery`.

use super::*;
use crate::protocol::recovery::{FlaggedJob, UnknownTask};
use std::net::Ipv4Addr;

fn report_without_losses() -> RecoveryReport {
    RecoveryReport {
        controller: "node-0".into(),
        enabled: true,
        phase: "following".into(),
        loss: None,
        store: None,
        losses: 0,
        written: None,
        last_rebuild: None,
        flagged: Vec::new(),
        unknown_tasks: Vec::new(),
    }
}

#[test]
fn a_report_without_losses_is_one_line() {
    let lines = report_lines(&report_without_losses());
    assert_eq!(lines, ["node-0: following, store without identity, 0 losses seen"]);
}

#[test]
fn a_report_lists_loss_progress_gap_flagged_jobs_and_unknown_tasks() {
    let report = RecoveryReport {
        loss: Some("empty".into()),
        store: Some("5f".into()),
        losses: 2,
        written: Some((3, 40)),
        last_rebuild: Some(LastRebuild {
            phase: "done".into(),
            owner: "node-1".into(),
            at: 0,
            loss: "an older revision".into(),
            sources: vec!["node-0".into(), "node-1".into()],
            gap: vec!["node-2".into()],
        }),
        flagged: vec![FlaggedJob { job: "job-7".into(), reason: "may have ended".into() }],
        unknown_tasks: vec![UnknownTask {
            machine: "n-1".into(),
            task: "job-9/0".into(),
            attempt: 4,
        }],
        ..report_without_losses()
    };
    let expected = [
        "node-0: following, store 5f, 2 losses seen",
        "loss: empty",
        "rebuilding: 3 commits carried out, 40 values in all",
        "last rebuild: done by node-1 from node-0, node-1",
        "  because an older revision",
        "  gap: no memory from before the loss at node-2",
        "flagged job-7: may have ended",
        "unknown job-9/0 attempt 4 on n-1",
    ];
    assert_eq!(report_lines(&report), expected);
}

#[test]
fn a_decision_is_repeated_while_jobs_are_left() {
    let answers = [(8, 5), (5, 0)].map(|(decided, left)| DecisionAnswer { decided, left });
    let mut answers = answers.into_iter();
    let summary = repeat_until_done(|| Ok(answers.next().expect("one response per request")));
    assert_eq!(summary.expect("decided"), "13 jobs decided on, 0 left");
    let stuck = repeat_until_done(|| Ok(DecisionAnswer { decided: 0, left: 5 }));
    assert_eq!(stuck.expect("a response"), "0 jobs decided on, 5 left");
}

#[test]
fn every_decision_except_closing_the_gap_requires_jobs() {
    let unreachable = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    for decision in [Decision::Release, Decision::GiveUp] {
        let error =
            decide(unreachable, decision, &DecisionRequest::default()).expect_err("no jobs");
        assert_eq!(error.to_string(), "name jobs, or give --all");
    }
    let error = decide(unreachable, Decision::CloseGap, &DecisionRequest::default());
    assert!(matches!(error, Err(ClientError::Io(_))), "the request is sent");
}
