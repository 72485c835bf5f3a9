//! Which of two runs with one name has the higher rank.

use std::net::SocketAddr;

use foca::Identity as _;

use super::{DiskState, Identity};

fn run(generation: u64, boot_id: u64) -> Identity {
    Identity {
        name: "front-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        zone: "a".into(),
        generation,
        boot_id,
        renewal: 0,
        disk: DiskState::Intact,
    }
}

#[test]
fn later_generation_wins_whatever_the_boot_id() {
    assert!(run(3, 1).win_addr_conflict(&run(2, 9)));
    assert!(!run(2, 9).win_addr_conflict(&run(3, 1)));
}

#[test]
fn renewals_do_not_displace_a_run_with_a_higher_boot_id() {
    let (low, high) = (run(3, 1), run(3, 2));
    let renewed = (0..100).fold(low, |identity, _| identity.renew().unwrap());
    assert!(high.win_addr_conflict(&renewed) && !renewed.win_addr_conflict(&high));
    assert!(!renewed.same_run(&high));
}
