//! The front end without sockets: calls whose clients have left or withdrawn them.

mod core_harness;

use core_harness::{CoreHarness, FORGET, MS, SERVED, config};

#[test]
fn a_client_that_leaves_or_forgets_has_its_call_withdrawn() {
    for forgets in [true, false] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("view");
        if forgets {
            b.say(
                client,
                r#"{"jsonrpc":"2.0","method":"forget","params":{"id":7}}"#,
            );
        } else {
            b.core.client_closed(b.now, client);
        }
        let undo = "{\"cmd\":\"UNDO\",\"ref\":\"0000000000000007\"}\n".to_string();
        assert_eq!(b.written(), [(worker, undo)]);
        b.core.worker_bytes(b.now, worker, SERVED);
        assert!(b.written().is_empty() && b.core.pending_requests() == 0);
    }
}

/// Asked and taken back within what was read at once: to begin it would be an attempt for nobody.
#[test]
fn a_call_that_is_forgotten_in_the_same_breath_is_not_begun() {
    for forget in [
        FORGET,
        r#"{"jsonrpc":"2.0","method":"forget","params":{"call":"0000000000000007"}}"#,
    ] {
        let mut b = CoreHarness::new();
        let client = b.client();
        let call = r#"{"jsonrpc":"2.0","id":7,"method":"view","params":{"call":"0000000000000007","ttl":1500,"row":"00000000000000aa"}}"#;
        b.say(client, &format!("{call}\n{forget}"));
        assert_eq!((b.written(), b.core.pending_requests()), (vec![], 0));
        b.call(client, 8, "view");
        assert!(
            b.written().iter().any(|(_, line)| line.contains("\"DO\"")),
            "others are"
        );
    }
}

/// Wherever its call stands, a client that has gone gets no further attempt: here between two.
#[test]
fn a_worker_that_turns_a_call_away_after_its_client_has_gone_does_not_send_it_on() {
    for forgets in [true, false] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("view");
        if forgets {
            b.say(client, FORGET);
        } else {
            b.core.client_closed(b.now, client);
        }
        b.written();
        b.core.worker_bytes(
            b.now,
            worker,
            b"{\"cmd\":\"AGAIN\",\"ref\":\"0000000000000007\"}\n",
        );
        assert_eq!((b.written(), b.core.pending_requests()), (vec![], 0));
        b.core.worker_closed(b.now, worker, u64::MAX);
        b.pass(5_000 * MS);
        assert!(b.written().iter().all(|(_, line)| !line.contains("\"DO\"")));
    }
}

/// And here while it waits, unsent, for a load that it had ordered.
#[test]
fn a_call_whose_client_has_gone_while_it_waited_for_a_load_is_not_sent() {
    let mut config = config();
    config.site.policy.loading.loads_on_request = false;
    let mut b = CoreHarness::of(&config);
    // Nothing stands anywhere: found missing at its home, it is ordered there.
    let (client, home) = b.sent("view");
    b.core.worker_bytes(
        b.now,
        home,
        b"{\"cmd\":\"NOENT\",\"ref\":\"0000000000000007\"}\n",
    );
    let written = b.written();
    let (worker, order) = written
        .iter()
        .find(|(_, line)| line.contains("\"PIN\""))
        .expect("ordered")
        .clone();
    b.core.client_closed(b.now, client);
    let tag = order.split('"').nth(7).expect("a tag");
    b.core.worker_bytes(
        b.now,
        worker,
        format!("{{\"cmd\":\"ACK\",\"ref\":\"{tag}\",\"opts\":{{\"n\":1}}}}\n").as_bytes(),
    );
    b.pass(1_000 * MS);
    let written = b.written();
    assert!(
        written.iter().all(|(_, line)| !line.contains("\"DO\"")),
        "{written:?}"
    );
}
