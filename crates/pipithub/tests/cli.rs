//! Tests of the commands of the program, run as a user would run them.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY)
        .args(arguments)
        .output()
        .expect("it runs")
}

/// Writes a file of this test run into a temporary folder and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("pipithub-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// An emulated server that runs as a process, which is killed when dropped.
struct Emulator {
    process: Child,
    address: String,
}

impl Emulator {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(BINARY)
            .args(["emulator"])
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("a pipe"))
            .read_line(&mut line)
            .expect("its first line");
        let announcement: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        let address = announcement["address"]
            .as_str()
            .expect("an address")
            .to_string();
        assert!(address.starts_with("127.0.0.1:"));
        Emulator {
            process: child,
            address,
        }
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn invalid_settings_are_reported_with_their_positions() {
    let good = write_file(
        "good.kdl",
        "class \"view\" effect=\"safe\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let output = run(&["config", "check", &good]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let bad = write_file(
        "bad.kdl",
        "class \"view\" effect=\"safe\" aim=\"soon\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let output = run(&["config", "check", &bad]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        stderr.contains("'aim' cannot be") && stderr.contains("bad.kdl:1:"),
        "{stderr}"
    );
    let output = run(&["serve", "--config", &bad]);
    assert!(
        !output.status.success(),
        "the gateway does not start with invalid settings"
    );
}

#[test]
fn call_is_served_by_emulators_with_default_settings() {
    let broker = Emulator::start(&["broker", "--queue", "calls"]);
    let worker = Emulator::start(&["worker", "--load-ms", "5", "--run-ms", "5"]);
    for kind in ["list", "store"] {
        Emulator::start(&[kind]);
    }
    let proxy = Emulator::start(&["proxy", "--to", &broker.address]);
    let settings = format!(
        "class \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\"\n\
         amqp \"b\" {{ address \"{}\"; retry-first \"10ms\"; queue \"calls\" {{ lanes 4 }} }}\n\
         workers {{ worker \"{}\" }}\n",
        proxy.address, worker.address
    );
    let config = write_file("serve.kdl", &settings);
    let mut gateway = Command::new(BINARY)
        .args(["serve", "--config", &config])
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let publish = [
        "publish",
        "--broker",
        &broker.address,
        "--class",
        "view",
        "--function",
        "f",
        "--count",
        "5",
        "--json",
    ];
    let output = run(&[&publish[..], &["--rate", "100", "--wait-ms", "30000"]].concat());
    let _ = gateway.kill();
    let _ = gateway.wait();
    let results: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(results["answers"]["served"], 5, "{results}");
    assert!(output.status.success());
}

#[test]
fn emulators_reject_addresses_outside_loopback() {
    let output = run(&["emulator", "broker", "--listen", "0.0.0.0:0"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("loopback alone"));
}

/// Scripts may use the former names of commands, so these must give the same output as the present names.
#[test]
fn renamed_commands_accept_their_former_names() {
    let no_fleet = write_file(
        "no-fleet.kdl",
        "class \"view\" effect=\"safe\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let unreadable = write_file("unreadable-scenario.kdl", "day length=\"soon\"\n");
    let cases: [(&str, &str, &[&str], &str); 3] = [
        (
            "emulator",
            "standin",
            &["broker", "--listen", "0.0.0.0:0"],
            "loopback alone",
        ),
        (
            "membership",
            "members",
            &["status", "--config", &no_fleet],
            "these settings have no fleet",
        ),
        (
            "scenario",
            "drill",
            &[&unreadable],
            "unreadable-scenario.kdl:1",
        ),
    ];
    for (name, former_name, arguments, reason) in cases {
        let output = run(&[&[name], arguments].concat());
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}");
        assert!(stderr.contains(reason), "{name}: {stderr}");
        assert_eq!(
            run(&[&[former_name], arguments].concat()),
            output,
            "{former_name}"
        );
        let help = run(&[name, "--help"]);
        assert!(help.status.success(), "{name}");
        assert_eq!(run(&[former_name, "--help"]), help, "{former_name}");
    }
}

#[test]
fn invalid_scenario_is_reported_with_position_and_reason() {
    let bad = write_file(
        "bad-day.kdl",
        "day length=\"2s\"\nclass \"a\" effect=\"safe\"\ncrash worker=99 at=\"1s\"\n",
    );
    let output = run(&["scenario", &bad]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success()
            && stderr.contains("there are only 6 workers")
            && stderr.contains("bad-day.kdl:3"),
        "{stderr}"
    );
}

