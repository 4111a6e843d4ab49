use super::*;
use mountgap_records::records::{store_key, term_key};

const NOW: u64 = 100_000;

fn recovery() -> Recovery {
    Recovery::new(&RecoverySettings { enabled: true, gap_policy: GapPolicy::Hold, snapshots: None })
}

/// A recovery state that has read a store with this term.
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
fn history_is_complete_only_after_long_following_with_proven_continuity() {
    let complete_at = NOW + COMPLETE_HISTORY_AGE_MS;
    let cases =
        [(false, complete_at, false), (true, complete_at - 1, false), (true, complete_at, true)];
    for (proven, lost_at, complete) in cases {
        let mut recovery = following(3);
        if proven {
            recovery.mark_continuity_proven();
        }
        let known = recovery.freeze_image(Some(90), lost_at);
        assert_eq!(known.term(), 3);
        assert!(recovery.image().is_empty());
        assert_eq!(recovery.was_history_complete(), complete);
        assert_eq!(recovery.confirmed_read_at(), Some(90));
    }
}

#[test]
fn a_controller_without_an_image_campaigns_later() {
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
fn only_a_rebuild_of_a_later_term_ends_the_loss() {
    let mut recovery = following(3);
    let known = recovery.freeze_image(None, NOW);
    recovery.declare_lost(DataLoss::RebuildStarted, Some(known), NOW);
    assert!(!recovery.is_rebuild_after_loss(3), "a restored backup contains an earlier rebuild");
    assert!(recovery.is_rebuild_after_loss(4));
    recovery.observe_unfinished_rebuild(9);
    assert!(!recovery.is_rebuild_after_loss(8));
    assert!(recovery.is_rebuild_after_loss(9), "the unfinished rebuild itself");
}

#[test]
fn abandoning_a_rebuild_delays_the_next_campaign() {
    let mut recovery = recovery();
    recovery.declare_lost(DataLoss::RebuildStarted, None, NOW);
    recovery.abandon_rebuild(NOW + 9_000);
    assert_eq!(
        campaign_at(&recovery),
        NOW + REBUILD_CAMPAIGN_DELAY_EMPTY_MS,
        "there was no rebuild to abandon"
    );
    recovery.start_rebuild(Rebuild::new(2, NOW));
    recovery.set_phase_update_sent(true);
    recovery.abandon_rebuild(NOW + 9_000);
    assert_eq!(campaign_at(&recovery), NOW + 9_000 + REBUILD_CAMPAIGN_DELAY_MS);
    assert!(recovery.rebuild().is_none());
    assert!(!recovery.is_phase_update_sent());
}

#[test]
fn only_the_first_evidence_of_an_earlier_store_is_kept_and_only_at_a_first_start() {
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
fn a_leader_key_revision_belongs_to_the_epoch_in_which_it_was_first_seen() {
    let mut recovery = recovery();
    recovery.record_value(&leader_key(), 5, "{}", 1);
    recovery.record_value(&leader_key(), 5, "{}", 2);
    assert!(!recovery.leader_revision_seen_before(5, 1));
    assert!(recovery.leader_revision_seen_before(5, 2));
    assert!(!recovery.leader_revision_seen_before(6, 2));
}

#[test]
fn a_lost_store_is_reloaded_periodically() {
    let mut recovery = recovery();
    assert!(!recovery.take_due_reload(NOW), "the store is not lost");
    recovery.declare_lost(DataLoss::RebuildStarted, None, NOW);
    assert!(!recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS - 1));
    assert!(recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS));
    assert!(!recovery.take_due_reload(NOW + LOST_STORE_RELOAD_MS + 1));
}
