use super::*;
use mountgap_records::records::{store_key, term_key};

const NOW: u64 = 100_000;

fn recovery() -> Recovery {
    Recovery::new(&RecoverySettings { enabled: true, gap_policy: GapPolicy::Hold, snapshots: None })
}

/// A recovery that has read a store of this term.
fn following(term: u64) -> Recovery {
    let mut recovery = recovery();
    recovery.record_value(&store_key(), 1, r#"{"id":7}"#, 0);
    recovery.record_value(&term_key(), 2, &format!(r#"{{"term":{term}}}"#), 0);
    recovery.complete_image(2, false);
    recovery.restart_history(NOW);
    recovery
}

fn campaign_at(recovery: &Recovery) -> u64 {
    match recovery.phase() {
        RecoveryPhase::Lost { campaign_at, .. } => *campaign_at,
        other => panic!("the store is not lost: {other:?}"),
    }
}

#[test]
fn what_was_known_at_a_loss_counts_only_once_the_store_was_followed_for_long_and_proven() {
    let followed_long = NOW + COMPLETE_HISTORY_AGE_MS;
    let cases = [
        (false, followed_long, false),
        (true, followed_long - 1, false),
        (true, followed_long, true),
    ];
    for (proven, lost_at, complete) in cases {
        let mut recovery = following(3);
        if proven {
            recovery.prove_continuity();
        }
        let known = recovery.freeze_image(Some(90), lost_at);
        assert_eq!(known.term(), 3);
        assert!(recovery.image().is_empty());
        assert_eq!(recovery.was_history_complete(), complete);
        assert_eq!(recovery.confirmed_read_at(), Some(90));
    }
}

#[test]
fn a_controller_that_holds_nothing_of_the_lost_store_lets_others_campaign_first() {
    let mut holds_image = following(3);
    let known = holds_image.freeze_image(None, NOW);
    holds_image.declare_lost(DataLoss::RebuildStarted, Some(known), NOW);
    let mut holds_nothing = recovery();
    holds_nothing.declare_lost(DataLoss::RebuildStarted, None, NOW);
    assert_eq!(campaign_at(&holds_image), NOW + REBUILD_CAMPAIGN_DELAY_MS);
    assert_eq!(campaign_at(&holds_nothing), NOW + REBUILD_CAMPAIGN_DELAY_EMPTY_MS);
    assert_eq!(holds_image.lost_term(), Some(3));
    assert_eq!(holds_nothing.losses(), 1);
}

#[test]
fn only_a_rebuild_of_a_term_after_the_lost_store_ends_the_loss() {
    let mut recovery = following(3);
    let known = recovery.freeze_image(None, NOW);
    recovery.declare_lost(DataLoss::RebuildStarted, Some(known), NOW);
    assert!(!recovery.is_rebuild_after_loss(3), "a backup holds an earlier rebuild");
    assert!(recovery.is_rebuild_after_loss(4));
    recovery.observe_unfinished_rebuild(9);
    assert!(!recovery.is_rebuild_after_loss(8));
    assert!(recovery.is_rebuild_after_loss(9), "the unfinished one itself");
}

#[test]
fn an_abandoned_rebuild_leaves_others_time_to_campaign() {
    let mut recovery = recovery();
    recovery.declare_lost(DataLoss::RebuildStarted, None, NOW);
    recovery.abandon_rebuild(NOW + 9_000);
    assert_eq!(campaign_at(&recovery), NOW + REBUILD_CAMPAIGN_DELAY_EMPTY_MS, "there was none");
    recovery.start_rebuild(Rebuild::new(2, NOW));
    recovery.set_phase_update_sent(true);
    recovery.abandon_rebuild(NOW + 9_000);
    assert_eq!(campaign_at(&recovery), NOW + 9_000 + REBUILD_CAMPAIGN_DELAY_MS);
    assert!(recovery.rebuild().is_none());
    assert!(!recovery.is_phase_update_sent());
}

#[test]
fn the_first_evidence_of_an_earlier_store_counts_and_only_at_a_first_start() {
    let mut recovery = recovery();
    recovery.add_evidence(NOW, || "while following".into());
    recovery.begin_first_start(NOW);
    recovery.add_evidence(NOW + 1, || "first".into());
    recovery.add_evidence(NOW + 2, || "second".into());
    let RecoveryPhase::FirstStart { since: NOW, evidence: Some(evidence) } = recovery.phase()
    else {
        panic!("no evidence: {:?}", recovery.phase());
    };
    assert_eq!((evidence.description.as_str(), evidence.heard_at), ("first", NOW + 1));
}

#[test]
fn a_revision_of_the_leader_key_is_known_from_the_epoch_in_which_it_was_first_seen() {
    let mut recovery = recovery();
    recovery.record_value(&leader_key(), 5, "{}", 1);
    recovery.record_value(&leader_key(), 5, "{}", 2);
    assert!(!recovery.leader_revision_seen_before(5, 1));
    assert!(recovery.leader_revision_seen_before(5, 2));
    assert!(!recovery.leader_revision_seen_before(6, 2));
}

#[test]
fn the_store_is_read_anew_now_and_then_while_it_is_lost() {
    let mut recovery = recovery();
    assert!(!recovery.take_due_reload(NOW), "it is followed");
    recovery.declare_lost(DataLoss::RebuildStarted, None, NOW);
    assert!(!recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS - 1));
    assert!(recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS));
    assert!(!recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS + 1));
}
