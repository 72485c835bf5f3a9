//! Users who change their tenant, their person or their directory.

use pipithub_admission::RejectReason;
use pipithub_directory::TenantId;

use crate::simulation::{MS, Rejection, S, Simulation, lifetimes};

/// One of two servers keeps answering with the former tenant.
#[test]
fn migrated_user_belongs_to_the_new_tenant_within_the_bound_though_a_server_is_stale() {
    for seed in 0..50 {
        let mut simulation = Simulation::seeded(&[2], seed, |_, _| {});
        simulation.change_servers(0, |server| {
            server.change_number = Some(10);
            server.put("mai", "north", 1);
        });
        simulation.call(0, "mai");
        simulation.run_until(S);
        assert_eq!(simulation.tenant("mai"), Some(0));
        let changed_at = simulation.now;
        let stale = (seed % 2) as usize;
        simulation.servers[0][1 - stale].change_number = Some(11);
        simulation.servers[0][1 - stale].put("mai", "south", 1);
        // The stale server is the faster one and is asked first.
        simulation.servers[0][stale].response_time = MS;
        simulation.servers[0][1 - stale].response_time = 20 * MS;
        let mut call = 1;
        let mut migrated_at = None;
        while simulation.now < changed_at + 600 * S {
            simulation.call(call, "mai");
            // Other users are looked up too, so that the front end learns of the newer change number.
            simulation.call(call + 1, &format!("x{call}"));
            call += 2;
            simulation.run_until(simulation.now + S);
            match simulation.tenant("mai") {
                Some(1) => migrated_at = migrated_at.or(Some(simulation.now)),
                tenant => assert!(
                    migrated_at.is_none(),
                    "seed {seed}: back to {tenant:?} at {}",
                    simulation.now / S
                ),
            }
        }
        let bound = 2 * lifetimes().fresh + 10 * S;
        assert!(
            migrated_at.is_some_and(|at| at <= changed_at + bound),
            "seed {seed}: {migrated_at:?}"
        );
        assert_eq!(
            simulation
                .migrated
                .iter()
                .filter(|user| &***user == "mai")
                .count(),
            1,
            "seed {seed}"
        );
    }
}

/// Without change numbers a stale server cannot be recognized, so a change is accepted only once two answers, some
/// seconds apart, agree on it.
#[test]
fn without_change_numbers_a_migration_is_accepted_only_when_confirmed() {
    let mut simulation = Simulation::new(&[1], |_, _| {});
    simulation.change_servers(0, |server| server.put("mai", "north", 1));
    simulation.call(0, "mai");
    simulation.run_until(61 * S);
    simulation.change_servers(0, |server| server.put("mai", "south", 1));
    simulation.call(1, "mai");
    simulation.run_until(simulation.now + 4 * S);
    assert_eq!(simulation.tenant("mai"), Some(0), "answered once");
    simulation.run_until(simulation.now + 5 * S);
    assert_eq!(simulation.tenant("mai"), Some(1), "answered twice");
}

#[test]
fn user_name_that_is_given_to_another_person_counts_as_migrated() {
    let mut simulation = Simulation::new(&[1], |_, _| {});
    simulation.change_servers(0, |server| {
        server.change_number = Some(1);
        server.put("mai", "north", 1);
    });
    simulation.call(0, "mai");
    simulation.run_until(61 * S);
    simulation.change_servers(0, |server| {
        server.change_number = Some(3);
        server.put("mai", "north", 2);
    });
    simulation.call(1, "mai");
    simulation.run_until(simulation.now + 4 * S);
    assert_eq!(
        (simulation.tenant("mai"), simulation.migrated.len()),
        (Some(0), 1)
    );
}

#[test]
fn calls_of_a_user_whom_two_tenants_have_are_rejected() {
    let mut simulation = Simulation::new(&[1, 1], |_, _| {});
    simulation.change_servers(0, |server| server.put("mai", "north", 1));
    simulation.change_servers(1, |server| {
        server.put("mai", "south", 2);
        server.put("lan", "south", 3);
    });
    simulation.call(0, "mai");
    simulation.call(1, "lan");
    simulation.run_until(S);
    simulation.call(2, "mai");
    // The first call may have been admitted once one directory had answered. After both have, no tenant is chosen.
    assert_eq!(
        simulation.rejected.get(&2),
        Some(&Rejection {
            reason: RejectReason::AmbiguousTenant,
            waited: 0
        })
    );
    assert_eq!(
        simulation.admitted.get(&1).map(|a| a.tenant),
        Some(TenantId(1))
    );
    // If one directory is unreachable, the other tenant does not become the only one.
    simulation.change_servers(0, |server| server.answers = false);
    simulation.run_until(300 * S);
    simulation.call(3, "mai");
    simulation.run_until(simulation.now + S);
    assert_eq!(
        simulation.rejected.get(&3).map(|r| r.reason),
        Some(RejectReason::AmbiguousTenant)
    );
}
