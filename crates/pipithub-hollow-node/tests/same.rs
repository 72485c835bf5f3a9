//! A hollow and a real front end send the same requests and have the same state after the same events.

mod harness;

use std::cell::RefCell;
use std::rc::Rc;

use pipithub_emulator::coordinator::{Coordinator, Tier};
use pipithub_hollow_node::HollowFrontEnd;
use pipithub_node::core::Core;
use pipithub_node::shell::Node;
use pipithub_platform::config::NodeConfig;
use tokio::task::{LocalSet, spawn_local};

/// A part of the worker index's Debug text once maintenance has removed all start times, which are long past for the
/// workers of these tests.
const PRUNED_STARTS: &str = "started: {}, reported_in_flight";

/// Replaces the numbers that depend on how long a front end has run, and therefore differ between two front ends, by
/// placeholders: Unix times, the sequence number of the last timer, which counts how often a timer was set, and the
/// number of samples in a mean. Only the presence of these numbers is compared.
fn without_run_dependent_numbers(text: &str) -> String {
    let text = &without_sample_count(text);
    let (before, timers) = text
        .split_once("timers: Timers {")
        .expect("the text has the engine's timers");
    let (timers, after) = timers
        .split_once("last_sequence: ")
        .expect("the timers have a last sequence number");
    let (last, after) = after
        .split_once(' ')
        .expect("the last sequence number has an end");
    let heap = without_unix_times(timers).replace(&format!("sequence: {last},"), "sequence: N,");
    format!(
        "{}timers: Timers {{{heap}last_sequence: N {}",
        without_unix_times(before),
        without_unix_times(after)
    )
}

/// Replaces the number of samples in the mean rate of warm workers by a placeholder. Each round of maintenance may add a
/// sample, so the number depends on how long the scenario took.
fn without_sample_count(text: &str) -> String {
    let (before, rest) = text
        .split_once("mean_warm_rate: ")
        .expect("the text has the mean rate of warm workers");
    let (mean, rest) = rest
        .split_once("samples: ")
        .expect("the mean has a number of samples");
    let after = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}mean_warm_rate: {mean}samples: N{after}")
}

/// Replaces Unix times in nanoseconds by a placeholder. Until the year 2033 they have 19 digits and begin with 17, 18
/// or 19. A hash rarely has this form; if it does, it is not compared.
fn without_unix_times(text: &str) -> String {
    let mut out = String::new();
    for piece in text.split_inclusive(|c: char| !c.is_ascii_digit()) {
        let digits = piece.trim_end_matches(|c: char| !c.is_ascii_digit());
        let is_unix_time =
            digits.len() == 19 && ["17", "18", "19"].iter().any(|s| digits.starts_with(s));
        out.push_str(if is_unix_time { "T" } else { digits });
        out.push_str(&piece[digits.len()..]);
    }
    out
}

/// Publishes all workers, replaces some and removes a zone. Then cuts the streams while events are published, and
/// breaks the next stream off within one of them. Then cuts the streams again, and publishes all workers anew without a
/// history.
///
/// `wait_until_caught_up` is called whenever the front end can receive everything that was published.
async fn run_scenario(
    coordinator: &Coordinator,
    tier: &mut Tier,
    mut wait_until_caught_up: impl AsyncFnMut(&Tier),
) {
    coordinator.publish(true, tier.hosts(), tier);
    wait_until_caught_up(tier).await;
    for worker in 0..5 {
        let changed = tier.replace(worker);
        coordinator.publish(false, &changed, tier);
        wait_until_caught_up(tier).await;
    }
    let lost = tier.remove_zone(3);
    coordinator.publish(false, &lost, tier);
    wait_until_caught_up(tier).await;
    cut_streams(coordinator).await;
    for worker in 5..9 {
        let changed = tier.replace(worker);
        coordinator.publish(false, &changed, tier);
    }
    // Breaks the stream off in the middle of the third missed event.
    coordinator.break_off(1_200);
    coordinator.change_behaviour(|b| b.cut = false);
    wait_until_caught_up(tier).await;
    cut_streams(coordinator).await;
    coordinator.clear_history();
    tier.replace(9);
    tier.replace(10);
    coordinator.publish(true, tier.hosts(), tier);
    coordinator.change_behaviour(|b| b.cut = false);
    wait_until_caught_up(tier).await;
}

