//! Errors of scenario files.

use pipithub_scenario::scenario::Scenario;

/// Invalid scenarios with the messages of their errors.
const INVALID: [(&str, &str); 11] = [
    ("", "a day needs a class"),
    (
        "day length=3",
        "'day' needs a time 'length', as length=\"2s\"",
    ),
    ("class", "a class needs a name"),
    (
        "class \"x\" effect=\"no\"",
        "a class needs effect=\"safe\", \"keyed\" or \"unsafe\"",
    ),
    (
        "tenants users=3",
        "'tenants' needs a time 'bound', as bound=\"2s\"",
    ),
    ("burn at=\"1s\"", "a day has no 'burn'"),
    ("crash worker=1", "'crash' needs a time 'at', as at=\"2s\""),
    (
        "crash at=\"1s\" worker=9",
        "there are only 6 workers, counted from 0",
    ),
    (
        "kill-front at=\"1s\" front=7",
        "there are only 2 front ends, counted from 0",
    ),
    ("move-users at=\"1s\"", "this needs 'tenants', before it"),
    (
        "directory at=\"1s\" fault=\"x\"",
        "there is no such directory server; 'tenants' comes first",
    ),
];

#[test]
fn invalid_scenario_is_rejected_with_a_message() {
    for (text, message) in INVALID {
        let error = Scenario::parse("invalid", text).expect_err(text);
        assert_eq!(error.to_string(), message, "{text}");
    }
}
