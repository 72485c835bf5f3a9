//! What may come between any two lines: a close, an end of file, a reset, an answer. Each crossing is forced on real
//! sockets, see `socket_harness`.

mod socket_harness;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use socket_harness::{Peer, call, config, event, listener, served, start};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

async fn within<T>(test: impl Future<Output = T>) -> T {
    LocalSet::new()
        .run_until(tokio::time::timeout(Duration::from_secs(60), test))
        .await
        .expect("it ends")
}

/// A front end with one worker, whose list says no more.
async fn one_worker() -> (TcpListener, TcpListener, SocketAddr) {
    let ((worker, at), (list, list_at)) = (listener().await, listener().await);
    let node = start(&config(
        list_at,
        &[event(1, true, &[("w1", at, "SERVING")])],
    ))
    .await;
    (worker, list, node)
}

#[tokio::test]
async fn a_call_whose_client_has_closed_right_behind_it_is_not_begun() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut gone = Peer::connect(node).await;
        let mut stays = Peer::connect(node).await;
        assert!(gone.is_well(1).await && stays.is_well(1).await);
        // A connection to the worker stands ready: nothing holds the call back.
        stays.send(&call(6, "assign", "")).await;
        let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = at_worker.next().await.expect("a call");
        at_worker.send(&served(&asked)).await;
        stays.next().await.expect("an answer");
        // Both lie in the system before the front end reads any of it.
        gone.say(&call(7, "assign", ""));
        drop(gone);
        stays.is_well(2).await;
        stays.send(&call(8, "assign", "")).await;
        assert_eq!(
            at_worker.next().await.expect("a call")["ref"],
            "0000000000000008",
            "the next one"
        );
    })
    .await;
}

/// The worker closes a connection that has been idle, and a call comes in the same moment.
#[tokio::test]
async fn a_call_is_not_written_to_a_worker_that_is_known_to_have_closed() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut client = Peer::connect(node).await;
        client.send(&call(7, "assign", "")).await;
        let mut idle = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = idle.next().await.expect("a call");
        idle.send(&served(&asked)).await;
        assert!(client.next().await.expect("an answer")["result"].is_object());
        // The call first, so that it is handled first; the end of file is known by then, though nobody has read it.
        client.say(&call(8, "assign", ""));
        drop(idle);
        let mut second = Peer::of(worker.accept().await.expect("a new connection").0);
        let asked = second.next().await.expect("a call");
        assert_eq!(asked["ref"], "0000000000000008");
        second.send(&served(&asked)).await;
        assert!(
            client.next().await.expect("an answer")["result"].is_object(),
            "it must not run twice, and did not"
        );
    })
    .await;
}

/// A close with input unread is a reset, which takes along what its client has not read yet.
#[tokio::test]
async fn a_client_that_is_given_up_reads_its_answers_and_a_clean_end() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut client = Peer::connect(node).await;
        client.send(&call(7, "assign", "d29ybGQ=")).await;
        let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = at_worker.next().await.expect("a call");
        client.send("noise\n").await;
        assert!(
            client.next().await.expect("an answer")["error"].is_object(),
            "it is given up"
        );
        // The worker's answer ends it; more input stands unread behind.
        at_worker.say(&served(&asked));
        client.say(&"more noise\n".repeat(1000));
        assert_eq!(
            client.next().await.expect("an answer")["result"]["body"],
            "d29ybGQ="
        );
        assert_eq!(client.next().await, None, "and an end without a reset");
    })
    .await;
}

#[tokio::test]
async fn a_reset_with_half_an_answer_read_is_no_answer_and_nothing_is_run_again() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut client = Peer::connect(node).await;
        client.send(&call(7, "assign", "d29ybGQ=")).await;
        let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = at_worker.next().await.expect("a call");
        let answer = served(&asked);
        at_worker.say(&answer[..answer.len() - 9]);
        let stream = at_worker
            .lines
            .into_inner()
            .into_inner()
            .reunite(at_worker.write)
            .expect("both halves");
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("set");
        drop(stream);
        let answer = client.next().await.expect("an answer");
        assert_eq!(answer["error"]["code"], -32000, "it may have run: {answer}");
        // The next one runs, on a new connection.
        client.send(&call(8, "view", "")).await;
        let mut second = Peer::of(worker.accept().await.expect("a new connection").0);
        assert_eq!(
            second.next().await.expect("a call")["ref"],
            "0000000000000008"
        );
    })
    .await;
}

