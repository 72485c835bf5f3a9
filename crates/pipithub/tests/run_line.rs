//! What the platform asks of `run` in the deploy file: one process that the shell's `exec` becomes, linked
//! dynamically against the C library, that starts nothing and opens TCP and UDP sockets over IPv4 alone. Later parts
//! must not slip into it.
#![cfg(target_os = "linux")]

mod rig;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

use object::read::elf::{Dyn, FileHeader, ProgramHeader};
use object::{Endianness, elf};
use procfs::process::{FDTarget, Process};
use rig::{Running, worker};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

/// How a program is linked: its interpreter, where it has one, and the libraries it names.
fn linked(bytes: &[u8]) -> object::Result<(bool, Vec<String>)> {
    let header = elf::FileHeader64::<Endianness>::parse(bytes)?;
    let endian = header.endian()?;
    let (mut interpreter, mut needs) = (false, Vec::new());
    let sections = header.sections(endian, bytes)?;
    for segment in header.program_headers(endian, bytes)? {
        interpreter |= segment.interpreter(endian, bytes)?.is_some();
        for entry in segment.dynamic(endian, bytes)?.unwrap_or_default() {
            if entry.tag(endian) == elf::DT_NEEDED {
                let strings = sections.symbols(endian, bytes, elf::SHT_DYNSYM)?.strings();
                needs.push(String::from_utf8_lossy(entry.string(endian, strings)?).into_owned());
            }
        }
    }
    Ok((interpreter, needs))
}

/// What a running process does that the platform refuses.
fn breaches(pid: u32) -> Vec<String> {
    let process = Process::new(pid as i32).expect("it runs");
    let mut found = Vec::new();
    for task in process.tasks().expect("its threads").map_while(Result::ok) {
        found.extend(
            task.children()
                .into_iter()
                .flatten()
                .map(|child| format!("child {child}")),
        );
    }
    // Children that ended and were waited for leave their page faults in the sums.
    let stat = process.stat().expect("its figures");
    if stat.cminflt + stat.cmajflt > 0 {
        found.push("a child that has ended".to_string());
    }
    let mut allowed: BTreeSet<u64> = BTreeSet::new();
    allowed.extend(
        process
            .tcp()
            .expect("TCP over IPv4")
            .into_iter()
            .map(|s| s.inode),
    );
    allowed.extend(
        process
            .udp()
            .expect("UDP over IPv4")
            .into_iter()
            .map(|s| s.inode),
    );
    // The pair that carries word of signals within the process has no name: nobody comes to it.
    allowed.extend(
        process
            .unix()
            .expect("Unix")
            .into_iter()
            .filter(|s| s.path.is_none())
            .map(|s| s.inode),
    );
    for fd in process.fd().expect("its descriptors").map_while(Result::ok) {
        match fd.target {
            FDTarget::Socket(inode) if !allowed.contains(&inode) => {
                found.push(format!("socket {}", fd.fd));
            }
            FDTarget::AnonInode(kind) if kind.contains("uring") => {
                found.push(format!("descriptor {kind}"));
            }
            _ => {}
        }
    }
    found
}

#[test]
fn the_deploy_file_starts_one_program_by_exec() {
    let place = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy: toml::Table = std::fs::read_to_string(place)
        .expect("it is there")
        .parse()
        .expect("TOML");
    let run = deploy["run"].as_str().expect("a line");
    let words: Vec<&str> = run.split_whitespace().collect();
    assert_eq!(
        words,
        ["exec", "target/release/pipithub", "node"],
        "no shell stays and nothing goes beside it"
    );
    assert!(
        deploy["build"]
            .as_str()
            .expect("a line")
            .contains("-p pipithub ")
    );
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let mut bytes = std::fs::read(BINARY).expect("it was built");
    let (interpreter, needs) = linked(&bytes).expect("a program");
    assert!(
        interpreter && needs.iter().any(|n| n.starts_with("libc.so")),
        "{needs:?}"
    );
    // The check itself: without an interpreter, as where all is linked in, it says so.
    let header = elf::FileHeader64::<Endianness>::parse(&*bytes).expect("a header");
    let endian = header.endian().expect("its order");
    let at = header.e_phoff.get(endian) as usize;
    let size = usize::from(header.e_phentsize.get(endian));
    let segments = header.program_headers(endian, &*bytes).expect("segments");
    let which = segments
        .iter()
        .position(|s| s.p_type.get(endian) == elf::PT_INTERP)
        .expect("one names it");
    bytes[at + which * size..][..4].copy_from_slice(&0u32.to_ne_bytes());
    assert!(!linked(&bytes).expect("a program").0);
}

