//! The settings files of the platform and of operators, and the errors for invalid settings.

use mountgap::settings::{load, Operator, Platform};
use serde_json::{json, Value};

#[test]
fn the_former_name_of_class_bandwidth_is_still_accepted() {
    let current = r#"planner { class_bandwidth { class: "render" bandwidth: HIGH } }"#;
    let former = r#"planner { duty_bandwidth { duty: "render" bandwidth: HIGH } }"#;
    let current = Operator::parse(current).expect("valid settings");
    let former = Operator::parse(former).expect("valid settings");
    assert_eq!(current.class_bandwidth, former.class_bandwidth);
    assert!(current.bandwidth("render") > current.bandwidth("another class"));
    assert!(Operator::parse("planner { class_bandwidth { class: 3 } }").is_err());
}

/// The error for platform settings with this value at this path.
fn platform_error(path: &str, value: Value) -> String {
    let mut settings = json!({"label": "node-0", "zone": "a", "listen": "127.0.0.1:1",
        "peer_bind": "127.0.0.1:2", "peers": [{"label": "node-1", "address": "127.0.0.1:3"}],
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "params": {"teams": [], "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 25.0},
            "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 6.0, "list_lag_s": 1.0},
            "machine_limits": {"core_share": 0.25, "mem_mb": 100.0, "sockets": 1000}}});
    Platform::parse(&settings.to_string()).expect("valid settings");
    *settings.pointer_mut(path).expect("a path of the settings") = value;
    Platform::parse(&settings.to_string()).expect_err("an invalid value").to_string()
}

#[test]
fn errors_in_platform_settings_name_the_field() {
    let path = "/params/workers/report_s";
    let above_0 = "params.workers.report_s: must be above 0, is ";
    assert_eq!(platform_error(path, json!(0.0)), format!("{above_0}0"));
    assert_eq!(platform_error(path, json!(-1.5)), format!("{above_0}-1.5"));
    assert_eq!(platform_error("/label", json!("")), "label: must not be empty");
    let peers = "peers: names this controller itself";
    assert_eq!(platform_error("/peers/0/label", json!("node-0")), peers);
    let sockets = "params.machine_limits.sockets: must be at least 32";
    assert_eq!(platform_error("/params/machine_limits/sockets", json!(31)), sockets);
    let ops = platform_error("/params/state/txn_ops", json!(0));
    assert!(ops.starts_with("params.state.txn_ops: must be at least "), "{ops}");
    let value = platform_error("/params/state/value_kb", json!(0.1));
    assert!(value.starts_with("params.state.value_kb: must be at least "), "{value}");
    let label = platform_error("/label", json!(7));
    assert!(label.starts_with("invalid type: integer `7`, expected a string"), "{label}");
}

#[test]
fn errors_in_operator_settings_name_the_field() {
    let errors = [
        ("planner { thresholds: 0.5 }", "planner.thresholds: each must be at least 1"),
        ("planner { thresholds: nan }", "planner.thresholds: each must be at least 1"),
        ("fleet { headroom_share: 1.5 }", "fleet.headroom_share: must lie between 0 and 1"),
        ("fleet { idle_return_s: -1 }", "fleet.idle_return_s: must not be negative"),
        ("recovery { snapshot_period_s: 0 }", "recovery.snapshot_period_s: must be above 0"),
        ("recovery { snapshots_kept: 0 }", "recovery.snapshots_kept: must be above 0"),
        (
            r#"recovery { snapshot_directory: "x" }"#,
            "recovery.snapshot_directory: needs recovery.enabled",
        ),
    ];
    for (text, error) in errors {
        assert_eq!(
            Operator::parse(text).expect_err("invalid settings").to_string(),
            error,
            "{text}"
        );
    }
    let period = Operator::parse("planner { pass_period_ms: 60001 }")
        .expect_err("a period that is too long");
    assert!(period.to_string().ends_with("and 60000"), "{period}");
}

#[test]
fn operator_settings_override_their_defaults_and_no_others() {
    let text = r#"planner { thresholds: 3 thresholds: 1.5 } fleet { idle_return_s: 7 }
        recovery { enabled: true snapshot_directory: "x" snapshots_kept: 2 }"#;
    let operator = Operator::parse(text).expect("valid settings");
    let defaults = Operator::default();
    assert_eq!(operator.thresholds, [1.5, 3.0], "in ascending order");
    assert_eq!(operator.idle_return_s, Some(7.0));
    let kept = operator.recovery.snapshots.map(|snapshots| snapshots.kept);
    assert_eq!((operator.recovery.enabled, kept), (true, Some(2)));
    assert_eq!(operator.pass_period_ms, defaults.pass_period_ms);
    assert_eq!(operator.headroom_share, defaults.headroom_share);
    assert_eq!(Operator::parse("").expect("empty settings").thresholds, defaults.thresholds);
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = load("no/such/file.json", None).expect_err("no such file").to_string();
    assert!(error.starts_with("no/such/file.json: No such file or directory"), "{error}");
}
