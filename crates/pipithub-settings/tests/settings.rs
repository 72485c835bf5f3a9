//! Tests of valid and invalid settings files.

use pipithub_engine::policy::Idempotency;
use pipithub_settings::{Config, FaultLine, WorkersConfig, parse_duration};

/// The first line of the node `amqp` in the valid file.
const AMQP_LINE: usize = 9;
/// The line of the node `queue` in the valid file.
const QUEUE_LINE: usize = 13;

const VALID: &str = r#"
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
fn valid_file_is_read_completely() {
    let config = Config::parse("valid.kdl", VALID).expect("a valid file");
    assert_eq!(
        (config.name.as_str(), config.engine.policy.front_ends),
        ("fe-1", 3)
    );
    let idempotency: Vec<_> = config
        .engine
        .policy
        .classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    assert_eq!(
        idempotency,
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
            .map(|limit| limit.burst),
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

/// Replaces a line of the valid file, counted from 1, by `text`. Expects a fault at that line and a fault whose message
/// contains `message`.
fn expect_fault(line: usize, text: &str, message: &str) {
    let mut lines: Vec<&str> = VALID.lines().collect();
    lines[line - 1] = text;
    let faults = Config::parse("invalid.kdl", &lines.join("\n"))
        .expect_err(text)
        .lines();
    assert!(
        faults.iter().any(|fault| fault.message.contains(message)),
        "{text}: {faults:?}"
    );
    // The location of a node that spans several lines is its first line.
    let is_at_line =
        |fault: &FaultLine| fault.line == line || line == QUEUE_LINE && fault.line == AMQP_LINE;
    assert!(
        faults.iter().any(is_at_line),
        "line {line} of {text}: {faults:?}"
    );
}

#[test]
fn invalid_front_end_is_reported_with_line_and_reason() {
    expect_fault(2, "front-end \"fe-1\" peers=0", "'peers' cannot be 0");
    expect_fault(2, "front-end \"fe-1\" pers=3", "'front-end' has no 'pers'");
    expect_fault(2, "front-end", "needs a value");
}

#[test]
fn invalid_class_is_reported_with_line_and_reason() {
    let expect_class_fault = |contents: &str, message: &str| {
        expect_fault(3, &format!("class \"view\" {{ {contents} }}"), message);
    };
    expect_class_fault("effect \"risky\"", "'effect' cannot be");
    expect_class_fault("aim \"1s\"", "needs 'effect'");
    expect_class_fault("effect \"safe\"; aim \"1 parsec\"", "'aim' cannot be");
    expect_class_fault(
        "effect \"safe\"; aim \"5s\"; give-up \"1s\"",
        "give-up (1s) is before aim (5s)",
    );
    expect_class_fault(
        "effect \"safe\"; aim \"1s\"; aim \"2s\"",
        "'aim' is given twice",
    );
    expect_class_fault("effect \"safe\"; dedup-window \"2s\"", "only a keyed class");
    expect_fault(
        5,
        "class \"change\" { effect \"keyed\" }",
        "needs 'dedup-window'",
    );
    expect_fault(
        5,
        "class \"view\" { effect \"safe\" }",
        "class 'view' is given twice",
    );
}

#[test]
fn invalid_limits_and_loading_are_reported_with_line_and_reason() {
    expect_fault(6, "limits { attempts 99 }", "'attempts' cannot be 99");
    expect_fault(6, "limits { attempts 2 3 }", "takes one value");
    expect_fault(6, "limit { }", "'settings' has no 'limit'");
    expect_fault(8, "loading { orders \"yes\" }", "'orders' cannot be");
}

#[test]
fn invalid_source_is_reported_with_line_and_reason() {
    expect_fault(10, "    address \"nowhere\"", "is no address");
    expect_fault(
        QUEUE_LINE,
        "    queue \"calls\" { class \"nope\" }",
        "there is no class",
    );
    expect_fault(
        QUEUE_LINE,
        "    queue \"calls\" { prefetch 60000 }",
        "more than the engine's max-open",
    );
    expect_fault(QUEUE_LINE, "", "needs a 'queue'");
    expect_fault(
        15,
        "cron \"dawn\" { schedule \"at six\"; class \"view\"; function \"f\" }",
        "is no schedule",
    );
    expect_fault(
        15,
        "cron \"dawn\" { schedule \"* * * * *\" }",
        "needs 'class' and 'function'",
    );
}

#[test]
fn invalid_workers_and_log_are_reported_with_line_and_reason() {
    expect_fault(
        16,
        "workers { list \"https://x\" }",
        "is no address of a list",
    );
    expect_fault(
        16,
        "workers { list \"http://x:1\"; worker \"a:1\" }",
        "given twice",
    );
    expect_fault(17, "log { format \"xml\" }", "'format' cannot be");
    // The text is not KDL. The message is that of the KDL parser, so any is accepted.
    expect_fault(17, "log { ", "");
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let faults = Config::parse("x", "class \"a\" effect=\"x\"\nfoo\nlimits { attempts 0 }")
        .expect_err("an invalid file");
    assert_eq!(faults.lines().len(), 4, "{:?}", faults.lines());
    let misspelt = Config::parse("x", "class \"a\" effect=\"safe\" give-upp=\"1s\"\nworkers")
        .expect_err("an invalid file");
    assert_eq!(
        misspelt.faults[0].help.as_deref(),
        Some("did you mean 'give-up'?")
    );
}

#[test]
fn durations_are_parsed_and_invalid_ones_rejected() {
    assert_eq!(parse_duration("250ms"), Some(250_000_000));
    assert_eq!(parse_duration("1.5s"), Some(1_500_000_000));
    for invalid in ["", "5", "ms", "-1s", "1e99h", "1 day", "NaNs", "infs"] {
        assert_eq!(parse_duration(invalid), None, "{invalid}");
    }
}

#[test]
fn debug_output_does_not_show_passwords_and_keys() {
    let text = format!(
        "{VALID}\n\
         directory \"campus\" {{ server \"127.0.0.1:3890\"; tls \"none\"; base \"dc=example\"\n\
         bind as=\"cn=gateway,dc=example\" text=\"the-password\" }}\n\
         tenant \"north\" {{ directory \"campus\" base=\"ou=north,dc=example\" }}\n\
         admission {{ snapshot \"roster\" {{ key text=\"the-key-of-the-snapshot\" }} }}"
    );
    // A queue and a timer need their tenant, which is not what is tested here.
    let text = text
        .replace("queue \"calls\" {", "queue \"calls\" { tenant \"north\";")
        .replace("cron \"dawn\" {", "cron \"dawn\" { tenant \"north\";");
    let config =
        Config::parse("valid.kdl", &text).unwrap_or_else(|faults| panic!("{:?}", faults.lines()));
    let tenants = format!("{:?}", config.tenants.expect("a tenant"));
    assert!(tenants.contains("cn=gateway,dc=example"), "{tenants}");
    assert!(!tenants.contains("the-password"), "{tenants}");
    let key = format!("{:?}", b"the-key-of-the-snapshot");
    assert!(!tenants.contains(&key), "{tenants}");
}

#[test]
fn time_since_when_keys_are_scoped_is_read_with_its_offset_or_rejected() {
    let read = |time: &str| {
        let text = format!(
            "{VALID}\n\
             directory \"campus\" {{ server \"127.0.0.1:3890\"; tls \"none\"; base \"dc=example\" }}\n\
             tenant \"north\" {{ directory \"campus\" base=\"ou=north,dc=example\" }}\n\
             admission {{ scoped-keys-since \"{time}\" }}"
        );
        let text = text
            .replace("queue \"calls\" {", "queue \"calls\" { tenant \"north\";")
            .replace("cron \"dawn\" {", "cron \"dawn\" { tenant \"north\";");
        Config::parse("valid.kdl", &text)
            .map(|config| config.scoped_keys_since_ms)
            .map_err(|faults| format!("{:?}", faults.lines()))
    };
    assert_eq!(read("2026-12-08T02:00:00Z"), Ok(Some(1_796_695_200_000)));
    assert_eq!(
        read("2026-12-08T09:00:00+07:00"),
        Ok(Some(1_796_695_200_000))
    );
    for invalid in ["", "tomorrow", "2026-12-08", "1900-01-01T00:00:00Z"] {
        let fault = read(invalid).expect_err(invalid);
        assert!(
            fault.contains("'scoped-keys-since' is a time such as"),
            "{fault}"
        );
    }
}
