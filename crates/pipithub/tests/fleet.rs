//! A fleet of real processes as its operators meet it.

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

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn serve(config: &str) -> Ended {
    let mut command = Command::new(BINARY);
    command
        .args(["serve", "--config", config])
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    Ended(command.spawn().expect("it starts"))
}

/// Asks until an answer is as wanted; the bound is generous, as only a failure waits for it.
fn status(config: &str, wanted: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
    let begun = Instant::now();
    loop {
        let out = run(&["membership", "status", "--json", "--config", config]);
        let said: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        if wanted(&said) {
            return said;
        }
        assert!(begun.elapsed() < Duration::from_secs(60), "{said}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

#[test]
fn two_processes_find_each_other_and_the_one_left_tells_why_it_holds_the_other_dead() {
    let folder = folder();
    let quick = "    probe-period \"100ms\"\n    probe-wait \"30ms\"\n";
    let one = settings(folder.path(), "front-1", quick);
    let first = serve(&one);
    let said = status(&one, |s| s["me"]["state"] == "alone");
    let seed = said["listen"].as_str().expect("an address").to_string();
    let two = settings(
        folder.path(),
        "front-2",
        &format!("{quick}    seed {seed:?}\n"),
    );
    let second = serve(&two);
    status(&two, |s| {
        s["me"]["state"] == "joined" && s["members"][0]["name"] == "front-1"
    });
    status(&one, |s| {
        s["me"]["state"] == "joined" && s["members"][0]["state"] == "alive"
    });
    drop(second);
    status(&one, |s| s["members"][0]["state"] == "down");
    let out = run(&["membership", "explain", "front-2", "--config", &one]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(
        text.contains("suspected") && text.contains("did not refute the suspicion"),
        "{text}"
    );
    let again = serve(&two);
    status(&one, |s| {
        s["members"][0]["state"] == "alive" && s["members"][0]["generation"] == 2
    });
    drop((first, again));
    let out = run(&["membership", "status", "--config", &one]);
    assert!(
        !out.status.success(),
        "a process that does not run takes no part"
    );
    assert!(String::from_utf8_lossy(&out.stdout).contains("not running now"));
}

#[test]
fn a_folder_serves_one_process_and_a_damaged_record_is_named() {
    let folder = folder();
    let config = settings(folder.path(), "front-1", "");
    let first = serve(&config);
    status(&config, |s| s["me"]["generation"] == 1);
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
fn faults_of_fleet_settings_are_named_with_their_lines() {
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

/// The small scenario over five processes: deaths, a frozen member, an old disk, a link cut one way. Judged from truth.
#[test]
fn a_fault_scenario_of_a_fleet_keeps_all_its_rules() {
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
    let said: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert!(
        said["claims"].as_u64() > Some(50) && said["runs"] == 7,
        "{text}"
    );
}
