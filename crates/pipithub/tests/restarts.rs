//! Starts, shutdowns, kills and reloads of front ends that run as processes. Each test waits on a socket, a pipe or the log
//! until the front end has reached the point at which the event must happen.
#![cfg(target_os = "linux")]

mod rig;

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

use rig::{
    FrontEndProcess, Peer, TempFile, bind_listener, call_line, config, event, run_worker,
    serve_events,
};

fn write(file: &TempFile, text: &str) {
    std::fs::write(&file.0, text).expect("written");
}

/// The configuration is a pipe, so that the test can hold its first reading open.
#[test]
fn reload_signal_during_the_first_read_of_the_configuration_takes_effect() {
    let ((_worker, worker_address), (first, first_address), (second, second_address)) =
        (bind_listener(), bind_listener(), bind_listener());
    let config_file = TempFile::new("pipe");
    assert!(
        Command::new("mkfifo")
            .arg(&config_file.0)
            .status()
            .expect("runs")
            .success()
    );
    let mut front_end = FrontEndProcess::spawn(&config_file.0, None);
    // The open call returns when the program has opened the other end.
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&config_file.0)
        .expect("the pipe is opened");
    front_end.signal("HUP");
    pipe.write_all(config(first_address, worker_address).to_string().as_bytes())
        .expect("the front end still reads the pipe");
    // The file is replaced before the first read of the configuration ends.
    let fresh = TempFile::new("fresh");
    write(&fresh, &config(second_address, worker_address).to_string());
    std::fs::rename(&fresh.0, &config_file.0).expect("replaced");
    drop(pipe);
    front_end.wait_until_up();
    let (_stream, request) = serve_events(&second, &[event(2, worker_address)]);
    assert!(request.contains("last-event-id: 1"), "{request}");
    drop(first);
}

#[test]
fn half_written_configuration_is_read_again_after_a_reload() {
    let ((_worker, worker_address), (first, first_address)) = (bind_listener(), bind_listener());
    let ((second, second_address), (third, third_address)) = (bind_listener(), bind_listener());
    let config_file = TempFile::new("half");
    write(
        &config_file,
        &config(first_address, worker_address).to_string(),
    );
    let mut front_end = FrontEndProcess::spawn(&config_file.0, None);
    let address = front_end.wait_until_up();
    let (_open, _) = serve_events(&first, &[]);
    let whole = config(second_address, worker_address).to_string();
    write(&config_file, &whole[..whole.len() / 2]);
    front_end.signal("HUP");
    front_end.wait_for_log("previous configuration stays in force");
    write(&config_file, &whole);
    // The front end reads the file again without a further signal.
    let (_open, request) = serve_events(&second, &[event(2, worker_address)]);
    assert!(request.contains("last-event-id: 1"), "{request}");
    // After two reloads in a row, the configuration of the second one is in force.
    write(
        &config_file,
        &config(first_address, worker_address).to_string(),
    );
    front_end.signal("HUP");
    write(
        &config_file,
        &config(third_address, worker_address).to_string(),
    );
    front_end.signal("HUP");
    let (_open, request) = serve_events(&third, &[]);
    assert!(request.contains("last-event-id: 2"), "{request}");
    assert!(Peer::connect(address).is_healthy(1));
}

/// Every request is answered, whether it was sent before or after SIGTERM, and the process ends.
#[test]
fn graceful_shutdown_answers_pending_and_newly_arriving_requests() {
    let ((workers, worker_address), (_list, coordinator_address)) =
        (bind_listener(), bind_listener());
    let config_file = TempFile::new("stop");
    write(
        &config_file,
        &config(coordinator_address, worker_address).to_string(),
    );
    let mut front_end = FrontEndProcess::spawn(&config_file.0, None);
    let address = front_end.wait_until_up();
    let (mut open, mut other) = (Peer::connect(address), Peer::connect(address));
    open.send(&call_line(1, "assign"));
    let mut worker_peer = Peer::new(workers.accept().expect("a connection").0);
    let first = worker_peer.receive().expect("a call");
    assert!(other.is_healthy(1));
    front_end.signal("TERM");
    front_end.wait_for_log("shutting down");
    assert!(!other.is_healthy(2));
    // Calls after SIGTERM: on an open connection, on a new one, and on one whose client closes it before the answer.
    open.send(&call_line(2, "assign"));
    let mut late = Peer::connect(address);
    late.send(&call_line(3, "assign"));
    let mut gone = Peer::connect(address);
    gone.send(&call_line(4, "assign"));
    // All calls reach the worker, each on its own connection, and are pending.
    let mut held = vec![(worker_peer, first)];
    while held.len() < 4 {
        let mut next = Peer::new(workers.accept().expect("a connection").0);
        let asked = next.receive().expect("a call");
        held.push((next, asked));
    }
    drop(gone);
    for (worker_peer, asked) in &mut held {
        worker_peer.serve(asked);
    }
    let mut ids: Vec<u64> = [open.receive(), open.receive(), late.receive()]
        .into_iter()
        .map(|answer| answer.expect("an answer"))
        .inspect(|answer| assert!(answer["result"].is_object(), "{answer}"))
        .map(|answer| answer["id"].as_u64().expect("a number"))
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3]);
    assert!(
        front_end
            .process
            .0
            .wait()
            .expect("the process ends")
            .success()
    );
    assert_eq!(
        (open.receive(), late.receive(), other.receive()),
        (None, None, None),
        "the connections end without further answers and without a reset"
    );
}

