//! Simulated clusters whose processes crash, stall and lose their disks, and whose links fail. The checks compare
//! the reports of the processes with the true state, which the simulation knows.

mod failure_detection;
mod joining;
mod restarts;

use pipithub_membership::{Event, Settings, Time};
use pipithub_membership_sim::{Fleet, StateCounts};
use pipithub_simnet::Link;

const SECOND: Time = 1_000_000_000;
const ZONES: usize = 3;
const MAX_SEEDS: usize = 3;

fn settings(cluster: &str) -> Settings {
    Settings {
        cluster: cluster.into(),
        ..Settings::default()
    }
}

/// A cluster of `size` processes, none of them started.
fn fleet(size: usize, seed: u64, default_link: Link) -> Fleet {
    let seeds = MAX_SEEDS.min(size);
    Fleet::new(size, ZONES, seeds, seed, settings("campus"), default_link)
}

/// A cluster whose processes were all started at once and have all joined.
fn joined_fleet(size: usize, seed: u64, default_link: Link) -> Fleet {
    let mut fleet = fleet(size, seed, default_link);
    (0..size).for_each(|process| fleet.start(process).unwrap());
    fleet.run_for(20 * SECOND);
    assert!(fleet.has_converged(), "seed {seed}: not joined");
    fleet
}

fn state_counts(down: usize, active: usize) -> StateCounts {
    StateCounts { down, active }
}

/// How often a process was declared dead, over all observers.
fn down_events(fleet: &Fleet, process: usize) -> usize {
    let name = format!("front-{process}");
    let is_down =
        |event: &Event| matches!(event, Event::Down { member, .. } if member.identity.name == name);
    let history = fleet.history.iter();
    history.filter(|observed| is_down(&observed.event)).count()
}