/// A second answer comes late, when the name is in use again.
#[tokio::test]
async fn a_late_second_answer_is_not_taken_for_that_of_a_later_call_of_its_name() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut client = Peer::connect(node).await;
        client.send(&call(7, "view", "Zmlyc3Q=")).await;
        let mut first = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = first.next().await.expect("a call");
        first.send(&served(&asked)).await;
        client.next().await.expect("an answer");
        client.send(&call(7, "view", "c2Vjb25k")).await;
        let mut second = Peer::of(worker.accept().await.expect("a connection of its own").0);
        let again = second.next().await.expect("a call");
        first.say(&served(&asked));
        second.say(&served(&again));
        assert_eq!(
            client.next().await.expect("an answer")["result"]["body"],
            "c2Vjb25k"
        );
    })
    .await;
}

/// What the system holds of the connections with this port: unacknowledged and unread bytes, from its tables.
fn held_by_the_system(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table");
    let of = |line: &str| -> Option<usize> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port_of = |field: &str| u16::from_str_radix(field.split(':').nth(1)?, 16).ok();
        let ports = (port_of(fields.get(1)?)?, port_of(fields.get(2)?)?);
        let (tx, rx) = fields.get(4)?.split_once(':')?;
        let bytes = |hex: &str| usize::from_str_radix(hex, 16).ok();
        // Established alone: a listener's figures mean something else.
        let ours = fields.get(3) == Some(&"01") && (ports.0 == port || ports.1 == port);
        Some(bytes(tx)? + bytes(rx)?).filter(|_| ours)
    };
    table.lines().filter_map(of).sum()
}

/// A worker that has stopped reading, and clients whose calls stand before it: more than the system buffers.
#[cfg(target_os = "linux")]
struct Blocked {
    at: SocketAddr,
    at_worker: Peer,
    worker: TcpListener,
    watcher: Peer,
    clients: Vec<Peer>,
    body: String,
    _list: TcpListener,
}

#[cfg(target_os = "linux")]
fn class_call(id: u64, class: u64, body: &str) -> String {
    call(id, &format!("c{class}"), body).replace(":60000", ":3000000")
}

#[cfg(target_os = "linux")]
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
    let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
    for id in 1001..1200 {
        let asked = at_worker.next().await.expect("a call");
        at_worker.send(&served(&asked)).await;
        watcher.next().await.expect("an answer");
        watcher.send(&class_call(id, 8, "")).await;
    }
    let asked = at_worker.next().await.expect("a call");
    at_worker.send(&served(&asked)).await;
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
#[cfg(target_os = "linux")]
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
#[cfg(target_os = "linux")]
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
        let partial = held_by_the_system(at.port()) / line / 32;
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
#[cfg(target_os = "linux")]
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

/// A coordinator that fails in all its ways in turn; the list is had in the end, and asked for from where it stood.
#[tokio::test]
async fn the_list_is_had_from_a_coordinator_that_falls_silent_in_every_way() {
    within(async {
        let ((worker, at), (list, list_at)) = (listener().await, listener().await);
        let node = start(&config(list_at, &[])).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        let told = |n: u64, whole| {
            format!(
                "id: {n}\ndata: {}\n\n",
                event(n, whole, &[("w1", at, "SERVING")])
            )
        };
        // What each connection says before it falls silent while it stays open, and what the next one is asked from.
        let scripts = [
            (String::new(), "last-event-id: 0"),
            (head[..20].to_string(), "last-event-id: 0"),
            (format!("{head}: ping\n\n"), "last-event-id: 0"),
            (
                format!("{head}{}", &told(1, true)[..30]),
                "last-event-id: 0",
            ),
            // A gap: asked about once, at once.
            (
                format!("{head}{}{}", told(1, true), told(3, false)),
                "last-event-id: 0",
            ),
            (
                format!(
                    "{head}{}{}{}",
                    told(1, true),
                    told(2, false),
                    told(3, false)
                ),
                "last-event-id: 1",
            ),
        ];
        let mut open: Vec<TcpStream> = Vec::new();
        for (says, asked_from) in scripts {
            let (mut stream, _) = list.accept().await.expect("it asks");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.expect("a request"));
            }
            let request = String::from_utf8_lossy(&request).to_lowercase();
            assert!(request.contains(asked_from), "{request}");
            assert_eq!(stream.try_write(says.as_bytes()).unwrap_or(0), says.len());
            open.push(stream);
        }
        let mut client = Peer::connect(node).await;
        let mut id = 1;
        while !client.is_well(id).await {
            id += 1;
        }
        client.send(&call(id + 1, "view", "")).await;
        let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = at_worker.next().await.expect("a call");
        at_worker.send(&served(&asked)).await;
        assert!(client.next().await.expect("an answer")["result"].is_object());
    })
    .await;
}

