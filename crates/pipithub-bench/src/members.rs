//! What membership costs and how soon it knows, in simulated time over the very cores.

use pipithub_fleetsim::Fleet;
use pipithub_members::{Event, Settings, Time};
use pipithub_simnet::Link;

const SECOND: Time = 1_000_000_000;

/// One line for each size of fleet and share of lost datagrams.
pub fn run(sizes: &[usize], seeds: u64) {
    println!(
        "members   loss  together  found: first  all   suspected  false deaths  bytes/s a member   ({seeds} seeds each, 60 s)"
    );
    for size in sizes {
        for loss in [0.0, 0.01, 0.05, 0.2] {
            let rows: Vec<Row> = (0..seeds).map(|seed| one(*size, loss, seed)).collect();
            let mean = |f: fn(&Row) -> f64| rows.iter().map(f).sum::<f64>() / rows.len().max(1) as f64;
            let worst = |f: fn(&Row) -> f64| rows.iter().map(f).fold(0.0, f64::max);
            println!(
                "{size:>7} {:>5.0}% {:>7.1} s {:>9.1} s {:>6.1} s {:>9.1} {:>12.2} {:>16.0}   (all at worst {:.1} s)",
                loss * 100.0,
                mean(|r| r.together),
                mean(|r| r.first),
                mean(|r| r.all),
                mean(|r| r.suspected),
                mean(|r| r.deaths),
                mean(|r| r.bytes),
                worst(|r| r.all)
            );
        }
    }
}

struct Row {
    together: f64,
    first: f64,
    all: f64,
    suspected: f64,
    deaths: f64,
    bytes: f64,
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

fn one(size: usize, loss: f64, seed: u64) -> Row {
    let settings = Settings { cluster: "bench".into(), ..Settings::default() };
    let usual = Link { loss, jitter: 3_000_000, ..Link::default() };
    let mut fleet = Fleet::new(size, 3, 3, seed, settings, usual);
    (0..size).filter(|n| fleet.start(*n).is_err()).for_each(|n| eprintln!("member {n} did not start"));
    let begun = fleet.net.now();
    while !fleet.agreed() && fleet.net.now() < begun + 300 * SECOND {
        fleet.run_for(SECOND / 4);
    }
    let together = seconds(fleet.net.now() - begun);
    fleet.run_for(10 * SECOND);
    fleet.history.clear();
    let before: u64 = fleet.bytes.iter().sum();
    fleet.run_for(60 * SECOND);
    let bytes = (fleet.bytes.iter().sum::<u64>() - before) as f64 / 60.0 / size as f64;
    let count = |f: fn(&Event) -> bool| fleet.history.iter().filter(|t| f(&t.event)).count() as f64;
    let suspected = count(|e| matches!(e, Event::Suspected(_))) / size as f64;
    let deaths = count(|e| matches!(e, Event::Down { .. })) / size as f64;
    fleet.kill(size - 1);
    let died = fleet.net.now();
    let (mut first, mut all) = (None, None);
    while all.is_none() && fleet.net.now() < died + 300 * SECOND {
        fleet.run_for(SECOND / 10);
        let (dead, there) = fleet.opinions(size - 1);
        if dead > 0 {
            first = first.or(Some(fleet.net.now()));
        }
        if there == 0 {
            all = Some(fleet.net.now());
        }
    }
    let since = |t: Option<Time>| seconds(t.unwrap_or(died + 300 * SECOND) - died);
    Row { together, first: since(first), all: since(all), suspected, deaths, bytes }
}
