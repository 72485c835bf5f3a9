//! Tests of the adapter as a child process that is connected by pipes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT_INFO: &str = r#"{"Unknown": [1], "PeersTotal": 2, "Granularity": 2000000,
 "Grades": [{"Name": "view", "Aim": 1000000000, "GiveUp": 4000000000, "Effect": "read_like", "LateWorth": 0.3}],
 "Limits": {"MostTries": 4, "RetryAfter": true, "MaxRetryAfter": 500000000},
 "FamilyInfo": {"Orders": true, "MarksCold": true, "StaysLoaded": 9000000000, "KindMemoryMb": [8000.0]},
 "Models": ["std"], "Rules": {"DrainGrace": 1000000000}, "RegistryMode": "pushed"}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipithub-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    let mut stdin = child.stdin.take().expect("standard input is not a pipe");
    // The write fails with a broken pipe if the adapter has exited because of an error in the input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child
        .wait_with_output()
        .expect("failed to wait for the adapter")
}

fn start() -> String {
    let boot_info = BOOT_INFO.replace('\n', "");
    format!(
        "sync 1000\nattach 3 9 {boot_info}\nbackends_changed 3 1 warm_copy 1\nentry 1 10.0.0.1:80 live a 0 std -\nend\n"
    )
}

const QUERY: &str = "query 3 77 - - 384 2 view - 0000007c55d20a01 1 2400000000\n";

#[test]
fn an_empty_batch_gets_an_empty_reply_and_a_clean_end_is_success() {
    let out = run("sync 1\nend\nsync 2\n\nend\n"
        .replace("\n\n", "\n")
        .as_str());
    assert!(out.status.success());
    assert_eq!(String::from_utf8_lossy(&out.stdout), "end\nend\n");
    assert!(run("").status.success());
}

#[test]
fn a_request_is_forwarded_and_its_answer_accepted() {
    let input = format!(
        "{}sync 2000\n{QUERY}end\nsync 9000000\ncompleted 3 77 0 10.0.0.1:80 S 8000000 1 9 rif:7,new:2\nend\n",
        start()
    );
    let out = run(&input);
    let text = String::from_utf8_lossy(&out.stdout).to_string();
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert!(text.contains("hand_off 3 77 10.0.0.1:80 -\n"), "{text}");
    assert_eq!(text.lines().filter(|l| *l == "end").count(), 3);
}

#[test]
fn a_request_that_nothing_can_serve_is_rejected_with_a_retry_time() {
    let removed = "backends_changed 3 2 incr 1\nentry 1 10.0.0.1:80 dead a 0 std -\n";
    let out = run(&format!("{}sync 2000\n{removed}{QUERY}end\n", start()));
    assert!(String::from_utf8_lossy(&out.stdout).contains("reject 3 77 500000000\n"));
}

#[test]
fn a_killed_front_end_can_be_attached_again() {
    let attach = start().replace("sync 1000\n", "");
    let out = run(&format!(
        "{}sync 2000\n{QUERY}killed 3\n{attach}sync 3000\nend\n",
        start()
    ));
    assert!(out.status.success());
}

#[test]
fn bad_input_names_its_line_and_fails() {
    let cases = [
        ("sink 1\n", "line 1"),
        ("sync x\nend\n", "line 1"),
        ("sync 1\nwake 3 4\nend\n", "line 2"),
        ("sync 1\n", "input ends inside a batch"),
        ("sync 1\nattach 3 9 {nonsense\nend\n", "line 2"),
        ("sync 1\nattach 3 9 [1]\nend\n", "line 2"),
        ("sync 1\nattach 3\nend\n", "line 2"),
    ];
    for (input, wanted) in cases {
        let out = run(input);
        let error = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success(), "{input}");
        assert!(
            error.contains(wanted) && !error.contains("panicked"),
            "{input}: {error}"
        );
        assert!(out.stdout.is_empty());
    }
    let batches = [
        "query 3 1 - - 4 2 nobody - 01 1 5\nend\n",
        "query 3 1 - - 4 2 view - zz 1 5\nend\n",
        "completed 3 1 0 w Q 1 1 - -\nend\n",
        "completed 3 1 0 w S 1 1 - rif\nend\n",
        "backends_changed 3 2 incr 2\nentry 1 w live a 0 std -\nend\n",
        "backends_changed 3 2 sideways 0\nend\n",
        "heard 3 1 abc\nend\n",
        "unheard 3 1\nend\n",
    ];
    for batch in batches {
        let out = run(&format!("{}sync 2000\n{batch}", start()));
        let error = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success(), "{batch}");
        assert!(
            error.contains("line ") && !error.contains("panicked"),
            "{batch}: {error}"
        );
    }
}