/// The pending call is answered as failed, and the process ends by itself, before the platform would kill it.
#[test]
fn graceful_shutdown_ends_although_a_worker_hangs() {
    let ((workers, worker_address), (_list, coordinator_address)) =
        (bind_listener(), bind_listener());
    let config_file = TempFile::new("hang");
    write(
        &config_file,
        &config(coordinator_address, worker_address).to_string(),
    );
    let mut front_end = FrontEndProcess::spawn(&config_file.0, None);
    let mut client = Peer::connect(front_end.wait_until_up());
    client.send(&call_line(1, "assign"));
    let mut hangs = Peer::new(workers.accept().expect("a connection").0);
    hangs.receive().expect("a call");
    front_end.signal("TERM");
    assert_eq!(
        client.receive().expect("an answer")["error"]["code"],
        -32000,
        "it may have run"
    );
    assert_eq!(client.receive(), None);
    assert!(
        front_end
            .process
            .0
            .wait()
            .expect("the process ends")
            .success()
    );
}

/// The front end serves without the coordinator, from the workers that its configuration lists.
#[test]
fn killed_front_end_serves_after_a_restart_without_discovery() {
    let (workers, worker_address) = bind_listener();
    // The listener is dropped at once, so that nothing listens on the address of the coordinator.
    let coordinator_address = bind_listener().1;
    std::thread::spawn(move || run_worker(workers));
    let config_file = TempFile::new("kill");
    write(
        &config_file,
        &config(coordinator_address, worker_address).to_string(),
    );
    for round in 0..2 {
        let mut front_end = FrontEndProcess::spawn(&config_file.0, None);
        let mut client = Peer::connect(front_end.wait_until_up());
        assert!(client.is_healthy(1));
        client.send(&call_line(2 + round, "assign"));
        assert!(client.receive().expect("an answer")["result"].is_object());
        front_end.signal("KILL");
        assert!(
            !front_end
                .process
                .0
                .wait()
                .expect("the process ends")
                .success()
        );
    }
}

/// Idle clients open as many connections as they can while the coordinator is unreachable. File descriptors still remain for
/// calls, for connections to workers and for the endpoint list.
#[test]
fn idle_clients_leave_descriptors_for_workers_and_the_endpoint_list() {
    let (workers, worker_address) = bind_listener();
    let (list, coordinator_address) = bind_listener();
    drop(list);
    std::thread::spawn(move || run_worker(workers));
    let config_file = TempFile::new("full");
    write(
        &config_file,
        &config(coordinator_address, worker_address).to_string(),
    );
    let mut front_end = FrontEndProcess::spawn(&config_file.0, Some(64));
    let address = front_end.wait_until_up();
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut client = Peer::connect(address);
        client.is_healthy(1);
        idle.push(client);
    }
    // Further clients connect at the same time and send nothing.
    let silent: Vec<Peer> = (0..200).map(|_| Peer::connect(address)).collect();
    let mut client = Peer::connect(address);
    for id in 1..=50 {
        client.send(&call_line(id, "assign"));
        assert!(
            client.receive().expect("an answer")["result"].is_object(),
            "call {id}"
        );
    }
    let list = TcpListener::bind(coordinator_address).expect("the same port");
    let (_open, request) = serve_events(&list, &[event(2, worker_address)]);
    assert!(request.contains("last-event-id: 1"), "{request}");
    assert!(client.is_healthy(99));
    drop((idle, silent));
}
