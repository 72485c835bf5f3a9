//! How processes join: through which seeds, and only after their generation is saved. Datagrams of another cluster are
//! rejected.

use pipithub_membership::{Event, Input, JoinState, RejectReason};
use pipithub_membership_sim::Fleet;
use pipithub_simnet::{Link, NetworkEvent};

use super::{SECOND, fleet, joined_fleet, settings, state_counts};

/// The datagrams that a process of another cluster sends to a seed within a second.
fn join_requests_of_another_cluster() -> Vec<Vec<u8>> {
    let mut other = Fleet::new(2, 1, 1, 9, settings("elsewhere"), Link::default());
    other.start(1).unwrap();
    let mut datagrams = Vec::new();
    while let Some(event) = other.network.next_event(SECOND) {
        match event {
            NetworkEvent::Delivery { message, .. } => datagrams.push(message),
            NetworkEvent::Timer(_) => other.handle(1, Input::Tick),
        }
    }
    datagrams
}

#[test]
fn datagrams_of_another_cluster_are_rejected_with_one_event() {
    let mut fleet = joined_fleet(4, 8, Link::default());
    let datagrams = join_requests_of_another_cluster();
    assert!(!datagrams.is_empty());
    let from = pipithub_membership_sim::address(40);
    for bytes in &datagrams {
        fleet.handle(0, Input::Datagram { from, bytes });
    }
    fleet.run_for(5 * SECOND);
    let view = fleet.view(0).unwrap();
    assert!(
        view.members
            .iter()
            .all(|member| member.identity.address != from)
    );
    let is_rejection = |event: &Event| {
        matches!(
            event,
            Event::DatagramsRejected {
                reason: RejectReason::OtherCluster,
                ..
            }
        )
    };
    let history = fleet.history.iter();
    assert_eq!(
        history
            .filter(|observed| is_rejection(&observed.event))
            .count(),
        1,
        "reported once, not for each datagram"
    );
}

#[test]
fn process_whose_seeds_are_dead_joins_once_a_seed_is_started() {
    let mut fleet = Fleet::new(6, 2, 5, 11, settings("campus"), Link::default());
    fleet.start(5).unwrap();
    fleet.run_for(60 * SECOND);
    assert_eq!(fleet.view(5).unwrap().join_state, JoinState::Alone);
    fleet.start(3).unwrap();
    fleet.run_for(12 * SECOND);
    assert!(fleet.has_converged() && fleet.view(5).unwrap().join_state == JoinState::Joined);
}

#[test]
fn process_sends_nothing_until_its_generation_is_on_disk() {
    let mut fleet = fleet(4, 12, Link::default());
    (0..3).for_each(|process| fleet.start(process).unwrap());
    fleet.set_disk_failed(3, true);
    fleet.start(3).unwrap();
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.sent_bytes[3], 0);
    assert_eq!(
        fleet.view(3).unwrap().join_state,
        JoinState::SavingGeneration
    );
    assert_eq!(fleet.state_counts(3), state_counts(0, 0));
}
