//! Tests of [`super`], the module `users`.

use super::*;
use serde_json::{json, Value};

fn submission() -> Value {
    json!({"uid": "job-000412", "duty": "train", "crew": "vision", "shape": "batch", "rank": "high",
        "loads": 16, "cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "kit": "img-07", "size_gb": 6.2,
        "builds": ["g8"], "yard": null, "together": true, "apart": false, "lendables": true,
        "run_guess_s": 240.0, "mark_every_s": 30.0, "mark_cost_s": 4.0, "due_s": 900.0})
}

/// Text of the error for a submission with this field changed.
fn error_text(field: &str, value: Value) -> String {
    let mut body = submission();
    body[field] = value;
    let spec = Submission::parse(body.to_string().as_bytes()).and_then(Submission::into_spec);
    spec.expect_err("it is rejected").to_string()
}

#[test]
fn a_valid_submission_is_accepted() {
    let parsed = Submission::parse(submission().to_string().as_bytes()).expect("it has an id");
    assert_eq!(parsed.job_id(), "job-000412");
    let spec = parsed.into_spec().expect("it is valid");
    assert_eq!((spec.uid.as_str(), spec.tasks, spec.zone), ("job-000412", 16, None));
}

#[test]
fn a_body_without_a_job_id_is_rejected_before_other_fields_are_checked() {
    let text = |body: &str| Submission::parse(body.as_bytes()).expect_err("no id").to_string();
    assert_eq!(text(""), "EOF while parsing a value at line 1 column 0");
    assert_eq!(text("[]"), "not an object");
    assert_eq!(text("{}"), "uid: missing or not a string");
    assert_eq!(text(r#"{"uid":7}"#), "uid: missing or not a string");
    assert_eq!(text(r#"{"uid":"412"}"#), "uid: must look like job-000412");
    assert!(Submission::parse(br#"{"uid":"job-000412","loads":-1}"#).is_ok());
}

#[test]
fn the_error_gives_the_wire_name_of_the_first_invalid_field() {
    let long = "x".repeat(NAME_BYTES_MAX + 1);
    for field in ["duty", "crew", "kit", "yard"] {
        assert_eq!(error_text(field, json!(long)), format!("{field}: must have 1 to 100 bytes"));
        assert_eq!(error_text(field, json!("")), format!("{field}: must have 1 to 100 bytes"));
    }
    assert_eq!(error_text("builds", json!([""])), "builds: must have 1 to 100 bytes");
    assert_eq!(error_text("builds", json!(vec!["g8"; 65])), "builds: too many");
    for tasks in [0, 100_001] {
        assert_eq!(error_text("loads", json!(tasks)), "loads: must lie between 1 and 100000");
    }
    let amounts = [
        "cores",
        "gpus",
        "ram_gb",
        "size_gb",
        "run_guess_s",
        "mark_every_s",
        "mark_cost_s",
        "due_s",
    ];
    for field in amounts {
        assert_eq!(error_text(field, json!(-1.0)), format!("{field}: out of range"));
        assert_eq!(error_text(field, json!(1e10)), format!("{field}: out of range"));
    }
}

#[test]
fn a_field_of_the_wrong_type_is_rejected_with_the_parsers_error() {
    assert_eq!(error_text("loads", json!(-1)), "invalid value: integer `-1`, expected u32");
    assert_eq!(error_text("duty", json!(1)), "invalid type: integer `1`, expected a string");
}

#[test]
fn a_task_without_resources_is_rejected() {
    let mut body = submission();
    for field in ["cores", "gpus", "ram_gb"] {
        body[field] = json!(0.0);
    }
    let spec = Submission::parse(body.to_string().as_bytes()).and_then(Submission::into_spec);
    assert_eq!(spec.expect_err("it is rejected").to_string(), "cores: a task must take something");
}

#[test]
fn the_response_to_a_poll_can_be_parsed_as_a_job_status() {
    let poll = JobProgressResponse { uid: "job-1", status: JobStatus::Done, done: 2, running: 0 };
    let body = serde_json::to_vec(&poll).expect("it can be serialized");
    let status: JobStatusResponse<'_> = serde_json::from_slice(&body).expect("it can be parsed");
    assert_eq!((status.uid, status.status), ("job-1", JobStatus::Done));
}
