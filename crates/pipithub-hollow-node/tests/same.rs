//! A hollow and a real front end send the same requests and have the same state after the same events.

mod harness;

use std::cell::RefCell;
use std::rc::Rc;

use pipithub_emulator::coordinator::{Coordinator, Tier};
use pipithub_hollow_node::Hollow;
use pipithub_node::core::Core;
use pipithub_node::shell::Node;
use pipithub_platform::config::NodeConfig;
use tokio::task::{LocalSet, spawn_local};

/// The worker index in Debug text once a round of maintenance has pruned its starts; all of this tier's are long past.
const PRUNED_STARTS: &str = "started: {}, reported_in_flight";

/// The text without what only tells how long a front end has run, which two cannot share: points in Unix time, and how
/// often the core's own timer has been set anew. That they are there counts, and not which they are.
fn without_times(text: &str) -> String {
    let text = &without_maintenance_rounds(text);
    let (before, timers) = text
        .split_once("timers: Timers {")
        .expect("the engine has timers");
    let (timers, after) = timers
        .split_once("last_sequence: ")
        .expect("the number of the last timer");
    let (last, after) = after.split_once(' ').expect("it ends");
    let heap = without_points(timers).replace(&format!("sequence: {last},"), "sequence: N,");
    format!(
        "{}timers: Timers {{{heap}last_sequence: N {}",
        without_points(before),
        without_points(after)
    )
}

/// The text without the number of rounds of maintenance that a mean is over: it follows the time that the story took.
fn without_maintenance_rounds(text: &str) -> String {
    let (before, rest) = text
        .split_once("mean_warm_rate: ")
        .expect("the module keeps a usual rate");
    let (mean, rest) = rest.split_once("samples: ").expect("a mean over samples");
    let after = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}mean_warm_rate: {mean}samples: N{after}")
}

/// Points in Unix time have 19 digits and begin so until the year 2033; a hash rarely does, and is then not compared.
fn without_points(text: &str) -> String {
    let mut out = String::new();
    for piece in text.split_inclusive(|c: char| !c.is_ascii_digit()) {
        let digits = piece.trim_end_matches(|c: char| !c.is_ascii_digit());
        let point = digits.len() == 19 && ["17", "18", "19"].iter().any(|s| digits.starts_with(s));
        out.push_str(if point { "T" } else { digits });
        out.push_str(&piece[digits.len()..]);
    }
    out
}

/// Ordinary replacements, a lost zone, a stream that breaks off inside an event, a cut, and every worker anew.
async fn story(coordinator: &Coordinator, tier: &mut Tier, mut caught_up: impl AsyncFnMut(&Tier)) {
    coordinator.publish(true, tier.hosts(), tier);
    caught_up(tier).await;
    for at in 0..5 {
        let changed = tier.replace(at);
        coordinator.publish(false, &changed, tier);
        caught_up(tier).await;
    }
    let lost = tier.remove_zone(3);
    coordinator.publish(false, &lost, tier);
    caught_up(tier).await;
    cut(coordinator).await;
    for at in 5..9 {
        let changed = tier.replace(at);
        coordinator.publish(false, &changed, tier);
    }
    // In the middle of the third event that was missed.
    coordinator.break_off(1_200);
    coordinator.change_behaviour(|b| b.cut = false);
    caught_up(tier).await;
    cut(coordinator).await;
    coordinator.clear_history();
    tier.replace(9);
    tier.replace(10);
    coordinator.publish(true, tier.hosts(), tier);
    coordinator.change_behaviour(|b| b.cut = false);
    caught_up(tier).await;
}

async fn cut(coordinator: &Coordinator) {
    coordinator.change_behaviour(|b| b.cut = true);
    harness::wait_until(|| coordinator.counts().open == 0).await;
}

/// The names of the workers that the core knows, by the Debug text of its connections' table, sorted.
fn known(text: &str) -> Vec<String> {
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
async fn caught_up(text: impl Fn() -> String, tier: &Tier) {
    let mut names: Vec<String> = tier
        .hosts()
        .iter()
        .map(|h| h["host"].as_str().unwrap_or_default().to_string())
        .collect();
    names.sort();
    harness::wait_until(|| {
        let text = text();
        known(&text) == names && text.contains(PRUNED_STARTS)
    })
    .await;
}

/// The requests and the core's state after the story, of the real shell or of a hollow front end.
async fn play(hollow: bool) -> (Vec<String>, String) {
    let coordinator = harness::start_coordinator();
    let text = harness::config(coordinator.address()).to_string();
    let mut tier = Tier::new(210, 7);
    let state = if hollow {
        let front_end = Hollow::start(&NodeConfig::parse(&text).expect("good"), |_| {});
        story(&coordinator, &mut tier, async |tier| {
            caught_up(|| front_end.show(), tier).await;
        })
        .await;
        assert_eq!(
            front_end.wanted(),
            0,
            "the core wanted nothing that nobody does here"
        );
        front_end.show()
    } else {
        let folder = tempfile::tempdir().expect("a folder");
        let place = folder.path().join("node.json");
        std::fs::write(&place, text).expect("written");
        let node = Node::bind(&place, None).await.expect("starts");
        let shown = Rc::new(RefCell::new(None));
        let kept = shown.clone();
        spawn_local(
            node.serve_sharing(move |core: Rc<RefCell<Core>>| *kept.borrow_mut() = Some(core)),
        );
        harness::wait_until(|| shown.borrow().is_some()).await;
        let core = shown.borrow_mut().take().expect("shown");
        story(&coordinator, &mut tier, async |tier| {
            caught_up(|| format!("{:?}", core.borrow()), tier).await;
        })
        .await;
        let state = format!("{:?}", core.borrow());
        state
    };
    // Each has a coordinator of its own, whose port is all that may differ.
    let own = coordinator.address().to_string();
    let requests = coordinator
        .requests()
        .iter()
        .map(|r| r.replace(&own, "COORDINATOR"))
        .collect();
    (requests, without_times(&state))
}

#[tokio::test]
async fn hollow_and_real_front_ends_send_the_same_requests_and_have_the_same_state() {
    let (hollow, real) = LocalSet::new()
        .run_until(async { (play(true).await, play(false).await) })
        .await;
    assert_eq!(hollow.0, real.0);
    assert!(
        hollow.0.len() >= 4,
        "the first, after the cut, after the break, and for every worker: {:?}",
        hollow.0
    );
    assert_eq!(known(&hollow.1).len(), 180);
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
