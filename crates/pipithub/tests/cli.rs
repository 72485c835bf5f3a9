//! The command line as a user meets it.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY)
        .args(arguments)
        .output()
        .expect("it runs")
}

fn file(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("pipithub-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

/// An emulated server as a process, ended when dropped.
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
        let said: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        let address = said["address"].as_str().expect("an address").to_string();
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
fn settings_are_checked_and_faults_named_by_place() {
    let good = file(
        "good.kdl",
        "class \"view\" effect=\"safe\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let output = run(&["config", "check", &good]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let bad = file(
        "bad.kdl",
        "class \"view\" effect=\"safe\" aim=\"soon\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let output = run(&["config", "check", &bad]);
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        told.contains("'aim' cannot be") && told.contains("bad.kdl:1:"),
        "{told}"
    );
    let output = run(&["serve", "--config", &bad]);
    assert!(!output.status.success(), "nothing runs with such a file");
}

#[test]
fn emulators_run_with_defaults_alone_and_a_call_comes_back() {
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
    let config = file("serve.kdl", &settings);
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
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(told["answers"]["served"], 5, "{told}");
    assert!(output.status.success());
}

#[test]
fn emulators_listen_on_loopback_alone() {
    let output = run(&["emulator", "broker", "--listen", "0.0.0.0:0"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("loopback alone"));
}

/// Scripts and pages may use the former names of commands: both lead to the same code, with the same output.
#[test]
fn renamed_commands_accept_their_former_names() {
    let no_fleet = file(
        "no-fleet.kdl",
        "class \"view\" effect=\"safe\"\nworkers { worker \"127.0.0.1:1\" }\n",
    );
    let unreadable = file("unreadable-scenario.kdl", "day length=\"soon\"\n");
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
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}");
        assert!(told.contains(reason), "{name}: {told}");
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
fn a_scenario_that_cannot_be_read_names_place_and_reason() {
    let bad = file(
        "bad-day.kdl",
        "day length=\"2s\"\nclass \"a\" effect=\"safe\"\ncrash worker=99 at=\"1s\"\n",
    );
    let output = run(&["scenario", &bad]);
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success()
            && told.contains("there are only 6 workers")
            && told.contains("bad-day.kdl:3"),
        "{told}"
    );
}

#[test]
fn tenants_are_shown_checked_and_explained() {
    let tree = file(
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
    let config = file("tenants.kdl", &settings(&directory.address));
    let told = |arguments: &[&str]| {
        let output = run(&[&["tenants"], arguments, &["--config", &config]].concat());
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let (good, text) = told(&["show"]);
    assert!(
        good && text.contains("north") && text.contains("100.0%") && text.contains("north-*"),
        "{text}"
    );
    let (good, text) = told(&["check"]);
    assert!(good && text.contains("healthy"), "{text}");
    let (good, text) = told(&["explain", "Mai", "--function", "north-map"]);
    assert!(
        good && text.contains("mai: belongs to tenant north") && text.contains("may be run"),
        "{text}"
    );
    assert!(
        text.contains("uid=mai,ou=north,dc=example (mark "),
        "{text}"
    );
    let (good, text) = told(&["explain", "mai", "--function", "south-map"]);
    assert!(!good && text.contains("refused (other-tenant)"), "{text}");
    let (good, text) = told(&["explain", "lan"]);
    assert!(
        !good && text.contains("nobody of this name") && text.contains("no-tenant"),
        "{text}"
    );
    let bad = file(
        "bad-tenants.kdl",
        &settings("127.0.0.1:1").replace("ou=north,dc=example", "ou=north,dc=other"),
    );
    let output = run(&["config", "check", &bad]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("not within the directory's"));
}

/// The scenario with tenants: the five rules, and that no call crosses, with directory faults added.
#[test]
fn the_scenario_with_tenants_keeps_all_rules() {
    keeps_all_rules("bad-day-tenants.kdl");
}

/// The small fault scenario over sockets and processes: all five rules, from the traffic.
#[test]
fn the_small_fault_scenario_keeps_all_rules() {
    keeps_all_rules("bad-day-small.kdl");
}

fn keeps_all_rules(scenario: &str) {
    let scenario = format!("{}/../../scenarios/{scenario}", env!("CARGO_MANIFEST_DIR"));
    let output = run(&["scenario", &scenario, "--seed", "7", "--json"]);
    let told: serde_json::Value = serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|_| panic!("no JSON: {}", String::from_utf8_lossy(&output.stderr)));
    assert!(
        told["calls"].as_u64().is_some_and(|c| c > 1_000),
        "{}",
        told["calls"]
    );
    for rule in told["rules"].as_array().expect("rules") {
        assert_eq!(rule["kept"], true, "{rule}");
    }
    assert!(output.status.success());
}

#[test]
fn a_node_names_what_is_wrong_and_outlives_a_bad_configuration_until_it_is_told_to_stop() {
    let place = std::env::temp_dir().join(format!("pipithub-node-cli-{}.json", std::process::id()));
    let node = || {
        let mut command = Command::new(BINARY);
        command
            .arg("node")
            .env("LB_CONFIG", &place)
            .env_remove("RUST_LOG")
            .env("LB_LISTEN", "127.0.0.1:0");
        command.stderr(Stdio::piped());
        command
    };
    std::fs::write(
        &place,
        r#"{"name":"n1","listen":"127.0.0.1:0","seed":"xyz","settings":{}}"#,
    )
    .expect("written");
    let output = node().output().expect("runs");
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).replace('\n', " ");
    assert!(
        said.contains("seed") && said.contains("invalid digit"),
        "{said}"
    );

    let good = r#"{"name":"n1","listen":"127.0.0.1:0","seed":"1f","coordinator":"127.0.0.1:1","settings":{"Grades":
        [{"Name":"view","Effect":"read_like","Aim":1000000000,"GiveUp":1000000000}]}}"#;
    std::fs::write(&place, good).expect("written");
    let mut child = node().spawn().expect("starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut until = |what: &str| {
        log.by_ref()
            .map_while(Result::ok)
            .any(|line| line.contains(what))
    };
    let pid = child.id().to_string();
    let signal = |name: &str| {
        Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("signals")
            .success()
    };
    assert!(until("front end up"));
    std::fs::write(&place, "{").expect("written");
    assert!(signal("-HUP") && until("previous configuration stays in force"));
    std::fs::write(&place, good.replace("127.0.0.1:1", "127.0.0.1:2")).expect("written");
    assert!(signal("-HUP") && until("configuration read again"));
    assert!(signal("-TERM") && until("front end down"));
    assert!(child.wait().expect("ends").success());
    std::fs::remove_file(&place).expect("removed");
}
