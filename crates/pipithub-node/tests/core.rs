//! The front end without sockets: attempts, their answers, and what may run again.

mod core_harness;

use core_harness::{CoreHarness, FORGET, MS, SERVED, config};
use pipithub_platform::list;

#[test]
fn a_call_is_answered_once_with_what_the_worker_gave() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("assign");
    // An answer to nothing open comes first, and the answer twice.
    b.core.worker_bytes(
        b.now,
        worker,
        b"{\"cmd\":\"ACK\",\"ref\":\"ffffffffffffffff\",\"payload\":\"\"}\n",
    );
    b.core.worker_bytes(b.now, worker, &SERVED[..20]);
    b.core.worker_bytes(b.now, worker, &SERVED[20..]);
    b.core.worker_bytes(b.now, worker, SERVED);
    let answer = "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{\"body\":\"d29ybGQ=\"}}\n".to_string();
    assert_eq!(b.written(), [(client, answer)]);
    assert_eq!((b.core.pending_requests(), b.core.stats().served), (0, 1));
}

#[test]
fn a_spoilt_answer_closes_its_connection_and_an_unsafe_call_is_failed_not_refused() {
    for spoilt in [
        "{\"cmd\":\"ACK\",\"ref\":\"0000000000000007\",\"payload\":\"!!\"}\n",
        "noise\n",
    ] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("assign");
        b.core.worker_bytes(b.now, worker, spoilt.as_bytes());
        let written = b.written();
        assert!(written.contains(&(worker, "closed".to_string())));
        let to_client: Vec<_> = written
            .iter()
            .filter(|(connection, _)| *connection == client)
            .collect();
        assert!(
            to_client.len() == 1 && to_client[0].1.contains("-32000"),
            "{to_client:?}"
        );
    }
    // A line without end is spoilt too, within a bound.
    let mut b = CoreHarness::new();
    let (_, worker) = b.sent("assign");
    (0..20).for_each(|_| b.core.worker_bytes(b.now, worker, &[b'x'; 16 << 10]));
    assert!(b.written().contains(&(worker, "closed".to_string())));
}

#[test]
fn a_safe_call_whose_connection_breaks_runs_elsewhere() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_closed(b.now, worker, u64::MAX);
    let written = b.written();
    assert!(
        written
            .iter()
            .any(|(connection, line)| *connection != client && line.contains("\"DO\"")),
        "{written:?}"
    );
}

#[test]
fn a_name_in_use_is_not_called_harmless_and_its_owner_keeps_its_answer() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("assign");
    let other = b.client();
    b.call(other, 7, "assign");
    let written = b.written();
    assert!(
        written.len() == 1 && written[0].0 == other && !written[0].1.contains("-32050"),
        "{written:?}"
    );
    b.core.worker_bytes(b.now, worker, SERVED);
    assert!(
        b.written()
            .iter()
            .any(|(connection, line)| *connection == client && line.contains("result"))
    );
}

#[test]
fn a_call_that_no_worker_answers_ends_before_its_time_and_says_when_to_come_back() {
    let mut b = CoreHarness::new();
    let (client, _) = b.sent("view");
    b.pass(1_500 * MS);
    let answers: Vec<_> = b
        .written()
        .into_iter()
        .filter(|(connection, _)| *connection == client)
        .collect();
    assert!(
        answers.len() == 1 && answers[0].1.contains("-32050"),
        "{answers:?}"
    );
    assert!(answers[0].1.contains("\"pushback\":500"));
}

#[test]
fn nothing_new_goes_to_a_worker_that_drains() {
    let mut b = CoreHarness::new();
    let (_, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.written();
    let drains = |id: &str| {
        let text = format!(
            r#"{{"index":2,"endpoints":{{"seq":2,"whole":false,"hosts":[{{"host":"{id}","dial":"10.0.0.1:9","health":"DRAINING"}}]}}}}"#
        );
        list::parse(&text, &config().site.names).expect("event")
    };
    ["w1", "w2"]
        .iter()
        .for_each(|id| b.core.update_endpoints(b.now, &drains(id)));
    let client = b.client();
    b.call(client, 20, "view");
    let written = b.written();
    assert!(
        written.iter().all(|(connection, _)| *connection == client),
        "{written:?}"
    );
    assert!(
        written.iter().any(|(_, line)| line.contains("-32050")),
        "refused, unsent and at once"
    );
}

/// The same name again, after what must not run twice has ended: by answer, by a close, by a forget.
#[test]
fn a_call_that_may_have_run_is_not_run_again_under_its_name() {
    for how in ["answered", "closed", "forgotten"] {
        let mut b = CoreHarness::new();
        let (client, worker) = b.sent("assign");
        match how {
            "answered" => b.core.worker_bytes(b.now, worker, SERVED),
            "closed" => b.core.client_closed(b.now, client),
            _ => b.say(client, FORGET),
        }
        b.written();
        let other = b.client();
        b.call(other, 7, "assign");
        let written = b.written();
        assert!(
            written.len() == 1 && written[0].0 == other && written[0].1.contains("-32600"),
            "{how}: {written:?}"
        );
        // Not for ever: the name means nothing once nobody can wait for it any more.
        b.pass(3_100 * MS);
        let other = b.client();
        b.call(other, 7, "assign");
        assert!(
            b.written().iter().any(|(_, line)| line.contains("\"DO\"")),
            "{how}"
        );
    }
    // What may be repeated is.
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.call(client, 7, "view");
    assert!(b.written().iter().any(|(_, line)| line.contains("\"DO\"")));
}

/// A worker turns a call away and its answer comes twice; the second must not end the next attempt, which then would be
/// taken for one that never ran.
#[test]
fn a_second_copy_of_an_answer_does_not_end_a_later_call_of_the_same_name() {
    let mut b = CoreHarness::new();
    let (client, worker) = b.sent("view");
    b.core.worker_bytes(b.now, worker, SERVED);
    b.written();
    b.call(client, 7, "view");
    b.written();
    b.core.worker_bytes(b.now, worker, SERVED);
    assert!(
        b.written()
            .iter()
            .all(|(connection, _)| *connection != client),
        "the second call is still open"
    );
    assert_eq!(b.core.pending_requests(), 1);
}
