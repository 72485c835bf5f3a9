//! Calls that stand before a worker that does not read, on real sockets, see `socket_harness`.
#![cfg(target_os = "linux")]

mod socket_harness;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;
use socket_harness::{Peer, call, config, event, held_at_port, listener, served, start, within};
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A worker that has stopped reading, and clients whose calls stand before it: more than the system buffers.
struct Blocked {
    at: SocketAddr,
    at_worker: Peer,
    worker: TcpListener,
    watcher: Peer,
    clients: Vec<Peer>,
    body: String,
    _list: TcpListener,
}

fn class_call(id: u64, class: u64, body: &str) -> String {
    call(id, &format!("c{class}"), body).replace(":60000", ":3000000")
}

async fn blocked_worker(effect: &str) -> Blocked {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("set");
    socket
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("an address")
                .into(),
        )
        .expect("bound");
    socket.listen(16).expect("listens");
    socket.set_nonblocking(true).expect("set");
    let worker = TcpListener::from_std(socket.into()).expect("listens");
    let at = worker.local_addr().expect("bound");
    let (list, list_at) = listener().await;
    // Workers that drain have their part of the connections, so that one is left for the one that serves.
    let names: Vec<String> = (0..200).map(|n| format!("d{n}")).collect();
    let mut hosts: Vec<_> = names.iter().map(|n| (n.as_str(), at, "DRAINING")).collect();
    hosts.push(("w1", at, "SERVING"));
    let mut config = config(list_at, &[event(1, true, &hosts)]);
    // So much time, and so many classes, that the module takes them all: they are more than the system buffers.
    let class = |n: u64| {
        json!({"Name": format!("c{n}"), "Effect": effect, "Aim": 3_000_000_000_000u64,
            "GiveUp": 3_000_000_000_000u64, "LateWorth": 0.5})
    };
    config["settings"]["Grades"] = (0..9).map(class).collect();
    let node = start(&config).await;
    // Some are served first, so that the module knows the function to stand there and to be quick.
    let mut watcher = Peer::connect(node).await;
    watcher.send(&class_call(1000, 8, "")).await;
    let mut at_worker = Peer::accept(&worker).await;
    for id in 1001..1200 {
        at_worker.serve_next().await;
        watcher.next().await.expect("an answer");
        watcher.send(&class_call(id, 8, "")).await;
    }
    at_worker.serve_next().await;
    watcher.next().await.expect("an answer");
    let body = "A".repeat(21_844);
    let mut clients = Vec::new();
    for n in 0..8u64 {
        let mut client = Peer::connect(node).await;
        for id in 0..32 {
            client.send(&class_call(100 * (n + 1) + id, n, &body)).await;
        }
        client.is_well(99).await;
        clients.push(client);
    }
    watcher.is_well(1).await;
    Blocked {
        at,
        at_worker,
        worker,
        watcher,
        clients,
        body,
        _list: list,
    }
}

/// A worker stops reading while its calls' clients leave; later it reads again. What lay in the front end's own buffer
/// must not begin then.
#[tokio::test]
async fn what_stood_behind_a_worker_that_did_not_read_does_not_begin_once_its_clients_have_gone() {
    within(async {
        let Blocked {
            mut at_worker,
            mut watcher,
            clients,
            body,
            ..
        } = blocked_worker("read_like").await;
        drop(clients);
        watcher.is_well(2).await;
        watcher.is_well(3).await;
        let ports = at_worker
            .write
            .local_addr()
            .and_then(|at| Ok((at.port(), at_worker.write.peer_addr()?.port())));
        let (port, peer) = ports.expect("connected");
        let held = socket_harness::held_by_the_system(port, peer);
        // It reads again, to the connection's end: the line of which the system held a part never becomes whole.
        let (mut began, mut half) = (0, false);
        while let Some(line) = at_worker.lines.next_line().await.expect("no reset") {
            assert!(!half, "something follows half a line");
            match serde_json::from_str::<serde_json::Value>(&line) {
                Ok(asked) if asked["cmd"] == "DO" => began += line.len(),
                Ok(_) => {}
                Err(_) => half = true,
            }
        }
        // What began is what the system held whole when the clients had gone.
        assert!(held < 200 * body.len(), "not all of it went out: {held}");
        assert!(
            began <= held,
            "{began} bytes of calls began, {held} were out of reach"
        );
    })
    .await;
}