/// The worker's machine answers late: its connection comes up after the wait for it was given up.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn a_connection_that_comes_up_after_its_wait_was_given_up_carries_nothing() {
    within(async {
        // One place in its queue, which is taken: further connections come up only once somebody accepts.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(
                &"127.0.0.1:0"
                    .parse::<SocketAddr>()
                    .expect("an address")
                    .into(),
            )
            .expect("bound");
        socket.listen(0).expect("listens");
        socket.set_nonblocking(true).expect("set");
        let worker = TcpListener::from_std(socket.into()).expect("listens");
        let at = worker.local_addr().expect("bound");
        let filler = TcpStream::connect(at).await.expect("the one place");
        let (_list, list_at) = listener().await;
        let mut config = config(list_at, &[event(1, true, &[("w1", at, "SERVING")])]);
        config["settings"]["Limits"]["ConnectTimeout"] = 250_000_000u64.into();
        let node = start(&config).await;
        let mut client = Peer::connect(node).await;
        client.send(&call(7, "assign", "")).await;
        let answer = client.next().await.expect("an answer");
        assert_eq!(
            answer["error"]["code"], -32050,
            "it was never sent: {answer}"
        );
        // Now there is room. What comes up late was given up: whoever gets through bears no call of that name.
        drop(filler);
        drop(worker.accept().await.expect("the filler"));
        let seen = Rc::new(Cell::new(false));
        let again = async {
            let mut id = 8;
            loop {
                client.send(&call(id, "assign", "")).await;
                if client.next().await.expect("an answer")["result"].is_object() {
                    return;
                }
                id += 1;
            }
        };
        let serves = async {
            loop {
                let mut peer = Peer::of(worker.accept().await.expect("a connection").0);
                let seen = seen.clone();
                tokio::task::spawn_local(async move {
                    while let Ok(Some(line)) = peer.lines.next_line().await {
                        let asked: serde_json::Value = serde_json::from_str(&line).expect("JSON");
                        seen.set(seen.get() || asked["ref"] == "0000000000000007");
                        peer.send(&served(&asked)).await;
                    }
                });
            }
        };
        tokio::select! {
            () = again => {}
            () = serves => {}
        }
        assert!(!seen.get(), "it was answered long ago");
    })
    .await;
}

/// Clients that do not read: no single one has too much waiting, all together have.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn answers_that_many_clients_do_not_read_do_not_fill_the_memory() {
    within(async {
        let ((worker, at), (_list, list_at)) = (listener().await, listener().await);
        let mut config = config(list_at, &[event(1, true, &[("w1", at, "SERVING")])]);
        config["limits"]["memory_mb"] = 16.into();
        let node = start(&config).await;
        let mut watcher = Peer::connect(node).await;
        watcher.send(&call(1, "view", "")).await;
        let mut at_worker = Peer::of(worker.accept().await.expect("a connection").0);
        let asked = at_worker.next().await.expect("a call");
        at_worker.send(&served(&asked)).await;
        watcher.next().await.expect("an answer");
        let (mut clients, mut question) = (Vec::new(), 1);
        let body = "A".repeat(21_844);
        for n in 1..=4u64 {
            let client = Peer::connect(node).await;
            let port = client.write.local_addr().expect("bound").port();
            let mut sent = 0u64;
            // Until the front end itself holds 700 KiB for it: well under what a single one may have.
            'fill: while !sent.is_multiple_of(16)
                || sent as usize * body.len() < held_by_the_system(port) + (700 << 10)
            {
                if client
                    .write
                    .try_write(call(1000 * n + sent, "view", &body).as_bytes())
                    .is_err()
                {
                    break;
                }
                sent += 1;
                // One after the other, so that the module takes each: its answer is handled once a later question is.
                question += 1;
                watcher.is_well(question).await;
                let asked = tokio::select! {
                    biased;
                    asked = at_worker.next() => asked.expect("a call"),
                    // Cut off: the call was not read.
                    () = closed(&client) => break 'fill,
                };
                at_worker.say(&served(&asked));
                question += 1;
                watcher.is_well(question).await;
            }
            clients.push((client, sent));
        }
        let mut whole = 0;
        for (client, sent) in &mut clients {
            let mut read = 0;
            while read < *sent && matches!(client.lines.next_line().await, Ok(Some(_))) {
                read += 1;
            }
            whole += usize::from(read == *sent);
        }
        assert!(
            (1..4).contains(&whole),
            "some are cut off, and not all: {whole}"
        );
        assert!(watcher.is_well(question + 1).await);
    })
    .await;
}

/// Waits until the other side has closed, though what it sent before is not read.
#[cfg(target_os = "linux")]
async fn closed(client: &Peer) {
    loop {
        let ready = client
            .write
            .as_ref()
            .ready(Interest::READABLE | Interest::WRITABLE)
            .await;
        if !ready.is_ok_and(|r| !r.is_read_closed() && !r.is_write_closed() && !r.is_error()) {
            return;
        }
        tokio::task::yield_now().await;
    }
}
