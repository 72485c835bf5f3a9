//! Starts, stops, kills and reloads of the program as processes, each at a point that the test chooses by what it
//! observes on sockets, on the log or on a pipe.
#![cfg(target_os = "linux")]

mod rig;

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

use rig::{FrontEndProcess, Peer, Place, call, config, event, listener, tell, worker};

fn write(place: &Place, text: &str) {
    std::fs::write(&place.0, text).expect("written");
}

/// The configuration is a pipe: while the program reads it, it stands between two lines that the test can hold open.
#[test]
fn a_reload_asked_for_while_the_configuration_is_first_read_is_heard() {
    let ((_worker, at), (first, first_at), (second, second_at)) =
        (listener(), listener(), listener());
    let place = Place::new("pipe");
    assert!(
        Command::new("mkfifo")
            .arg(&place.0)
            .status()
            .expect("runs")
            .success()
    );
    let mut front_end = FrontEndProcess::spawn(&place.0, None);
    // Opens once the program has opened the other end.
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&place.0)
        .expect("a pipe");
    front_end.signal("HUP");
    pipe.write_all(config(first_at, at).to_string().as_bytes())
        .expect("it is still there");
    // The file is replaced before its first reading ends.
    let fresh = Place::new("fresh");
    write(&fresh, &config(second_at, at).to_string());
    std::fs::rename(&fresh.0, &place.0).expect("replaced");
    drop(pipe);
    front_end.up();
    let (_stream, asked) = tell(&second, &[event(2, at)]);
    assert!(asked.contains("last-event-id: 1"), "{asked}");
    drop(first);
}

#[test]
fn a_configuration_that_is_half_written_at_the_reload_is_looked_at_again() {
    let ((_worker, at), (first, first_at)) = (listener(), listener());
    let ((second, second_at), (third, third_at)) = (listener(), listener());
    let place = Place::new("half");
    write(&place, &config(first_at, at).to_string());
    let mut front_end = FrontEndProcess::spawn(&place.0, None);
    let address = front_end.up();
    let (_open, _) = tell(&first, &[]);
    let whole = config(second_at, at).to_string();
    write(&place, &whole[..whole.len() / 2]);
    front_end.signal("HUP");
    front_end.says("previous configuration stays in force");
    write(&place, &whole);
    // It looks again by itself.
    let (_open, asked) = tell(&second, &[event(2, at)]);
    assert!(asked.contains("last-event-id: 1"), "{asked}");
    // Two in a row: the last one counts, whatever the first has begun.
    write(&place, &config(first_at, at).to_string());
    front_end.signal("HUP");
    write(&place, &config(third_at, at).to_string());
    front_end.signal("HUP");
    let (_open, asked) = tell(&third, &[]);
    assert!(asked.contains("last-event-id: 2"), "{asked}");
    assert!(Peer::connect(address).is_well(1));
}

/// Every request that was written, before the stop or after it, gets its answer, and the process ends by itself.
#[test]
fn a_stop_answers_what_is_open_and_what_still_arrives_and_ends_by_itself() {
    let ((workers, at), (_list, list_at)) = (listener(), listener());
    let place = Place::new("stop");
    write(&place, &config(list_at, at).to_string());
    let mut front_end = FrontEndProcess::spawn(&place.0, None);
    let address = front_end.up();
    let (mut open, mut other) = (Peer::connect(address), Peer::connect(address));
    open.send(&call(1, "assign"));
    let mut at_worker = Peer::of(workers.accept().expect("a connection").0);
    let first = at_worker.next().expect("a call");
    assert!(other.is_well(1));
    front_end.signal("TERM");
    front_end.says("shutting down");
    assert!(!other.is_well(2));
    // On an open connection, on a new one, and on one whose client has gone by the time of its answer.
    open.send(&call(2, "assign"));
    let mut late = Peer::connect(address);
    late.send(&call(3, "assign"));
    let mut gone = Peer::connect(address);
    gone.send(&call(4, "assign"));
    // They are at the worker, all unanswered: each on a connection of its own.
    let mut held = vec![(at_worker, first)];
    while held.len() < 4 {
        let mut next = Peer::of(workers.accept().expect("a connection").0);
        let asked = next.next().expect("a call");
        held.push((next, asked));
    }
    drop(gone);
    for (at_worker, asked) in &mut held {
        at_worker.serve(asked);
    }
    let mut ids: Vec<u64> = [open.next(), open.next(), late.next()]
        .into_iter()
        .map(|answer| answer.expect("an answer"))
        .inspect(|answer| assert!(answer["result"].is_object(), "{answer}"))
        .map(|answer| answer["id"].as_u64().expect("a number"))
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3]);
    assert!(front_end.process.0.wait().expect("it ends").success());
    assert_eq!(
        (open.next(), late.next(), other.next()),
        (None, None, None),
        "nothing more, and no reset"
    );
}

