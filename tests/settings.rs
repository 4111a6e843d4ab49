//! The operators' settings, as they write them.

use mountgap::settings::Operator;

#[test]
fn the_former_name_of_class_bandwidth_is_still_read() {
    let now = r#"planner { class_bandwidth { class: "render" bandwidth: HIGH } }"#;
    let former = r#"planner { duty_bandwidth { duty: "render" bandwidth: HIGH } }"#;
    let now = Operator::parse(now).expect("it is read");
    let former = Operator::parse(former).expect("it is read");
    assert_eq!(now.class_bandwidth, former.class_bandwidth);
    assert!(now.bandwidth("render") > now.bandwidth("another class"));
    assert!(Operator::parse("planner { class_bandwidth { class: 3 } }").is_err());
}
