//! The JSON form of what a scenario reports.

use pipithub_scenario::outcome::InjectedFault;

#[test]
fn an_injected_fault_is_a_pair_in_json() {
    let fault = InjectedFault {
        at_s: 1.5,
        description: "Kill(0)".into(),
    };
    let json = serde_json::to_string(&[fault]).expect("no map with odd keys");
    assert_eq!(json, r#"[[1.5,"Kill(0)"]]"#);
}
