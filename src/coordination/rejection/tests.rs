//! Tests of [`super`], the module `rejection`.

use super::*;

#[test]
fn each_rejection_has_its_http_status_and_error_text() {
    let permanent = [
        (Rejection::UnknownTeam("blue".into()), "unknown team blue"),
        (Rejection::FitsNoMachineType, "a task fits no allowed machine type"),
        (Rejection::OverTeamLimit, "more than the team's limit"),
        (Rejection::GangTooLarge { tasks_max: 7 }, "a gang can have 7 tasks here at the most"),
        (Rejection::TooFewZones, "too few zones for all tasks at once"),
    ];
    for (rejection, text) in permanent {
        assert_eq!((rejection.status(), rejection.to_string().as_str()), (422, text));
    }
    assert_eq!(Rejection::Malformed("loads: too many".into()).status(), 400);
    assert_eq!(Rejection::MachineTypesUnknown.status(), 503);
}
