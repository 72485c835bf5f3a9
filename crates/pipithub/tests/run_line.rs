//! The platform's requirements for `run` in the deploy file: the shell is replaced through `exec` by a single process, which is
//! linked dynamically against the C library, starts no other process, and opens only TCP and UDP sockets over IPv4.
#![cfg(target_os = "linux")]

mod rig;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};

use object::read::elf::{Dyn, FileHeader, ProgramHeader};
use object::{Endianness, elf};
use procfs::process::{FDTarget, Process};
use rig::{ProcessGuard, run_worker};

const BINARY: &str = env!("CARGO_BIN_EXE_pipithub");

/// How a program is linked: whether it names an interpreter (the dynamic linker), and the libraries that it needs.
fn linkage(bytes: &[u8]) -> object::Result<(bool, Vec<String>)> {
    let header = elf::FileHeader64::<Endianness>::parse(bytes)?;
    let endian = header.endian()?;
    let (mut has_interpreter, mut needed_libraries) = (false, Vec::new());
    let sections = header.sections(endian, bytes)?;
    for segment in header.program_headers(endian, bytes)? {
        has_interpreter |= segment.interpreter(endian, bytes)?.is_some();
        for entry in segment.dynamic(endian, bytes)?.unwrap_or_default() {
            if entry.tag(endian) == elf::DT_NEEDED {
                let strings = sections.symbols(endian, bytes, elf::SHT_DYNSYM)?.strings();
                needed_libraries
                    .push(String::from_utf8_lossy(entry.string(endian, strings)?).into_owned());
            }
        }
    }
    Ok((has_interpreter, needed_libraries))
}

/// What a running process does that the platform does not allow.
fn violations(pid: u32) -> Vec<String> {
    let process = Process::new(pid as i32).expect("the process runs");
    let mut found = Vec::new();
    for task in process
        .tasks()
        .expect("the threads of the process")
        .map_while(Result::ok)
    {
        found.extend(
            task.children()
                .into_iter()
                .flatten()
                .map(|child| format!("child {child}")),
        );
    }
    // The page faults of children that have ended and been waited for are added to these counters.
    let stat = process.stat().expect("the statistics of the process");
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
    // The socket pair that reports signals within the process has no path, so no other process can connect to it.
    allowed.extend(
        process
            .unix()
            .expect("Unix")
            .into_iter()
            .filter(|s| s.path.is_none())
            .map(|s| s.inode),
    );
    for fd in process
        .fd()
        .expect("the file descriptors of the process")
        .map_while(Result::ok)
    {
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
fn deploy_file_starts_a_single_program_by_exec() {
    let deploy_file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let deploy: toml::Table = std::fs::read_to_string(deploy_file)
        .expect("the deploy file can be read")
        .parse()
        .expect("TOML");
    let run = deploy["run"].as_str().expect("a line");
    let words: Vec<&str> = run.split_whitespace().collect();
    assert_eq!(
        words,
        ["exec", "target/release/pipithub", "node"],
        "no shell remains and no other program is started"
    );
    assert!(
        deploy["build"]
            .as_str()
            .expect("a line")
            .contains("-p pipithub ")
    );
}

#[test]
fn program_is_linked_dynamically_against_the_c_library() {
    let mut bytes = std::fs::read(BINARY).expect("the program was built");
    let (has_interpreter, needed_libraries) = linkage(&bytes).expect("a program");
    assert!(
        has_interpreter && needed_libraries.iter().any(|n| n.starts_with("libc.so")),
        "{needed_libraries:?}"
    );
    // Tests the check itself: a program without an interpreter, such as a statically linked one, is recognized.
    let header = elf::FileHeader64::<Endianness>::parse(&*bytes).expect("a header");
    let endian = header.endian().expect("its byte order");
    let at = header.e_phoff.get(endian) as usize;
    let size = usize::from(header.e_phentsize.get(endian));
    let segments = header.program_headers(endian, &*bytes).expect("segments");
    let which = segments
        .iter()
        .position(|s| s.p_type.get(endian) == elf::PT_INTERP)
        .expect("a segment names the interpreter");
    bytes[at + which * size..][..4].copy_from_slice(&0u32.to_ne_bytes());
    assert!(!linkage(&bytes).expect("a program").0);
}

#[test]
fn violations_of_platform_rules_are_detected() {
    // A shell that keeps running beside its child.
    let mut shell = Command::new("sh")
        .args(["-c", "exec 3<&0; cat <&3 & wait"])
        .stdin(Stdio::piped())
        .spawn()
        .expect("runs");
    let seen = std::iter::repeat_with(|| violations(shell.id()))
        .take(100_000)
        .find(|b| !b.is_empty())
        .expect("the child is found in the end");
    assert!(seen[0].starts_with("child"), "{seen:?}");
    drop(shell.stdin.take());
    shell.wait().expect("ends with its child");
    // A Unix socket that others can connect to by its path.
    let path = std::env::temp_dir().join(format!("pipithub-run-{}", std::process::id()));
    let named = std::os::unix::net::UnixListener::bind(&path).expect("bound");
    assert!(
        violations(std::process::id())
            .iter()
            .any(|b| b.starts_with("socket")),
        "a socket with a path is found"
    );
    drop(named);
    std::fs::remove_file(&path).expect("removed");
}

/// The configuration of a front end that knows one worker.
fn configuration(worker: SocketAddr, coordinator: SocketAddr) -> serde_json::Value {
    let event = serde_json::json!({"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": [
        {"host": "w1", "dial": worker.to_string(), "site": "a", "health": "SERVING"}]}});
    serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1",
        "coordinator": coordinator.to_string(), "known": {"index": 1, "updates": [event]},
        "settings": {"PeersTotal": 1, "Granularity": 2_000_000, "Limits": {"MostTries": 4},
            // No coordinator confirms the list: it is relied on for as long as the test can last.
            "Rules": {"DrainGrace": 3_600_000_000_000u64},
            "Grades": [{"Name": "view", "Effect": "read_like", "Aim": 30_000_000_000u64, "GiveUp": 60_000_000_000u64}]}
    })
}