/// Makes the coordinator end all streams and reject connections, and waits until no stream is open.
async fn cut_streams(coordinator: &Coordinator) {
    coordinator.change_behaviour(|b| b.cut = true);
    harness::wait_until(|| coordinator.counts().open == 0).await;
}

/// The names of the workers that the core knows, in sorted order, from the Debug text of its connection pool.
fn known_workers(text: &str) -> Vec<String> {
    let pool = text
        .split_once("ConnectionPool { max_connections")
        .map_or("", |(_, pool)| pool);
    let workers = pool
        .split_once("workers: {")
        .and_then(|(_, rest)| rest.split_once("listed: "))
        .map_or("", |(workers, _)| workers);
    let names = workers
        .split("WorkerId(\"")
        .skip(1)
        .filter_map(|t| Some(t.split_once('"')?.0.to_string()));
    names.collect()
}

/// Waits until the core knows exactly the workers of `tier`, which each event of the scenario changes, and until
/// maintenance has then removed the start times that are long past. Between the two, the state depends on the moment at
/// which it is read.
async fn wait_until_caught_up(text: impl Fn() -> String, tier: &Tier) {
    let mut names: Vec<String> = tier
        .hosts()
        .iter()
        .map(|h| h["host"].as_str().unwrap_or_default().to_string())
        .collect();
    names.sort();
    harness::wait_until(|| {
        let text = text();
        known_workers(&text) == names && text.contains(PRUNED_STARTS)
    })
    .await;
}

/// Runs the scenario with a hollow or a real front end, and returns the requests that the coordinator received and the
/// final state of the core.
async fn run_front_end(is_hollow: bool) -> (Vec<String>, String) {
    let coordinator = harness::start_coordinator();
    let text = harness::config(coordinator.address()).to_string();
    let mut tier = Tier::new(210, 7);
    let state = if is_hollow {
        let front_end = HollowFrontEnd::start(
            &NodeConfig::parse(&text).expect("the configuration is valid"),
            |_| {},
        );
        run_scenario(&coordinator, &mut tier, async |tier| {
            wait_until_caught_up(|| front_end.core_state(), tier).await;
        })
        .await;
        assert_eq!(
            front_end.requested_effects(),
            0,
            "the core requested effects, which a hollow front end does not carry out"
        );
        front_end.core_state()
    } else {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let path = folder.path().join("node.json");
        std::fs::write(&path, text).expect("the configuration is written");
        let node = Node::bind(&path, None).await.expect("the front end starts");
        let shared_core = Rc::new(RefCell::new(None));
        let core_slot = shared_core.clone();
        spawn_local(
            node.serve_sharing(move |core: Rc<RefCell<Core>>| *core_slot.borrow_mut() = Some(core)),
        );
        harness::wait_until(|| shared_core.borrow().is_some()).await;
        let core = shared_core.borrow_mut().take().expect("the core is shared");
        run_scenario(&coordinator, &mut tier, async |tier| {
            wait_until_caught_up(|| format!("{:?}", core.borrow()), tier).await;
        })
        .await;
        let state = format!("{:?}", core.borrow());
        state
    };
    // Each front end has its own coordinator, and the requests may differ only in its port.
    let address = coordinator.address().to_string();
    let requests = coordinator
        .requests()
        .iter()
        .map(|r| r.replace(&address, "COORDINATOR"))
        .collect();
    (requests, without_run_dependent_numbers(&state))
}

#[tokio::test]
async fn hollow_and_real_front_ends_send_the_same_requests_and_have_the_same_state() {
    let (hollow, real) = LocalSet::new()
        .run_until(async { (run_front_end(true).await, run_front_end(false).await) })
        .await;
    assert_eq!(hollow.0, real.0);
    assert!(
        hollow.0.len() >= 4,
        "expected requests at the start, after each of two cuts and after the stream broke off: {:?}",
        hollow.0
    );
    assert_eq!(known_workers(&hollow.1).len(), 180);
    assert!(
        hollow.1 == real.1,
        "{}",
        first_difference(&hollow.1, &real.1)
    );
}

/// The position of the first difference between two texts, with the text around it.
fn first_difference(a: &str, b: &str) -> String {
    let at = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let around = |t: &str| {
        t.get(at.saturating_sub(120)..(at + 120).min(t.len()))
            .unwrap_or_default()
            .to_string()
    };
    format!("at byte {at}:\n{}\n{}", around(a), around(b))
}
