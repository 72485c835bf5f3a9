//! Simulated clusters: what is believed while processes die, stall, lose their disks and links fail. The true state is
//! known to the simulation, not taken from the processes under test.

use pipithub_membership::{DiskState, Event, JoinState, MemberState, Settings, Time};
use pipithub_membership_sim::{Fleet, Opinions};
use pipithub_simnet::Link;

const SECOND: Time = 1_000_000_000;

fn settings(cluster: &str) -> Settings {
    Settings {
        cluster: cluster.into(),
        ..Settings::default()
    }
}

fn fleet(size: usize, seed: u64, usual: Link) -> Fleet {
    Fleet::new(size, 3, 3.min(size), seed, settings("campus"), usual)
}

fn started(size: usize, seed: u64, usual: Link) -> Fleet {
    let mut fleet = fleet(size, seed, usual);
    (0..size).for_each(|n| fleet.start(n).unwrap());
    fleet.run_for(20 * SECOND);
    assert!(fleet.has_converged(), "seed {seed}: not joined");
    fleet
}

fn opinions(down: usize, active: usize) -> Opinions {
    Opinions { down, active }
}

fn down_events(fleet: &Fleet, of: usize) -> usize {
    let name = format!("front-{of}");
    let down = |e: &Event| matches!(e, Event::Down { member, .. } if member.identity.name == name);
    fleet.history.iter().filter(|t| down(&t.event)).count()
}

#[test]
fn all_that_start_at_once_converge_and_detect_a_death() {
    let mut fleet = started(12, 1, Link::default());
    fleet.kill(5);
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.opinions(5), opinions(11, 0));
    assert!(fleet.has_converged());
    assert!(
        (0..12)
            .filter(|n| *n != 5)
            .all(|n| down_events(&fleet, n) == 0),
        "somebody else was held for dead"
    );
}

#[test]
fn a_member_that_leaves_is_down_at_once_and_was_never_suspected() {
    let mut fleet = started(9, 2, Link::default());
    fleet.leave(4);
    fleet.run_for(3 * SECOND);
    assert_eq!(fleet.opinions(4), opinions(8, 0));
    let suspected = |e: &Event| {
        matches!(
            e,
            Event::Down {
                suspected: true,
                ..
            } | Event::Suspected(_)
        )
    };
    assert!(!fleet.history.iter().any(|t| suspected(&t.event)));
}

#[test]
fn a_restarted_process_is_another_run_for_everybody() {
    let mut fleet = started(7, 3, Link::default());
    let before = fleet.view(3).unwrap().local;
    fleet.kill(3);
    fleet.start(3).unwrap();
    fleet.run_for(15 * SECOND);
    let after = fleet.view(3).unwrap().local;
    assert_eq!(
        (after.generation, after.disk),
        (before.generation + 1, DiskState::Intact)
    );
    assert!(fleet.has_converged());
    for n in (0..7).filter(|n| *n != 3) {
        let view = fleet.view(n).unwrap();
        let row = view
            .members
            .iter()
            .find(|m| m.identity.name == "front-3")
            .unwrap();
        assert!(row.identity.same_run(&after) && row.state == MemberState::Alive);
    }
}

#[test]
fn a_stale_disk_is_recognised_and_its_generation_is_not_used_again() {
    let mut fleet = started(7, 4, Link::default());
    let old = fleet.disk(3).clone();
    for _ in 0..3 {
        fleet.kill(3);
        fleet.start(3).unwrap();
        fleet.run_for(10 * SECOND);
    }
    let last = fleet.view(3).unwrap().local.generation;
    fleet.kill(3);
    fleet.run_for(40 * SECOND);
    *fleet.disk(3) = old;
    fleet.history.clear();
    fleet.start(3).unwrap();
    fleet.run_for(10 * SECOND);
    let me = fleet.view(3).unwrap().local;
    assert_eq!((me.generation, me.disk), (last + 1, DiskState::Stale));
    assert!(fleet.history.iter().any(|t| t.observer == 3
        && t.event
            == Event::StaleDisk {
                disk: 2,
                seen: last
            }));
    assert!(fleet.has_converged());
    // The others know it too: nobody may rely on what this member once stored.
    let view = fleet.view(0).unwrap();
    assert!(
        view.members
            .iter()
            .any(|m| m.identity.name == "front-3" && m.identity.disk == DiskState::Stale)
    );
}

