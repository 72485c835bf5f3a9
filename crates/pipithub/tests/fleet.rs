//! Runs the front ends of a fleet as processes, and the commands that show its membership.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY)
        .args(arguments)
        .output()
        .expect("it runs")
}

/// Writes the settings of a front end, with further lines for its fleet, and returns the path of the file.
fn settings(folder: &Path, name: &str, more: &str) -> String {
    let data = folder.join(name);
    let text = format!(
        "front-end {name:?}\nclass \"view\" effect=\"safe\"\nworkers {{ worker \"127.0.0.1:1\"; }}\nfleet \"campus\" {{\n    \
         listen \"127.0.0.1:0\"\n    zone \"a\"\n    data {:?}\n{more}}}\n",
        data.display().to_string()
    );
    let file = folder.join(format!("{name}.kdl"));
    std::fs::write(&file, text).expect("written");
    file.display().to_string()
}

/// A process that is killed when dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a front end with a settings file.
fn serve(config: &str) -> Running {
    let mut command = Command::new(BINARY);
    command
        .args(["serve", "--config", config])
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    Running(command.spawn().expect("it starts"))
}

/// Polls the membership report until it is as expected. The timeout of 60 s is generous, as only a failing test reaches it.
fn wait_for_status(
    config: &str,
    is_expected: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    let begun = Instant::now();
    loop {
        let out = run(&["membership", "status", "--json", "--config", config]);
        let report: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        if is_expected(&report) {
            return report;
        }
        assert!(begun.elapsed() < Duration::from_secs(60), "{report}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

#[test]
fn members_discover_each_other_and_explain_a_detected_failure() {
    let folder = folder();
    let quick = "    probe-period \"100ms\"\n    probe-wait \"30ms\"\n";
    let one = settings(folder.path(), "front-1", quick);
    let first = serve(&one);
    let report = wait_for_status(&one, |s| s["me"]["state"] == "alone");
    let seed = report["listen"].as_str().expect("an address").to_string();
    let two = settings(
        folder.path(),
        "front-2",
        &format!("{quick}    seed {seed:?}\n"),
    );
    let second = serve(&two);
    wait_for_status(&two, |s| {
        s["me"]["state"] == "joined" && s["members"][0]["name"] == "front-1"
    });
    wait_for_status(&one, |s| {
        s["me"]["state"] == "joined" && s["members"][0]["state"] == "alive"
    });
    drop(second);
    wait_for_status(&one, |s| s["members"][0]["state"] == "down");
    let out = run(&["membership", "explain", "front-2", "--config", &one]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        text.contains("suspected") && text.contains("did not refute the suspicion"),
        "{text}"
    );
    let again = serve(&two);
    wait_for_status(&one, |s| {
        s["members"][0]["state"] == "alive" && s["members"][0]["generation"] == 2
    });
    drop((first, again));
    let out = run(&["membership", "status", "--config", &one]);
    assert!(
        !out.status.success(),
        "a front end that is not running is not a member"
    );
    assert!(String::from_utf8_lossy(&out.stdout).contains("not running now"));
}

#[test]
fn data_folder_is_locked_by_one_process_and_a_damaged_record_is_reported() {
    let folder = folder();
    let config = settings(folder.path(), "front-1", "");
    let first = serve(&config);
    wait_for_status(&config, |s| s["me"]["generation"] == 1);
    let out = run(&["serve", "--config", &config]);
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("another process runs with this folder"));
    drop(first);
    let record: PathBuf = folder.path().join("front-1/generation");
    std::fs::write(&record, "pipithub gen").expect("written");
    let out = run(&["serve", "--config", &config]);
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && text.contains("damaged") && text.contains("generation"),
        "{text}"
    );
}

#[test]
fn invalid_fleet_settings_are_reported_with_their_reasons() {
    let folder = folder();
    let faulty = [
        (
            "    seed \"127.0.0.1:7101\"\n    seed \"127.0.0.1:7101\"\n",
            "seed 127.0.0.1:7101 is given twice",
        ),
        ("    seed \"front-2:7101\"\n", "is no address"),
        ("    probe-wait \"700ms\"\n", "under half of probe-period"),
        (
            "    advertise \"0.0.0.0:7100\"\n",
            "others cannot reach 0.0.0.0:7100",
        ),
        ("    max-members 1\n", "'max-members' cannot be 1"),
        ("    sead \"127.0.0.1:7101\"\n", "did you mean 'seed'?"),
        ("    via \"127.0.0.1:1\"\n", "'via' needs 'to'"),
    ];
    for (more, reason) in faulty {
        let config = settings(folder.path(), "front-1", more);
        let out = run(&["config", "check", &config]);
        let text = String::from_utf8_lossy(&out.stderr).replace('\n', " ");
        assert!(
            !out.status.success() && text.contains(reason),
            "{more}: {text}"
        );
    }
    let good = settings(folder.path(), "front-1", "    seed \"127.0.0.1:7101\"\n");
    assert!(run(&["config", "check", &good]).status.success());
}

/// Five processes with failures, a paused member, an old disk and a link that is cut in one direction.
#[test]
fn fleet_fault_scenario_keeps_all_rules() {
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../scenarios/members-small.kdl"
    );
    let out = run(&["scenario", scenario, "--seed", "1", "--json"]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        out.status.success(),
        "{text}\n{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert!(
        report["claims"].as_u64() > Some(50) && report["runs"] == 7,
        "{text}"
    );
}
