//! Whatever parses as a request gets one answer before its connection is closed, however that comes about.

mod core_harness;

use core_harness::{CoreHarness, MS, config};
use pipithub_engine::Time;
use pipithub_node::effect::ConnectionId;

fn call(id: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"view","params":{{"call":"{id:016x}","ttl":1500,"row":"00000000000000aa"}}}}"#
    ) + "\n"
}

/// A line that is no request but bears a number.
fn faulty(id: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"nothing"}}"#) + "\n"
}

/// One way in which the front end comes to close a client's connection.
struct Ending {
    name: &'static str,
    /// Brings it about on a new connection, on which the given text has come, read or not.
    play: fn(&mut CoreHarness, &str) -> ConnectionId,
}

fn read(b: &mut CoreHarness, connection: ConnectionId, text: &str) {
    b.core.client_bytes(b.now, connection, text.as_bytes());
}

const ENDINGS: [Ending; 11] = [
    Ending {
        name: "too many connections",
        play: |b, text| {
            let connection = b.client();
            b.unread.insert(connection, text.into());
            // The first that never asked goes first.
            (0..24).for_each(|_| {
                b.client();
            });
            connection
        },
    },
    Ending {
        name: "too many connections, the newcomer's",
        play: |b, text| {
            for id in 1..=24 {
                let client = b.client();
                read(b, client, &call(1000 + id));
            }
            let connection = b.client();
            b.unread.insert(connection, text.into());
            connection
        },
    },
    Ending {
        name: "silent",
        play: |b, text| {
            let connection = b.client();
            b.pass(1_990 * MS);
            b.unread.insert(connection, text.into());
            connection
        },
    },
    Ending {
        name: "half a request",
        play: |b, text| {
            let connection = b.client();
            let (half, rest) = text.split_at(text.len() / 3);
            read(b, connection, half);
            b.pass(1_990 * MS);
            b.unread.insert(connection, rest.into());
            connection
        },
    },
    Ending {
        name: "noise before it",
        play: |b, text| {
            let connection = b.client();
            read(b, connection, &format!("noise\n{text}"));
            connection
        },
    },
    Ending {
        name: "noise before it, itself unread",
        play: |b, text| {
            let connection = b.client();
            b.unread.insert(connection, text.into());
            read(b, connection, "noise\n");
            connection
        },
    },
    Ending {
        name: "faulty lines in a row before it",
        play: |b, text| {
            let connection = b.client();
            let faults: String = (101..=104).map(faulty).collect();
            read(b, connection, &(faults + text));
            connection
        },
    },
    Ending {
        name: "a line too long behind it",
        play: |b, text| {
            let connection = b.client();
            read(
                b,
                connection,
                &(text.to_string() + "\n" + &"x".repeat(40_000)),
            );
            connection
        },
    },
    Ending {
        name: "given up while a call is open",
        play: |b, text| {
            let connection = b.client();
            read(b, connection, &(call(500) + "noise\n"));
            b.pass(10 * MS);
            read(b, connection, text);
            connection
        },
    },
    Ending {
        name: "shutdown, drained",
        play: |b, text| {
            let connection = b.client();
            b.core.begin_shutdown(b.now);
            b.pass(800 * MS);
            read(b, connection, text);
            connection
        },
    },
    Ending {
        name: "the end of the process",
        play: |b, text| {
            let connection = b.client();
            b.core.begin_shutdown(b.now);
            // Before the connection counts as silent.
            b.pass(1_200 * MS);
            b.unread.insert(connection, text.into());
            b.core.close_clients();
            connection
        },
    },
];

#[test]
fn whatever_was_read_as_a_request_has_its_answer_before_the_close() {
    let contents: [(&str, String, &[u64]); 5] = [
        ("one call", call(1), &[1]),
        ("two calls", call(1) + &call(2), &[1, 2]),
        (
            "a call between noise",
            call(1) + "noise\n" + &call(2),
            &[1, 2],
        ),
        ("a call and half of another", call(1) + &call(2)[..40], &[1]),
        ("a call of no class, and one", faulty(1) + &call(2), &[1, 2]),
    ];
    for Ending { name, play } in ENDINGS {
        for (content, text, asked) in &contents {
            let mut b = CoreHarness::new();
            let connection = play(&mut b, text);
            let mut written = b.written();
            for _ in 0..400 {
                b.pass(10 * MS);
                written.extend(b.written());
            }
            let to_client: Vec<&str> = written
                .iter()
                .filter(|(c, _)| *c == connection)
                .map(|(_, line)| line.as_str())
                .collect();
            let closed = to_client
                .iter()
                .position(|line| *line == "closed")
                .unwrap_or(to_client.len());
            for id in *asked {
                let number = format!("\"id\":{id},");
                let answers: Vec<usize> = (0..to_client.len())
                    .filter(|at| to_client[*at].contains(&number))
                    .collect();
                assert!(
                    answers.len() == 1 && answers[0] < closed,
                    "{name}, {content}: request {id} among {to_client:#?}"
                );
            }
            assert!(b.unread.is_empty(), "{name}: it was read");
        }
    }
}

/// The process is killed the longest deadline and 0.7 s after SIGTERM, and clients send on their open connections until it
/// ends; the worker hangs.
#[test]
fn a_stop_answers_everything_that_it_took_before_the_kill_however_short_the_deadlines() {
    for longest in [50, 200, 800, 3_000] {
        let mut config = config();
        config
            .site
            .policy
            .classes
            .iter_mut()
            .for_each(|c| c.client_timeout = longest * MS);
        let mut b = CoreHarness::of(&config);
        let clients: Vec<ConnectionId> = (0..4).map(|_| b.client()).collect();
        let call = |id: u64| {
            let class = if id.is_multiple_of(3) {
                "assign"
            } else {
                "view"
            };
            call(id)
                .replace("view", class)
                .replace("\"ttl\":1500", &format!("\"ttl\":{longest}"))
        };
        let (mut sent, mut written) = (0, Vec::new());
        let mut send = |b: &mut CoreHarness, unread: bool| {
            for connection in &clients {
                sent += 1;
                if unread {
                    b.unread.insert(*connection, call(sent).into());
                } else {
                    read(b, *connection, &call(sent));
                }
            }
        };
        b.core.begin_shutdown(b.now);
        let kill: Time = b.now + (longest + 700) * MS;
        while !b.core.shutdown_overdue(b.now) && !b.core.is_drained(b.now) {
            send(&mut b, false);
            b.pass(5 * MS);
            written.extend(b.written());
            assert!(
                b.now < kill,
                "deadlines of {longest} ms: it would be killed"
            );
        }
        assert!(
            b.now + 15 * MS < kill,
            "deadlines of {longest} ms: time to close what is open"
        );
        // The last that were sent lie unread.
        send(&mut b, true);
        b.core.close_clients();
        written.extend(b.written());
        assert_eq!(b.core.pending_requests(), 0);
        for id in 1..=sent {
            let number = format!("\"id\":{id},");
            let answers = written
                .iter()
                .filter(|(connection, l)| clients.contains(connection) && l.contains(&number))
                .count();
            assert_eq!(answers, 1, "deadlines of {longest} ms: call {id} of {sent}");
        }
        assert_eq!(b.core.connections().clients, 0, "all are closed");
    }
}
