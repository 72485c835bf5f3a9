//! What may come between any two lines: a close, an end of file, a reset, an answer. Each crossing is forced on real
//! sockets, see `socket_harness`.

mod socket_harness;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket_harness::{Peer, call, config, event, listener, one_worker, served, start, within};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_call_whose_client_has_closed_right_behind_it_is_not_begun() {
    within(async {
        let (worker, _list, node) = one_worker().await;
        let mut gone = Peer::connect(node).await;
        let mut stays = Peer::connect(node).await;
        assert!(gone.is_well(1).await && stays.is_well(1).await);
        // A connection to the worker stands ready: nothing holds the call back.
        stays.send(&call(6, "assign", "")).await;
        let mut at_worker = Peer::accept(&worker).await;
        at_worker.serve_next().await;
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
        let mut idle = Peer::accept(&worker).await;
        idle.serve_next().await;
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
        let mut at_worker = Peer::accept(&worker).await;
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
        let mut at_worker = Peer::accept(&worker).await;
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
        let mut first = Peer::accept(&worker).await;
        let asked = first.serve_next().await;
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
        let mut at_worker = Peer::accept(&worker).await;
        at_worker.serve_next().await;
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
                let mut peer = Peer::accept(&worker).await;
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
