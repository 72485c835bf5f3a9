//! Members that crash, leave, stall or are cut off: who is declared dead, and who must not be.

use pipithub_membership::Event;
use pipithub_membership_sim::Fleet;
use pipithub_simnet::Link;

use super::{SECOND, down_events, joined_fleet, state_counts};

#[test]
fn cluster_started_at_once_converges_and_detects_a_killed_member() {
    let mut fleet = joined_fleet(12, 1, Link::default());
    fleet.kill(5);
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.state_counts(5), state_counts(11, 0));
    assert!(fleet.has_converged());
    let mut others = (0..12).filter(|process| *process != 5);
    assert!(
        others.all(|process| down_events(&fleet, process) == 0),
        "a running process was declared dead"
    );
}

#[test]
fn member_that_leaves_is_down_without_having_been_suspected() {
    let mut fleet = joined_fleet(9, 2, Link::default());
    fleet.leave(4);
    fleet.run_for(3 * SECOND);
    assert_eq!(fleet.state_counts(4), state_counts(8, 0));
    let suspected = |event: &Event| {
        matches!(
            event,
            Event::Down {
                suspected: true,
                ..
            } | Event::Suspected(_)
        )
    };
    assert!(
        !fleet
            .history
            .iter()
            .any(|observed| suspected(&observed.event))
    );
}

#[test]
fn stalled_process_declares_no_member_dead_when_it_resumes() {
    for seed in 0..5 {
        let mut fleet = joined_fleet(8, seed, Link::default());
        fleet.network.set_paused(2, true);
        fleet.run_for(40 * SECOND);
        assert_eq!(
            fleet.state_counts(2),
            state_counts(7, 0),
            "the others did not declare it dead"
        );
        let resumed_at = fleet.network.now();
        fleet.history.clear();
        fleet.network.set_paused(2, false);
        fleet.run_for(20 * SECOND);
        let observed_by = |process: usize| {
            let history = fleet.history.iter();
            history.filter(move |observed| observed.observer == process)
        };
        assert!(
            observed_by(2).any(|observed| observed.at == resumed_at
                && matches!(observed.event, Event::Stalled { .. }))
        );
        assert!(
            !observed_by(2).any(|observed| matches!(observed.event, Event::Down { .. })),
            "seed {seed}: it declared others dead"
        );
        assert!(fleet.has_converged(), "seed {seed}: it did not rejoin");
        assert!(fleet.view(2).unwrap().local.renewal > 0);
    }
}

/// The timers of suspicions are due when the process resumes, but the answers that refute the suspicions are still
/// unread.
#[test]
fn stalled_process_does_not_confirm_its_suspicions_when_it_resumes() {
    for seed in 0..5 {
        let mut fleet = joined_fleet(8, seed, Link::default());
        (0..8).for_each(|process| fleet.network.link(process, 2).cut = true);
        fleet.history.clear();
        let suspects = |fleet: &Fleet| {
            let mut history = fleet.history.iter();
            history.any(|observed| {
                observed.observer == 2 && matches!(observed.event, Event::Suspected(_))
            })
        };
        let limit = fleet.network.now() + 10 * SECOND;
        while !suspects(&fleet) && fleet.network.now() < limit {
            fleet.run_for(SECOND / 10);
        }
        assert!(suspects(&fleet), "seed {seed}: it suspects no member");
        fleet.network.set_paused(2, true);
        fleet.network.heal();
        fleet.run_for(40 * SECOND);
        fleet.history.clear();
        fleet.network.set_paused(2, false);
        fleet.run_for(20 * SECOND);
        let mut history = fleet.history.iter();
        assert!(
            !history.any(|observed| {
                observed.observer == 2 && matches!(observed.event, Event::Down { .. })
            }),
            "seed {seed}: it declared others dead"
        );
        assert!(fleet.has_converged(), "seed {seed}: it did not rejoin");
    }
}

#[test]
fn view_age_grows_while_no_message_is_received() {
    let mut fleet = joined_fleet(6, 7, Link::default());
    for process in 1..6 {
        fleet.network.link(process, 0).cut = true;
    }
    fleet.run_for(30 * SECOND);
    assert!(fleet.view(0).unwrap().age().unwrap() > 29 * SECOND);
    assert!(fleet.view(1).unwrap().age().unwrap() < 3 * SECOND);
}

#[test]
fn partitioned_halves_declare_each_other_dead_and_reunite_after_the_partition() {
    for seed in 0..4 {
        let mut fleet = joined_fleet(10, seed, Link::default());
        let (one, other): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (5..10).collect());
        fleet.network.set_partition(&one, &other, true);
        fleet.run_for(60 * SECOND);
        assert_eq!(fleet.view(0).unwrap().active().count(), 4);
        assert_eq!(fleet.view(9).unwrap().active().count(), 4);
        fleet.network.set_partition(&one, &other, false);
        fleet.run_for(60 * SECOND);
        assert!(fleet.has_converged(), "seed {seed}: not reunited");
    }
}

#[test]
fn one_way_cuts_and_a_flapping_link_cause_no_down_event() {
    for seed in 0..4 {
        let mut fleet = joined_fleet(8, seed, Link::default());
        fleet.network.link(1, 2).cut = true;
        fleet.network.link(4, 5).cut = true;
        for round in 0..20 {
            fleet.network.set_partition(&[6], &[7], round % 2 == 0);
            fleet.run_for(2 * SECOND);
        }
        assert!(
            (0..8).all(|process| down_events(&fleet, process) == 0),
            "seed {seed}"
        );
    }
}

#[test]
fn datagram_loss_causes_no_down_event() {
    let lossy = Link {
        loss: 0.05,
        duplication: 0.02,
        jitter: 20_000_000,
        ..Link::default()
    };
    let mut fleet = joined_fleet(10, 14, lossy);
    fleet.run_for(120 * SECOND);
    assert!((0..10).all(|process| down_events(&fleet, process) == 0));
}
