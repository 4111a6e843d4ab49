//! Tests of [`super`], the module `routes`.

use super::*;

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "DELETE", "HEAD"];

fn status(method: &str, path: &str) -> u16 {
    Route::parse(method, path).map_or_else(RouteError::status, |_| 200)
}

#[test]
fn each_request_has_a_route() {
    assert_eq!(Route::parse("POST", "/checkin"), Ok(Route::Heartbeat));
    assert_eq!(Route::parse("GET", "/up"), Ok(Route::HealthCheck));
    assert_eq!(Route::parse("GET", "/v1/status"), Ok(Route::Status { query: "" }));
    assert_eq!(Route::parse("GET", "/v1/status?details"), Ok(Route::Status { query: "details" }));
    assert_eq!(Route::parse("GET", "/v1/recovery"), Ok(Route::RecoveryReport));
    for decision in [Decision::Release, Decision::GiveUp, Decision::CloseGap] {
        let path = format!("{RECOVERY_PATH}/{}", decision.name());
        assert_eq!(Route::parse("POST", &path), Ok(Route::RecoveryDecision(decision)));
    }
    assert_eq!(Route::parse("POST", "/v1/jobs"), Ok(Route::User(UserRoute::Submit)));
    let job_id = "job-000412";
    assert_eq!(Route::parse("GET", &job_path(job_id)), Ok(Route::User(UserRoute::Poll { job_id })));
    assert_eq!(
        Route::parse("POST", &cancel_path(job_id)),
        Ok(Route::User(UserRoute::Cancel { job_id }))
    );
}

#[test]
fn job_paths_contain_the_job_id() {
    assert_eq!(job_path("job-000412"), "/v1/jobs/job-000412");
    assert_eq!(cancel_path("job-000412"), "/v1/jobs/job-000412/withdraw");
}

#[test]
fn a_known_path_with_another_method_is_405() {
    let paths = [
        ("/checkin", "POST"),
        ("/up", "GET"),
        ("/v1/status", "GET"),
        ("/v1/recovery/release", "POST"),
        ("/v1/jobs", "POST"),
        ("/v1/jobs/job-000412", "GET"),
        ("/v1/jobs/job-000412/withdraw", "POST"),
        ("/v1/jobs/", "GET"),
        ("/v1/jobs//withdraw", "POST"),
        ("/v1/jobs/a/b/withdraw", "POST"),
    ];
    for (path, method) in paths {
        for tried in METHODS {
            let expected = if tried == method { 200 } else { 405 };
            assert_eq!(status(tried, path), expected, "{tried} {path}");
        }
    }
}

#[test]
fn an_unknown_path_is_404_with_every_method() {
    let paths = [
        "/",
        "/checkin/",
        "/checkins",
        "/up/",
        "/v1",
        "/v1/status/",
        "/v1/recovery/",
        "/v1/recovery/other",
        "/v1/recoveryrelease",
        "/v1/recovery/release/",
        "/v1/jobsjob-000412",
        "/v1/jobs/job-000412/",
        "/v1/jobs/job-000412/other",
    ];
    for path in paths {
        for method in METHODS {
            assert_eq!(status(method, path), 404, "{method} {path}");
        }
    }
    // Other methods at the path of the recovery report are parsed as an unknown decision.
    assert_eq!(status("POST", "/v1/recovery"), 404);
}

#[test]
fn a_query_does_not_change_the_route() {
    assert_eq!(Route::parse("POST", "/checkin?a=b"), Ok(Route::Heartbeat));
    assert_eq!(Route::parse("POST", "/v1/jobs?a"), Ok(Route::User(UserRoute::Submit)));
    let poll = Ok(Route::User(UserRoute::Poll { job_id: "job-000412" }));
    assert_eq!(Route::parse("GET", "/v1/jobs/job-000412?a=/b/withdraw"), poll);
}

#[test]
fn error_texts_are_those_sent_to_users() {
    assert_eq!(RouteError::NotFound.to_string(), "no such path");
    assert_eq!(RouteError::MethodNotAllowed.to_string(), "wrong method");
}

#[test]
fn requests_of_peers_use_post_without_a_query() {
    assert_eq!(PeerRoute::parse("POST", "/gossip"), Ok(PeerRoute::Gossip));
    assert_eq!(PeerRoute::parse("POST", "/relay"), Ok(PeerRoute::Relay));
    assert_eq!(PeerRoute::parse("POST", "/image"), Ok(PeerRoute::Image));
    assert_eq!(PeerRoute::parse("GET", "/gossip"), Err(RouteError::NotFound));
    assert_eq!(PeerRoute::parse("POST", "/up"), Err(RouteError::NotFound));
    assert_eq!(PeerRoute::parse("POST", "/gossip?a"), Err(RouteError::NotFound));
}
