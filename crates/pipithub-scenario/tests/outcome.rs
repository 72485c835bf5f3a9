//! The JSON form of what a scenario reports.

use pipithub_scenario::outcome::InjectedFault;

#[test]
fn injected_fault_is_a_pair_of_time_and_code_in_json() {
    let fault = InjectedFault {
        at_s: 1.5,
        code: "Kill(0)".into(),
        description: "worker 0 is killed".into(),
    };
    let json = serde_json::to_string(&[fault]).expect("the list can be serialized");
    assert_eq!(json, r#"[[1.5,"Kill(0)"]]"#);
}