#[test]
fn tenants_are_shown_checked_and_explained() {
    let tree = write_file(
        "tree.ldif",
        "dn: dc=example\nobjectClass: domain\n\ndn: ou=north,dc=example\nobjectClass: organizationalUnit\n\n\
         dn: uid=mai,ou=north,dc=example\nobjectClass: person\nuid: mai\n",
    );
    let directory = Emulator::start(&["directory", "--tree", &tree]);
    let settings = |server: &str| {
        format!(
            "class \"view\" effect=\"safe\"\nsignatures {{ key \"desk\" text=\"sixteen bytes....\" }}\n\
             directory \"campus\" {{ server \"{server}\"; tls \"none\"; base \"dc=example\"; \
             mark-attribute \"contextCSN\"; time-out \"500ms\" }}\n\
             tenant \"north\" weight=3 {{ directory \"campus\" base=\"ou=north,dc=example\"; function \"north-*\" }}\n\
             amqp \"b\" {{ address \"127.0.0.1:1\"; queue \"calls\" {{ identity \"signed\" }} }}\n\
             workers {{ worker \"127.0.0.1:1\" }}\n"
        )
    };
    let config = write_file("tenants.kdl", &settings(&directory.address));
    let run_tenants = |arguments: &[&str]| {
        let output = run(&[&["tenants"], arguments, &["--config", &config]].concat());
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let (succeeded, text) = run_tenants(&["show"]);
    assert!(
        succeeded && text.contains("north") && text.contains("100.0%") && text.contains("north-*"),
        "{text}"
    );
    let (succeeded, text) = run_tenants(&["check"]);
    assert!(succeeded && text.contains("healthy"), "{text}");
    let (succeeded, text) = run_tenants(&["explain", "Mai", "--function", "north-map"]);
    assert!(
        succeeded && text.contains("mai: belongs to tenant north") && text.contains("may be run"),
        "{text}"
    );
    assert!(
        text.contains("uid=mai,ou=north,dc=example (mark "),
        "{text}"
    );
    let (succeeded, text) = run_tenants(&["explain", "mai", "--function", "south-map"]);
    assert!(
        !succeeded && text.contains("refused (other-tenant)"),
        "{text}"
    );
    let (succeeded, text) = run_tenants(&["explain", "lan"]);
    assert!(
        !succeeded && text.contains("nobody of this name") && text.contains("no-tenant"),
        "{text}"
    );
    let bad = write_file(
        "bad-tenants.kdl",
        &settings("127.0.0.1:1").replace("ou=north,dc=example", "ou=north,dc=other"),
    );
    let output = run(&["config", "check", &bad]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("not within the directory's"));
}

/// Checks all rules including tenant isolation, with faults of directory servers.
#[test]
fn scenario_with_tenants_keeps_all_rules() {
    check_all_rules("bad-day-tenants.kdl");
}

/// Checks all rules where calls outlast their signatures and front ends are killed: a call that has begun at a worker must not
/// be refused because its message is too old for a first delivery.
#[test]
fn scenario_with_calls_that_outlast_their_signatures_keeps_all_rules() {
    check_all_rules("redelivered-calls.kdl");
}

/// Guards against answers that go to other users' calls, calls without an answer, and calls that are served and never ran, where
/// users number their messages alike and front ends are killed.
#[test]
fn scenario_with_equal_message_ids_keeps_all_rules() {
    check_all_rules("equal-ids.kdl");
}

/// Checks all rules without tenants on the traffic between real processes.
#[test]
fn small_fault_scenario_keeps_all_rules() {
    check_all_rules("bad-day-small.kdl");
}

/// Runs a scenario file and checks that the gateway keeps all rules.
fn check_all_rules(scenario: &str) {
    let scenario = format!("{}/../../scenarios/{scenario}", env!("CARGO_MANIFEST_DIR"));
    let output = run(&["scenario", &scenario, "--seed", "7", "--json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|_| panic!("no JSON: {}", String::from_utf8_lossy(&output.stderr)));
    assert!(
        report["calls"].as_u64().is_some_and(|c| c > 1_000),
        "{}",
        report["calls"]
    );
    for rule in report["rules"].as_array().expect("rules") {
        assert_eq!(rule["kept"], true, "{rule}");
    }
    assert!(output.status.success());
}

#[test]
fn node_rejects_an_invalid_configuration_at_start_and_keeps_the_previous_one_on_reload() {
    let config_file =
        std::env::temp_dir().join(format!("pipithub-node-cli-{}.json", std::process::id()));
    let node = || {
        let mut command = Command::new(BINARY);
        command
            .arg("node")
            .env("LB_CONFIG", &config_file)
            .env_remove("RUST_LOG")
            .env("LB_LISTEN", "127.0.0.1:0");
        command.stderr(Stdio::piped());
        command
    };
    std::fs::write(
        &config_file,
        r#"{"name":"n1","listen":"127.0.0.1:0","seed":"xyz","settings":{}}"#,
    )
    .expect("written");
    let output = node().output().expect("runs");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).replace('\n', " ");
    assert!(
        stderr.contains("seed") && stderr.contains("invalid digit"),
        "{stderr}"
    );

    let good = r#"{"name":"n1","listen":"127.0.0.1:0","seed":"1f","coordinator":"127.0.0.1:1","settings":{"Grades":
        [{"Name":"view","Effect":"read_like","Aim":1000000000,"GiveUp":1000000000}]}}"#;
    std::fs::write(&config_file, good).expect("written");
    let mut child = node().spawn().expect("starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut log_contains = |message: &str| {
        log.by_ref()
            .map_while(Result::ok)
            .any(|line| line.contains(message))
    };
    let pid = child.id().to_string();
    let signal = |name: &str| {
        Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("signals")
            .success()
    };
    assert!(log_contains("front end up"));
    std::fs::write(&config_file, "{").expect("written");
    assert!(signal("-HUP") && log_contains("previous configuration stays in force"));
    std::fs::write(&config_file, good.replace("127.0.0.1:1", "127.0.0.1:2")).expect("written");
    assert!(signal("-HUP") && log_contains("configuration read again"));
    assert!(signal("-TERM") && log_contains("front end down"));
    assert!(child.wait().expect("ends").success());
    std::fs::remove_file(&config_file).expect("removed");
}
