//! Random faults in simulated clusters, which must end as one cluster once all faults are gone.

use pipithub_membership::{JoinState, Settings, Time, View};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;
use rand::RngExt;

const SECOND: Time = 1_000_000_000;

fn fleet(size: usize, seed: u64, usual: Link) -> Fleet {
    let settings = Settings {
        cluster: "campus".into(),
        ..Settings::default()
    };
    Fleet::new(size, 3, 3.min(size), seed, settings, usual)
}

/// Random cuts, pauses, kills and restarts with intact, stale and empty disks; then all faults end.
fn random_fault_scenario(seed: u64) -> Result<(), String> {
    let size = 7;
    let mut fleet = fleet(
        size,
        seed,
        Link {
            loss: 0.02,
            jitter: 10_000_000,
            ..Link::default()
        },
    );
    (0..size).for_each(|n| fleet.start(n).unwrap());
    let mut kept: Vec<Option<String>> = vec![None; size];
    let mut numbers: Vec<Vec<(u64, u64)>> = vec![Vec::new(); size];
    for _ in 0..25 {
        let (n, other, what) = {
            let rng = &mut fleet.network.rng;
            (
                rng.random_range(0..size),
                rng.random_range(0..size),
                rng.random_range(0..9u32),
            )
        };
        match what {
            0 | 1 => fleet.kill(n),
            2 if !fleet.is_running(n) => fleet.start(n).unwrap(),
            3 if !fleet.is_running(n) => {
                fleet.disk(n).clone_from(&kept[n]);
                fleet.start(n).unwrap();
            }
            4 => kept[n].clone_from(fleet.disk(n)),
            5 => fleet.network.link(n, other).cut = true,
            6 => fleet.network.heal(),
            7 => fleet.network.set_paused(n, true),
            _ => fleet.network.set_paused(n, false),
        }
        let wait = fleet.network.rng.random_range(1..9u64);
        fleet.run_for(wait * SECOND);
        for (n, seen) in numbers.iter_mut().enumerate() {
            let Some(view) = fleet.view(n).filter(|v| v.join_state == JoinState::Joined) else {
                continue;
            };
            let run = (view.local.generation, view.local.boot_id);
            if !seen.contains(&run) {
                seen.push(run);
            }
        }
    }
    fleet.network.heal();
    for n in 0..size {
        fleet.network.set_paused(n, false);
        if !fleet.is_running(n) {
            fleet.start(n).unwrap();
        }
    }
    fleet.run_for(120 * SECOND);
    if !fleet.has_converged() {
        let stands = |n| {
            fleet
                .view(n)
                .map(|v| (v.join_state.clone(), v.active().count()))
        };
        return Err(format!(
            "not one fleet again: {:?}",
            (0..size).map(stands).collect::<Vec<_>>()
        ));
    }
    let joined = |n: &usize| {
        fleet
            .view(*n)
            .is_some_and(|v| v.join_state == JoinState::Joined)
    };
    if let Some(n) = (0..size).find(|n| !joined(n)) {
        return Err(format!(
            "{n} stands {:?}",
            fleet.view(n).map(|v| v.join_state)
        ));
    }
    for n in 0..size {
        let me = fleet.view(n).map(|v| v.local).ok_or("gone")?;
        let wrong = |v: &View| {
            v.active()
                .any(|m| m.identity.name == me.name && !m.identity.same_run(&me))
        };
        if (0..size).filter_map(|o| fleet.view(o)).any(|v| wrong(&v)) {
            return Err(format!("{n} is taken for a former self"));
        }
    }
    Ok(())
}

#[test]
fn random_fault_scenarios_end_as_one_cluster() {
    for seed in 0..15 {
        random_fault_scenario(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

/// A long run, by hand: `PIPITHUB_SEEDS=1000 cargo test --release -p pipithub-membership -- --ignored`.
#[test]
#[ignore = "long: a command, not part of CI"]
fn many_random_fault_scenarios_end_as_one_cluster() {
    let seeds = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1_000);
    for seed in 1_000..1_000 + seeds {
        random_fault_scenario(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}