/// Starts a front end as the platform does, by a shell that becomes the program through `exec`; returns it with its address.
fn start_by_shell(config: &Path) -> (ProcessGuard, String) {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &format!("exec {BINARY} node")])
        .env("LB_CONFIG", config)
        .env("RUST_LOG", "info");
    let child = command
        .env_remove("LB_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut child = ProcessGuard(child);
    let up = BufReader::new(child.0.stderr.as_mut().expect("piped"))
        .lines()
        .map_while(Result::ok)
        .find(|line| line.contains("front end up"))
        .expect("the front end comes up");
    let address = up
        .split_whitespace()
        .find_map(|word| word.strip_prefix("address="))
        .expect("the log names the address");
    (child, address.trim_matches('"').to_string())
}

/// Sends calls one after the other and checks that each is served; returns the open connection.
fn make_calls(address: &str, count: u64) -> TcpStream {
    let mut write = TcpStream::connect(address).expect("connects");
    let mut lines = BufReader::new(write.try_clone().expect("a second handle")).lines();
    for id in 1..=count {
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
    write
}

#[test]
fn serving_front_end_is_a_single_process_with_ipv4_sockets_only() {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("bound");
    let (worker_listener, list_listener) = (bind(), bind());
    let address_of = |listener: &TcpListener| listener.local_addr().expect("bound");
    let config = configuration(address_of(&worker_listener), address_of(&list_listener));
    let file = std::env::temp_dir().join(format!("pipithub-run-line-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).expect("written");
    let (child, address) = start_by_shell(&file);
    std::fs::remove_file(&file).expect("removed");
    std::thread::spawn(move || run_worker(worker_listener));
    let (mut coordinator, _) = list_listener
        .accept()
        .expect("the front end requests the list");
    assert!(coordinator.read(&mut [0; 512]).expect("a request") > 0);

    // The connection stays open while the process is examined.
    let _connection = make_calls(&address, 20);
    let pid = child.0.id();
    assert_eq!(violations(pid), Vec::<String>::new());
    let runs = std::fs::read_link(format!("/proc/{pid}/exe")).expect("its program");
    assert_eq!(
        runs.file_name(),
        Path::new(BINARY).file_name(),
        "the shell has been replaced by the program"
    );
}
