//! Answers that clients do not read, on real sockets, see `socket_harness`.
#![cfg(target_os = "linux")]

mod socket_harness;

use socket_harness::{Peer, call, config, event, held_at_port, listener, served, start, within};
use tokio::io::Interest;

/// Clients that do not read: no single one has too much waiting, all together have.
#[tokio::test]
async fn answers_that_many_clients_do_not_read_do_not_fill_the_memory() {
    within(async {
        let ((worker, at), (_list, list_at)) = (listener().await, listener().await);
        let mut config = config(list_at, &[event(1, true, &[("w1", at, "SERVING")])]);
        config["limits"]["memory_mb"] = 16.into();
        let node = start(&config).await;
        let mut watcher = Peer::connect(node).await;
        watcher.send(&call(1, "view", "")).await;
        let mut at_worker = Peer::accept(&worker).await;
        at_worker.serve_next().await;
        watcher.next().await.expect("an answer");
        let (mut clients, mut question) = (Vec::new(), 1);
        let body = "A".repeat(21_844);
        for n in 1..=4u64 {
            let client = Peer::connect(node).await;
            let port = client.write.local_addr().expect("bound").port();
            let mut sent = 0u64;
            // Until the front end itself holds 700 KiB for it: well under what a single one may have.
            'fill: while !sent.is_multiple_of(16)
                || sent as usize * body.len() < held_at_port(port) + (700 << 10)
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