/// The same, and room has come just before one of them leaves, of which the front end has not heard yet: what it takes back
/// then must not have left meanwhile, or a call that runs would be taken for one that never did.
#[tokio::test]
async fn what_is_taken_back_as_a_worker_begins_to_read_again_has_not_left() {
    within(async {
        let Blocked {
            at,
            at_worker,
            worker,
            mut watcher,
            mut clients,
            body,
            _list,
        } = blocked_worker("non_idempotent").await;
        // The client whose call has left in part: its later calls can be taken back.
        let line = pipithub_platform::worker::run_line(
            &"0".repeat(16),
            "c0",
            &"0".repeat(16),
            2_999_000_000_000,
            None,
            &[],
        );
        let line = line.len() + body.len();
        let partial = held_at_port(at.port()) / line / 32;
        drop(clients.remove(partial));
        // Room, of which the front end hears together with the close and after it.
        let mut read = Vec::new();
        let stream = at_worker.write.as_ref();
        let mut piece = vec![0; 1 << 16];
        while let Ok(n) = stream.try_read(&mut piece) {
            read.extend_from_slice(&piece[..n]);
            if n == 0 || read.len() > 80 * line {
                break;
            }
        }
        assert!(
            read.len() > 40 * line,
            "there is room for some more: {}",
            read.len()
        );
        watcher.is_well(5).await;
        // The worker serves what it reads, on this connection and on those that follow.
        let whole = read
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |at| at + 1);
        let rest = String::from_utf8(read.split_off(whole)).expect("text");
        let began = Rc::new(RefCell::new(Vec::new()));
        let read = String::from_utf8(read).expect("text");
        let serves = serve_all(at_worker, worker, read, rest, began.clone());
        let answers = async {
            let (mut ran, mut refused) = (BTreeSet::new(), BTreeSet::new());
            // A third end, a failure, promises nothing.
            for mut client in clients {
                for _ in 0..32 {
                    let answer = client.next().await.expect("an answer");
                    let name = format!("{:016x}", answer["id"].as_u64().expect("a number"));
                    if answer["result"]["body"].is_string() {
                        ran.insert(name);
                    } else if answer["error"]["code"] == -32050 {
                        refused.insert(name);
                    }
                }
            }
            (ran, refused)
        };
        let (ran, refused) = tokio::select! {
            answers = answers => answers,
            () = serves => unreachable!("it serves for ever"),
        };
        // Whoever was taken for never sent was refused, or went out again: these must not run twice.
        let began = began.borrow();
        let once: BTreeSet<String> = began.iter().cloned().collect();
        assert_eq!(
            once.len(),
            began.len(),
            "begun, and taken for never sent: {began:?}"
        );
        let unseen: Vec<_> = ran.difference(&once).collect();
        assert!(unseen.is_empty(), "served by nobody: {unseen:?}");
        let both: Vec<_> = refused.intersection(&once).collect();
        assert!(both.is_empty(), "refused, and begun: {both:?}");
        let gone = format!("{:016x}", 100 * (partial as u64 + 1) + 31);
        assert!(!once.contains(&gone), "nobody waits for it");
    })
    .await;
}

/// Serves whatever comes on a connection of which these lines and this piece of one were read before, and on all that
/// follow it; notes the names of what began.
async fn serve_all(
    first: Peer,
    listener: TcpListener,
    lines: String,
    mut piece: String,
    began: Rc<RefCell<Vec<String>>>,
) {
    let (mut peer, mut lines): (Peer, Vec<String>) =
        (first, lines.lines().map(str::to_string).collect());
    loop {
        loop {
            for line in lines.drain(..) {
                // A line that cannot be read is half of one, at its connection's end.
                let Ok(asked) = serde_json::from_str::<serde_json::Value>(&line) else {
                    continue;
                };
                if asked["cmd"] == "DO" {
                    began
                        .borrow_mut()
                        .push(asked["ref"].as_str().expect("a name").to_string());
                    let _ = peer.write.write_all(served(&asked).as_bytes()).await;
                }
            }
            // The front end ends a connection on which it waits for nothing; an answer that crosses that makes it a reset.
            let Ok(Some(line)) = peer.lines.next_line().await else {
                break;
            };
            lines.push(std::mem::take(&mut piece) + &line);
        }
        peer = Peer::of(listener.accept().await.expect("a new connection").0);
    }
}
