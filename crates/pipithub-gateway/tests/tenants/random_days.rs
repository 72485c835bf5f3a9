//! Days of moves, faults of directories and stale replicas, from seeds: no call may run for another tenant.

use std::collections::BTreeMap;
use std::time::Duration;

use pipithub_emulator::clock::wall_ns;
use pipithub_gateway::Gateway;
use pipithub_scenario::load::Chance;

use crate::rig::{Stage, answer, call, directory, tree};

/// A day of moves, directory faults and a stale replica, from a seed. Returns calls, calls sent, and crossings: sends to a
/// side on which the user had not been for longer than the bound.
#[allow(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
async fn day(seed: u64, length: Duration) -> (usize, usize, Vec<String>) {
    let stage = Stage::new(&format!("day{seed}")).await;
    let mut chance = Chance::new(seed);
    let sides = ["north", "south"];
    let mut users: Vec<(String, &str)> = (0..40).map(|n| (format!("u{n}"), sides[n % 2])).collect();
    let text = tree(&users);
    let servers = [directory(&text, false).await, directory(&text, false).await];
    let config = stage.config(
        &[&servers[0], &servers[1]],
        "tls \"none\"; mark-attribute \"contextCSN\"; fresh \"200ms\"; stale-most \"1s\"; negative \"300ms\"; \
         time-out \"300ms\"; retry-first \"100ms\"; retry-most \"400ms\"; failures 2; rate 200",
        "",
    );
    let _gateway = Gateway::start(&config);
    let mut client = stage.client();
    let began = std::time::Instant::now();
    // When each user was on which side, by the newest server's word.
    let mut history: BTreeMap<String, Vec<(u64, &str)>> = users
        .iter()
        .map(|(u, side)| (u.clone(), vec![(0, *side)]))
        .collect();
    let mut wanted: BTreeMap<String, (String, String)> = BTreeMap::new();
    let (mut sent, mut answered) = (0usize, 0usize);
    let mut stale = 0;
    let mut next_fault = 0.5;
    let mut pause = tokio::time::interval(Duration::from_millis(4));
    while began.elapsed() < length {
        pause.tick().await;
        while client.answers.try_recv().is_ok() {
            answered += 1;
        }
        let user = chance.below(users.len());
        let side = if chance.unit() < 0.1 {
            sides[chance.below(2)]
        } else {
            users[user].1
        };
        let id = format!("{seed}-{sent}");
        wanted.insert(id.clone(), (users[user].0.clone(), side.to_string()));
        client
            .calls
            .send(call(&id, &users[user].0, &format!("{side}-map")))
            .await
            .expect("running");
        sent += 1;
        if chance.unit() < 0.02 {
            // Moved at one server; the other may not hear of it until its fault is over.
            let to = if users[user].1 == "north" {
                "south"
            } else {
                "north"
            };
            let name = |side: &str| format!("uid={},ou={side},dc=example", users[user].0);
            for (n, server) in servers.iter().enumerate() {
                if n != stale {
                    server.move_to(&name(users[user].1), &format!("ou={to},dc=example"));
                }
            }
            users[user].1 = to;
            history
                .entry(users[user].0.clone())
                .or_default()
                .push((wall_ns(), to));
        }
        if began.elapsed().as_secs_f64() > next_fault {
            next_fault += 0.4;
            for server in &servers {
                server.set_faults(|f| *f = Default::default());
            }
            let one = &servers[chance.below(2)];
            match chance.below(8) {
                0 => one.set_faults(|f| f.silent = true),
                1 => one.set_faults(|f| f.delay = Duration::from_millis(290)),
                2 => one.set_faults(|f| f.drop_every = 2),
                3 => one.set_faults(|f| f.wrong = true),
                4 => one.set_faults(|f| f.loading = true),
                5 => one.cut(),
                6 => servers.iter().for_each(|s| s.set_faults(|f| f.busy = true)),
                _ => {
                    // The stale one hears of everything it missed, and the other falls behind.
                    servers[stale].copy_from(&servers[1 - stale]);
                    stale = 1 - stale;
                }
            }
        }
    }
    while answered < sent {
        answer(&mut client).await;
        answered += 1;
    }
    // The bound that the settings state is the hard one, 1 s, counted from when a server that can be reached knows: half
    // of `fresh` until it is heard, after up to 400 ms of a fault and 600 ms of its breaker. Then the way to a worker, on a machine that is busy.
    let bound = Duration::from_secs(4).as_nanos() as u64;
    let mut crossings = Vec::new();
    for (at, request, function) in stage.sent() {
        let (user, asked) = &wanted[&request];
        let side = function.strip_suffix("-map").unwrap_or_default();
        let spans = &history[user];
        let was_there = spans.iter().enumerate().any(|(n, (from, s))| {
            let until = spans.get(n + 1).map_or(u64::MAX, |next| next.0);
            *s == side && *from <= at && until.saturating_add(bound) >= at
        });
        if !was_there || asked != side {
            crossings.push(format!("{request} of {user} ran {function}"));
        }
    }
    (sent, stage.sent().len(), crossings)
}

/// `PIPITHUB_SEEDS` sets how many days are run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_call_crosses_tenants_on_days_of_moves_faults_and_stale_replicas() {
    let seeds: u64 = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(4);
    let mut days = tokio::task::JoinSet::new();
    let (mut calls, mut runs) = (0, 0);
    let mut crossings = Vec::new();
    for seed in 0..seeds {
        if days.len() >= 4
            && let Some(Ok((sent, ran, crossed))) = days.join_next().await
        {
            (calls, runs) = (calls + sent, runs + ran);
            crossings.extend::<Vec<String>>(crossed);
        }
        days.spawn(day(seed, Duration::from_secs(8)));
    }
    while let Some(day) = days.join_next().await {
        let (sent, ran, crossed) = day.expect("a day ends");
        (calls, runs) = (calls + sent, runs + ran);
        crossings.extend(crossed);
    }
    println!(
        "{seeds} days, {calls} calls, {runs} sent, {} crossings",
        crossings.len()
    );
    assert!(crossings.is_empty(), "{crossings:?}");
    assert!(
        runs * 2 > calls,
        "only {runs} of {calls} were sent: the days show nothing"
    );
}