/// Seed 5 of `scenarios/members.kdl`: the cluster still sent to the dead run's address, and the run from the stale disk
/// that listened there became a member before any seed could say that its generation was used.
#[test]
fn a_run_from_a_stale_disk_does_not_join_through_messages_to_its_former_run() {
    for seed in 0..5 {
        let mut fleet = started(5, seed, Link::default());
        let old = fleet.disk(4).clone().map(|_| {
            let generation = 0;
            pipithub_membership::GenerationRecord {
                cluster: "campus".into(),
                name: "front-4".into(),
                generation,
            }
            .encode()
        });
        fleet.kill(4);
        fleet.run_for(40 * SECOND);
        *fleet.disk(4) = old;
        // Its join request is delayed; what the others send to its former run is not.
        (0..5).for_each(|n| fleet.network.link(4, n).cut = true);
        fleet.start(4).unwrap();
        fleet.run_for(30 * SECOND);
        assert_ne!(
            fleet.view(4).unwrap().join_state,
            JoinState::Joined,
            "seed {seed}: drawn in"
        );
        (0..5).for_each(|n| fleet.network.link(4, n).cut = false);
        fleet.run_for(20 * SECOND);
        let me = fleet.view(4).unwrap().local;
        assert_eq!(
            (me.generation, me.disk),
            (2, DiskState::Stale),
            "seed {seed}"
        );
        assert!(fleet.has_converged(), "seed {seed}");
    }
}

#[test]
fn an_empty_disk_is_distinguished_from_a_stale_one() {
    let mut fleet = started(5, 5, Link::default());
    fleet.kill(2);
    fleet.run_for(40 * SECOND);
    *fleet.disk(2) = None;
    fleet.start(2).unwrap();
    fleet.run_for(10 * SECOND);
    let me = fleet.view(2).unwrap().local;
    assert_eq!((me.generation, me.disk), (2, DiskState::Empty));
    assert!(fleet.has_converged());
}

#[test]
fn of_two_processes_with_one_name_one_waits_until_the_other_is_gone() {
    for seed in 0..6 {
        let mut fleet = fleet(7, seed, Link::default());
        fleet.rename(6, "front-1");
        (0..6).for_each(|n| fleet.start(n).unwrap());
        fleet.run_for(20 * SECOND);
        // A copy of the folder from before the first start took its generation: both take the same one.
        *fleet.disk(6) = None;
        fleet.start(6).unwrap();
        fleet.run_for(60 * SECOND);
        let joined = |n: usize| fleet.view(n).unwrap().join_state == JoinState::Joined;
        assert!(
            joined(1) != joined(6),
            "seed {seed}: both take part, or none"
        );
        let (stays, waits) = if joined(1) { (1, 6) } else { (6, 1) };
        assert!(
            matches!(
                fleet.view(waits).unwrap().join_state,
                JoinState::DuplicateIdentity(_)
            ),
            "seed {seed}"
        );
        fleet.kill(stays);
        fleet.run_for(60 * SECOND);
        let view = fleet.view(waits).unwrap();
        assert_eq!(view.join_state, JoinState::Joined, "seed {seed}");
        assert!(
            view.local.generation > 1 && view.local.disk != DiskState::Intact,
            "seed {seed}: {:?}",
            view.local
        );
    }
}

#[test]
fn a_stalled_process_declares_nobody_dead_when_it_resumes() {
    for seed in 0..5 {
        let mut fleet = started(8, seed, Link::default());
        fleet.network.set_paused(2, true);
        fleet.run_for(40 * SECOND);
        assert_eq!(
            fleet.opinions(2),
            opinions(7, 0),
            "the others did not find it dead"
        );
        let at = fleet.network.now();
        // What had arrived is lost, as from a buffer that overflowed: only the timers are left.
        fleet.history.clear();
        fleet.network.set_paused(2, false);
        fleet.run_for(20 * SECOND);
        let told = |n: usize| fleet.history.iter().filter(move |t| t.observer == n);
        assert!(told(2).any(|t| t.at == at && matches!(t.event, Event::Stalled { .. })));
        assert!(
            !told(2).any(|t| matches!(t.event, Event::Down { .. })),
            "seed {seed}: it held others for dead"
        );
        assert!(fleet.has_converged(), "seed {seed}: it did not come back");
        assert!(fleet.view(2).unwrap().local.renewal > 0);
    }
}

#[test]
fn a_view_shows_when_any_member_was_last_heard() {
    let mut fleet = started(6, 7, Link::default());
    let others: Vec<usize> = (1..6).collect();
    for n in &others {
        fleet.network.link(*n, 0).cut = true;
    }
    fleet.run_for(30 * SECOND);
    assert!(fleet.view(0).unwrap().age().unwrap() > 29 * SECOND);
    assert!(fleet.view(1).unwrap().age().unwrap() < 3 * SECOND);
}

#[test]
fn both_halves_of_a_partition_see_the_other_down_and_reunite() {
    for seed in 0..4 {
        let mut fleet = started(10, seed, Link::default());
        let (one, other): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (5..10).collect());
        fleet.network.set_partition(&one, &other, true);
        fleet.run_for(60 * SECOND);
        assert_eq!(fleet.view(0).unwrap().active().count(), 4);
        assert_eq!(fleet.view(9).unwrap().active().count(), 4);
        fleet.network.set_partition(&one, &other, false);
        fleet.run_for(60 * SECOND);
        assert!(fleet.has_converged(), "seed {seed}: not one fleet again");
    }
}