/// A call is open and hangs; the process ends all the same, before it may be killed, and says so to the client.
#[test]
fn a_stop_does_not_outstay_a_worker_that_hangs() {
    let ((workers, at), (_list, list_at)) = (listener(), listener());
    let place = Place::new("hang");
    write(&place, &config(list_at, at).to_string());
    let mut front_end = FrontEndProcess::spawn(&place.0, None);
    let mut client = Peer::connect(front_end.up());
    client.send(&call(1, "assign"));
    let mut hangs = Peer::of(workers.accept().expect("a connection").0);
    hangs.next().expect("a call");
    front_end.signal("TERM");
    assert_eq!(
        client.next().expect("an answer")["error"]["code"],
        -32000,
        "it may have run"
    );
    assert_eq!(client.next(), None);
    assert!(front_end.process.0.wait().expect("it ends").success());
}

/// Killed outright, and started again while discovery is down: what the configuration knows suffices.
#[test]
fn a_front_end_that_was_killed_is_ready_again_while_discovery_is_down() {
    let (workers, at) = listener();
    // Taken and let go, so that nobody listens there.
    let list_at = listener().1;
    std::thread::spawn(move || worker(workers));
    let place = Place::new("kill");
    write(&place, &config(list_at, at).to_string());
    for round in 0..2 {
        let mut front_end = FrontEndProcess::spawn(&place.0, None);
        let mut client = Peer::connect(front_end.up());
        assert!(client.is_well(1));
        client.send(&call(2 + round, "assign"));
        assert!(client.next().expect("an answer")["result"].is_object());
        front_end.signal("KILL");
        assert!(!front_end.process.0.wait().expect("it ends").success());
    }
}

/// Idle clients take all that they can get while discovery is down; calls, workers and the list still find descriptors.
#[test]
fn idle_clients_do_not_take_the_descriptors_of_workers_and_of_the_list() {
    let (workers, at) = listener();
    let (list, list_at) = listener();
    drop(list);
    std::thread::spawn(move || worker(workers));
    let place = Place::new("full");
    write(&place, &config(list_at, at).to_string());
    let mut front_end = FrontEndProcess::spawn(&place.0, Some(64));
    let address = front_end.up();
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut client = Peer::connect(address);
        client.is_well(1);
        idle.push(client);
    }
    // And all at once, none of which says anything.
    let silent: Vec<Peer> = (0..200).map(|_| Peer::connect(address)).collect();
    let mut client = Peer::connect(address);
    for id in 1..=50 {
        client.send(&call(id, "assign"));
        assert!(
            client.next().expect("an answer")["result"].is_object(),
            "call {id}"
        );
    }
    let list = TcpListener::bind(list_at).expect("the same port");
    let (_open, asked) = tell(&list, &[event(2, at)]);
    assert!(asked.contains("last-event-id: 1"), "{asked}");
    assert!(client.is_well(99));
    drop((idle, silent));
}
