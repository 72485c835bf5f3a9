//! Settings files, good and bad.

use pipithub_engine::policy::Idempotency;
use pipithub_settings::{Config, WorkersConfig, duration};

const GOOD: &str = r#"
front-end "fe-1" peers=3
class "view" { effect "safe"; aim "1s"; give-up "5s"; late-worth 0.3 }
class "assign" effect="unsafe" aim="750ms" give-up="5s"
class "change" { effect "keyed"; dedup-window "2.5s" }
limits { attempts 4; retry-after "500ms" }
cold-workers { from 0.16; ramp "17s"; multiple 3; span "2s" }
loading { ration window="5s" base=3 share=0.15 }
amqp "main" {
    address "127.0.0.1:5672"
    address "127.0.0.1:5673"
    login user="u" password="p" vhost="v"
    queue "calls" { prefetch 200; class "view"; lanes 4; dead-letter exchange="" key="dead" }
}
cron "dawn" { schedule "0 0 6 * * *"; class "view"; function "rosters"; body "{}" }
workers { list "http://127.0.0.1:8001" service="w" port="http"; remember "list.json" }
log { format "json" }
"#;

#[test]
fn a_whole_file_is_read() {
    let config = Config::parse("good.kdl", GOOD).expect("good");
    assert_eq!(
        (config.name.as_str(), config.engine.policy.front_ends),
        ("fe-1", 3)
    );
    let effects: Vec<_> = config
        .engine
        .policy
        .classes
        .iter()
        .map(|c| c.idempotency)
        .collect();
    assert_eq!(
        effects,
        [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::WithKey
        ]
    );
    assert_eq!(
        config.engine.policy.classes[1].latency_objective,
        750_000_000
    );
    assert_eq!(
        config
            .engine
            .policy
            .loading
            .rate_limit
            .as_ref()
            .map(|r| r.burst),
        Some(3.0)
    );
    assert_eq!(config.amqp[0].addresses.len(), 2);
    assert_eq!(
        (
            config.amqp[0].queues[0].prefetch,
            config.amqp[0].queues[0].route.class
        ),
        (200, Some(0))
    );
    assert!(matches!(
        config.workers,
        WorkersConfig::EndpointSlices { .. }
    ));
}

#[test]
fn every_fault_is_told_with_its_line_and_reason() {
    // Each of these is put in the place of a line of the good file: line, text, what its message must say.
    let cases = [
        (2, "front-end \"fe-1\" peers=0", "'peers' cannot be 0"),
        (2, "front-end \"fe-1\" pers=3", "'front-end' has no 'pers'"),
        (2, "front-end", "needs a value"),
        (
            3,
            "class \"view\" { effect \"risky\" }",
            "'effect' cannot be",
        ),
        (3, "class \"view\" { aim \"1s\" }", "needs 'effect'"),
        (
            3,
            "class \"view\" { effect \"safe\"; aim \"1 parsec\" }",
            "'aim' cannot be",
        ),
        (
            3,
            "class \"view\" { effect \"safe\"; aim \"5s\"; give-up \"1s\" }",
            "give-up (1s) is before aim (5s)",
        ),
        (
            3,
            "class \"view\" { effect \"safe\"; aim \"1s\"; aim \"2s\" }",
            "'aim' is given twice",
        ),
        (
            3,
            "class \"view\" { effect \"safe\"; dedup-window \"2s\" }",
            "only a keyed class",
        ),
        (
            5,
            "class \"change\" { effect \"keyed\" }",
            "needs 'dedup-window'",
        ),
        (
            5,
            "class \"view\" { effect \"safe\" }",
            "class 'view' is given twice",
        ),
        (6, "limits { attempts 99 }", "'attempts' cannot be 99"),
        (6, "limits { attempts 2 3 }", "takes one value"),
        (6, "limit { }", "'settings' has no 'limit'"),
        (8, "loading { orders \"yes\" }", "'orders' cannot be"),
        (10, "    address \"nowhere\"", "is no address"),
        (
            13,
            "    queue \"calls\" { class \"nope\" }",
            "there is no class",
        ),
        (
            13,
            "    queue \"calls\" { prefetch 60000 }",
            "more than the engine's max-open",
        ),
        (13, "", "needs a 'queue'"),
        (
            15,
            "cron \"dawn\" { schedule \"at six\"; class \"view\"; function \"f\" }",
            "is no schedule",
        ),
        (
            15,
            "cron \"dawn\" { schedule \"* * * * *\" }",
            "needs 'class' and 'function'",
        ),
        (
            16,
            "workers { list \"https://x\" }",
            "is no address of a list",
        ),
        (
            16,
            "workers { list \"http://x:1\"; worker \"a:1\" }",
            "given twice",
        ),
        (17, "log { format \"xml\" }", "'format' cannot be"),
        (17, "log { ", ""),
    ];
    for (line, text, wanted) in cases {
        let mut lines: Vec<&str> = GOOD.lines().collect();
        lines[line - 1] = text;
        let faults = Config::parse("bad.kdl", &lines.join("\n")).expect_err(text);
        let told = faults.lines();
        assert!(
            told.iter().any(|(_, m)| m.contains(wanted)),
            "{text}: {told:?}"
        );
        // Of nodes with braces around several lines the place is where the node begins.
        let near = told
            .iter()
            .any(|(l, _)| *l == line || line == 13 && *l == 9);
        assert!(near, "line {line} of {text}: {told:?}");
    }
}

#[test]
fn all_faults_are_told_at_once() {
    let faults = Config::parse("x", "class \"a\" effect=\"x\"\nfoo\nlimits { attempts 0 }")
        .expect_err("bad");
    assert_eq!(faults.lines().len(), 4, "{:?}", faults.lines());
    let near = Config::parse("x", "class \"a\" effect=\"safe\" give-upp=\"1s\"\nworkers")
        .expect_err("bad");
    assert_eq!(
        near.faults[0].help.as_deref(),
        Some("did you mean 'give-up'?")
    );
}

#[test]
fn times_are_read() {
    assert_eq!(duration("250ms"), Some(250_000_000));
    assert_eq!(duration("1.5s"), Some(1_500_000_000));
    for bad in ["", "5", "ms", "-1s", "1e99h", "1 day", "NaNs", "infs"] {
        assert_eq!(duration(bad), None, "{bad}");
    }
}