#[test]
fn a_link_cut_one_way_or_flapping_brings_nobody_down() {
    for seed in 0..4 {
        let mut fleet = started(8, seed, Link::default());
        fleet.network.link(1, 2).cut = true;
        fleet.network.link(4, 5).cut = true;
        for round in 0..20 {
            fleet.network.set_partition(&[6], &[7], round % 2 == 0);
            fleet.run_for(2 * SECOND);
        }
        assert!((0..8).all(|n| down_events(&fleet, n) == 0), "seed {seed}");
    }
}

#[test]
fn datagrams_of_another_cluster_are_rejected() {
    let mut fleet = started(4, 8, Link::default());
    let mut other = Fleet::new(1, 1, 0, 9, settings("elsewhere"), Link::default());
    other.start(0).unwrap();
    // A process of the other cluster asks a seed of this one.
    let hello = {
        let mut asking = Fleet::new(2, 1, 1, 9, settings("elsewhere"), Link::default());
        asking.start(1).unwrap();
        let mut messages = Vec::new();
        while let Some(next) = asking.network.next_event(SECOND) {
            if let pipithub_simnet::NetworkEvent::Delivery { message, .. } = next {
                messages.push(message);
            } else {
                asking.handle(1, pipithub_membership::Input::Tick);
            }
        }
        messages
    };
    assert!(!hello.is_empty());
    let from = pipithub_membership_sim::address(40);
    for bytes in &hello {
        fleet.handle(0, pipithub_membership::Input::Datagram { from, bytes });
    }
    fleet.run_for(5 * SECOND);
    assert!(
        fleet
            .view(0)
            .unwrap()
            .members
            .iter()
            .all(|m| m.identity.address != from)
    );
    let refused = |e: &Event| {
        matches!(
            e,
            Event::DatagramsRejected {
                reason: pipithub_membership::RejectReason::OtherCluster,
                ..
            }
        )
    };
    assert_eq!(
        fleet.history.iter().filter(|t| refused(&t.event)).count(),
        1,
        "told once, not for each"
    );
}

#[test]
fn dead_seeds_are_asked_until_one_is_back() {
    let mut fleet = Fleet::new(6, 2, 5, 11, settings("campus"), Link::default());
    fleet.start(5).unwrap();
    fleet.run_for(60 * SECOND);
    assert_eq!(fleet.view(5).unwrap().join_state, JoinState::Alone);
    fleet.start(3).unwrap();
    fleet.run_for(12 * SECOND);
    assert!(fleet.has_converged() && fleet.view(5).unwrap().join_state == JoinState::Joined);
}

#[test]
fn nothing_is_sent_under_a_generation_that_is_not_on_disk() {
    let mut fleet = fleet(4, 12, Link::default());
    (0..3).for_each(|n| fleet.start(n).unwrap());
    fleet.set_disk_failed(3, true);
    fleet.start(3).unwrap();
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.sent_bytes[3], 0);
    assert_eq!(
        fleet.view(3).unwrap().join_state,
        JoinState::SavingGeneration
    );
    assert_eq!(fleet.opinions(3), opinions(0, 0));
}

#[test]
fn half_of_all_restarted_at_once_are_one_fleet_again() {
    let mut fleet = started(14, 13, Link::default());
    (0..7).for_each(|n| fleet.kill(n));
    (0..7).for_each(|n| fleet.start(n).unwrap());
    fleet.run_for(30 * SECOND);
    assert!(fleet.has_converged());
}

/// Seed 1258 of the random scenarios.
#[test]
fn a_member_that_stalled_while_all_others_restarted_finds_them_again() {
    for seed in 0..10 {
        let mut fleet = started(6, seed, Link::default());
        fleet.network.set_paused(5, true);
        fleet.run_for(8 * SECOND);
        // It resumes, learns that it was declared dead, and renews its identity; those whom it then tells are gone.
        (0..5).for_each(|n| fleet.kill(n));
        (0..5).for_each(|n| *fleet.disk(n) = None);
        fleet.network.set_paused(5, false);
        fleet.run_for(2 * SECOND);
        (0..5).for_each(|n| fleet.start(n).unwrap());
        fleet.run_for(90 * SECOND);
        assert!(fleet.has_converged(), "seed {seed}");
    }
}

#[test]
fn lost_datagrams_bring_nobody_down() {
    let lossy = Link {
        loss: 0.05,
        duplication: 0.02,
        jitter: 20_000_000,
        ..Link::default()
    };
    let mut fleet = started(10, 14, lossy);
    fleet.run_for(120 * SECOND);
    assert!((0..10).all(|n| down_events(&fleet, n) == 0));
}
