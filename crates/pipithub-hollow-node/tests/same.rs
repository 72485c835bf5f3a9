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

/// The worker index in Debug text once a round of maintenance has pruned its starts; all of this tier's are long past.
const PRUNED_STARTS: &str = "started: {}, reported_in_flight";

/// The text without what only tells how long a front end has run, which two cannot share: points in Unix time, and how
/// often the core's own timer has been set anew. That they are there counts, and not which they are.
fn without_run_dependent_numbers(text: &str) -> String {
    let text = &without_sample_count(text);
    let (before, timers) = text
        .split_once("timers: Timers {")
        .expect("the engine has timers");
    let (timers, after) = timers
        .split_once("last_sequence: ")
        .expect("the number of the last timer");
    let (last, after) = after.split_once(' ').expect("it ends");
    let heap = without_unix_times(timers).replace(&format!("sequence: {last},"), "sequence: N,");
    format!(
        "{}timers: Timers {{{heap}last_sequence: N {}",
        without_unix_times(before),
        without_unix_times(after)
    )
}

/// The text without the number of rounds of maintenance that a mean is over: it follows the time that the story took.
fn without_sample_count(text: &str) -> String {
    let (before, rest) = text
        .split_once("mean_warm_rate: ")
        .expect("the module keeps a usual rate");
    let (mean, rest) = rest.split_once("samples: ").expect("a mean over samples");
    let after = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}mean_warm_rate: {mean}samples: N{after}")
}

/// Points in Unix time have 19 digits and begin so until the year 2033; a hash rarely does, and is then not compared.
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

/// Ordinary replacements, a lost zone, a stream that breaks off inside an event, a cut, and every worker anew.
async fn run_scenario(
    coordinator: &Coordinator,
    tier: &mut Tier,
    mut wait_until_caught_up: impl AsyncFnMut(&Tier),
) {
    coordinator.publish(true, tier.hosts(), tier);
    wait_until_caught_up(tier).await;
    for at in 0..5 {
        let changed = tier.replace(at);
        coordinator.publish(false, &changed, tier);
        wait_until_caught_up(tier).await;
    }
    let lost = tier.lose(3);
    coordinator.publish(false, &lost, tier);
    wait_until_caught_up(tier).await;
    cut_streams(coordinator).await;
    for at in 5..9 {
        let changed = tier.replace(at);
        coordinator.publish(false, &changed, tier);
    }
    // In the middle of the third event that was missed.
    coordinator.break_off(1_200);
    coordinator.behave(|b| b.cut = false);
    wait_until_caught_up(tier).await;
    cut_streams(coordinator).await;
    coordinator.forget();
    tier.replace(9);
    tier.replace(10);
    coordinator.publish(true, tier.hosts(), tier);
    coordinator.behave(|b| b.cut = false);
    wait_until_caught_up(tier).await;
}

async fn cut_streams(coordinator: &Coordinator) {
    coordinator.behave(|b| b.cut = true);
    harness::wait_until(|| coordinator.counts().open == 0).await;
}

/// The names of the workers that the core knows, by the Debug text of its connections' table, sorted.
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

/// Waits until the core knows the tier's workers and no others, which each event of the story changes, and until a
/// round of maintenance after that has pruned the starts that are long past: between the two a state depends on the
/// moment at which it is read.
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

/// The requests and the core's state after the story, of the real shell or of a hollow front end.
async fn run_front_end(is_hollow: bool) -> (Vec<String>, String) {
    let coordinator = harness::start_coordinator();
    let text = harness::config(coordinator.address()).to_string();
    let mut tier = Tier::new(210, 7);
    let state = if is_hollow {
        let front_end = HollowFrontEnd::start(&NodeConfig::parse(&text).expect("good"), |_| {});
        run_scenario(&coordinator, &mut tier, async |tier| {
            wait_until_caught_up(|| front_end.core_state(), tier).await;
        })
        .await;
        assert_eq!(
            front_end.requested_effects(),
            0,
            "the core wanted nothing that nobody does here"
        );
        front_end.core_state()
    } else {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("node.json");
        std::fs::write(&path, text).expect("written");
        let node = Node::bind(&path, None).await.expect("starts");
        let shared_core = Rc::new(RefCell::new(None));
        let core_slot = shared_core.clone();
        spawn_local(
            node.serve_sharing(move |core: Rc<RefCell<Core>>| *core_slot.borrow_mut() = Some(core)),
        );
        harness::wait_until(|| shared_core.borrow().is_some()).await;
        let core = shared_core.borrow_mut().take().expect("shown");
        run_scenario(&coordinator, &mut tier, async |tier| {
            wait_until_caught_up(|| format!("{:?}", core.borrow()), tier).await;
        })
        .await;
        let state = format!("{:?}", core.borrow());
        state
    };
    // Each has a coordinator of its own, whose port is all that may differ.
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
        "the first, after the cut, after the break, and for every worker: {:?}",
        hollow.0
    );
    assert_eq!(known_workers(&hollow.1).len(), 180);
    assert!(
        hollow.1 == real.1,
        "{}",
        first_difference(&hollow.1, &real.1)
    );
}

/// Where two texts part, with what stands around.
fn first_difference(a: &str, b: &str) -> String {
    let at = a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let around = |t: &str| {
        t.get(at.saturating_sub(120)..(at + 120).min(t.len()))
            .unwrap_or_default()
            .to_string()
    };
    format!("at byte {at}:\n{}\n{}", around(a), around(b))
}