#[test]
fn what_the_platform_refuses_is_seen() {
    // A shell that stays beside what it started: its child is seen.
    let mut shell = Command::new("sh")
        .args(["-c", "exec 3<&0; cat <&3 & wait"])
        .stdin(Stdio::piped())
        .spawn()
        .expect("runs");
    let seen = std::iter::repeat_with(|| breaches(shell.id()))
        .take(100_000)
        .find(|b| !b.is_empty())
        .expect("in the end");
    assert!(seen[0].starts_with("child"), "{seen:?}");
    drop(shell.stdin.take());
    shell.wait().expect("ends with its child");
    // A socket over IPv6, and one that others can come to by a path.
    let path = std::env::temp_dir().join(format!("pipithub-run-{}", std::process::id()));
    let named = std::os::unix::net::UnixListener::bind(&path).expect("bound");
    assert!(
        breaches(std::process::id())
            .iter()
            .any(|b| b.starts_with("socket")),
        "a path"
    );
    drop(named);
    std::fs::remove_file(&path).expect("removed");
}

#[test]
fn a_front_end_at_work_is_one_process_with_sockets_over_ipv4_alone() {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("bound");
    let (worker_at, list_at) = (bind(), bind());
    let event = serde_json::json!({"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": [
        {"host": "w1", "dial": worker_at.local_addr().expect("bound").to_string(), "site": "a", "health": "SERVING"}]}});
    let config = serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1",
        "coordinator": list_at.local_addr().expect("bound").to_string(), "known": {"index": 1, "updates": [event]},
        "settings": {"PeersTotal": 1, "Granularity": 2_000_000, "Limits": {"MostTries": 4},
            "Grades": [{"Name": "view", "Effect": "read_like", "Aim": 30_000_000_000u64, "GiveUp": 60_000_000_000u64}]}
    });
    let place = std::env::temp_dir().join(format!("pipithub-run-line-{}.json", std::process::id()));
    std::fs::write(&place, config.to_string()).expect("written");
    // As the platform does it: the shell becomes the program.
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &format!("exec {BINARY} node")])
        .env("LB_CONFIG", &place)
        .env("RUST_LOG", "info");
    let child = command
        .env_remove("LB_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut child = Running(child);
    let pid = child.0.id();
    let mut log = BufReader::new(child.0.stderr.take().expect("piped"))
        .lines()
        .map_while(Result::ok);
    let up = log
        .by_ref()
        .find(|line| line.contains("front end up"))
        .expect("it comes up");
    std::fs::remove_file(&place).expect("removed");
    let address = up
        .split_whitespace()
        .find_map(|w| w.strip_prefix("address="))
        .expect("told");
    let address = address.trim_matches('"').to_string();
    std::thread::spawn(move || worker(worker_at));
    let (mut coordinator, _) = list_at.accept().expect("it asks for the list");
    assert!(coordinator.read(&mut [0; 512]).expect("a request") > 0);

    let mut write = TcpStream::connect(&address).expect("connects");
    let mut lines = BufReader::new(write.try_clone().expect("a second handle")).lines();
    for id in 1..=20 {
        let call = serde_json::json!({"jsonrpc": "2.0", "id": id, "method": "view", "params":
            {"call": format!("{id:016x}"), "ttl": 60_000, "row": "00000000000000aa", "body": "aGVsbG8="}});
        write
            .write_all(format!("{call}\n").as_bytes())
            .expect("sent");
        let answer = lines.next().expect("an answer").expect("whole");
        assert!(
            answer.contains(r#""result":{"body":"aGVsbG8="}"#),
            "{answer}"
        );
    }
    assert_eq!(breaches(pid), Vec::<String>::new());
    let runs = std::fs::read_link(format!("/proc/{pid}/exe")).expect("its program");
    assert_eq!(
        runs.file_name(),
        std::path::Path::new(BINARY).file_name(),
        "no shell stays before it"
    );
}
