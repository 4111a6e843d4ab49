//! Tests of [`super`], the module `response`.

use super::*;
use crate::constants::ATTEMPT_COUNTER_BITS;

const TERM: u64 = 5;
const HEARTBEAT: HeartbeatId = HeartbeatId { incarnation: 2, sequence: 9 };

fn context() -> ResponseContext {
    ResponseContext {
        term: TERM,
        rebuilt_in_term: 0,
        heartbeat: HEARTBEAT,
        has_current_token: true,
        may_start: true,
    }
}

/// A committed placement made by the leader of `term`.
fn placement_of_term(term: u64) -> Placement {
    Placement::new((term << ATTEMPT_COUNTER_BITS) + 1, PlacementPhase::Committed, 0)
}

#[test]
fn a_task_that_is_not_needed_and_got_no_start_is_settled_without_a_command() {
    let decision = context().decide(&placement_of_term(TERM), None, 0, false);
    assert!(matches!(decision, Decision::SettleAsLost));
}

#[test]
fn a_task_that_an_earlier_leader_may_have_started_is_stopped() {
    let decision = context().decide(&placement_of_term(TERM - 1), None, 0, false);
    assert!(matches!(decision, Decision::Stop { grace_s: 0.0 }));
}

#[test]
fn a_start_is_sent_only_where_allowed_and_while_the_task_is_not_reported() {
    let placement = placement_of_term(TERM);
    assert!(matches!(context().decide_start(&placement, None), Decision::Start));
    let blocked = ResponseContext { may_start: false, ..context() };
    assert!(matches!(blocked.decide_start(&placement, None), Decision::NoCommand));
    let reported = Placement {
        reported_status: Some(crate::protocol::workers::TaskStatus::Running),
        ..placement
    };
    assert!(matches!(context().decide_start(&reported, None), Decision::NoCommand));
}

#[test]
fn an_inherited_placement_is_started_only_once_its_machine_shows_the_current_token() {
    let inherited = placement_of_term(TERM - 1);
    let without_token = ResponseContext { has_current_token: false, ..context() };
    assert!(matches!(without_token.decide_start(&inherited, None), Decision::NoCommand));
    assert!(matches!(context().decide_start(&inherited, None), Decision::Start));
}

#[test]
fn a_placement_from_before_a_rebuild_is_settled_and_not_started_again() {
    let rebuilt = ResponseContext { rebuilt_in_term: TERM, ..context() };
    let decision = rebuilt.decide_start(&placement_of_term(TERM - 1), None);
    assert!(matches!(decision, Decision::SettleAsLost));
}

#[test]
fn a_task_of_a_gang_whose_machine_began_another_incarnation_may_have_run() {
    let gang = GangState::default();
    let sent = |incarnation| Placement {
        start_sent_after: Some(HeartbeatId { incarnation, sequence: 1 }),
        ..placement_of_term(TERM)
    };
    assert!(context().gang_may_have_run(&gang, &sent(HEARTBEAT.incarnation - 1)));
    assert!(!context().gang_may_have_run(&gang, &sent(HEARTBEAT.incarnation)));
}
