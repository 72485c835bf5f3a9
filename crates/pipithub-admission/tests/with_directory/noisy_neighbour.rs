//! A tenant that asks for far more than its quota while the fleet has lost half of its workers.

use std::collections::BTreeMap;

use pipithub_admission::{Admission, Completion, ServiceResult};
use pipithub_directory::{TenantId, Time};

use crate::simulation::{Admitted, MS, S, Simulation, admission_settings};

const SERVICE_TIME: Time = 50 * MS;
/// A call that would wait longer for a worker is rejected.
const MAX_WORKER_WAIT: Time = 100 * MS;
/// Calls below this number only make the users known.
const FIRST_CALL: u64 = 10;
const USERS: [&str; 2] = ["mai", "lan"];

/// A fleet of workers that each serve one call at a time. Two tenants call it.
struct Fleet {
    simulation: Simulation,
    /// Whether admission holds the tenants to their quotas; otherwise every call is admitted.
    enforces_quotas: bool,
    /// When each worker is free.
    free_at: Vec<Time>,
    /// The running calls by the time of their end.
    running: BTreeMap<(Time, u64), TenantId>,
    next_call: u64,
    offered: [u64; 2],
    served: [u64; 2],
}

impl Fleet {
    fn new(enforces_quotas: bool) -> Self {
        let mut simulation = Simulation::new(&[1], |_, _| {});
        simulation.admission = Admission::new(admission_settings(64, 400.0));
        simulation.change_servers(0, |server| {
            server.put(USERS[0], "north", 1);
            server.put(USERS[1], "south", 1);
        });
        simulation.call(0, USERS[0]);
        simulation.call(1, USERS[1]);
        simulation.run_until(S);
        Fleet {
            simulation,
            enforces_quotas,
            free_at: vec![0; 40],
            running: BTreeMap::new(),
            next_call: FIRST_CALL,
            offered: [0; 2],
            served: [0; 2],
        }
    }

    fn call(&mut self, tenant: usize) {
        if self.enforces_quotas {
            self.simulation.call(self.next_call, USERS[tenant]);
        } else {
            let admitted = Admitted {
                tenant: TenantId(tenant as u16),
                waited: 0,
            };
            self.simulation.admitted.insert(self.next_call, admitted);
        }
        self.offered[tenant] += 1;
        self.next_call += 1;
    }

    fn finish_calls(&mut self, now: Time) {
        let due = self.running.range(..(now + 1, 0));
        let ended: Vec<((Time, u64), TenantId)> =
            due.map(|(key, tenant)| (*key, *tenant)).collect();
        let mut outputs = Vec::new();
        for (key, tenant) in ended {
            self.running.remove(&key);
            self.complete(
                now,
                tenant,
                ServiceResult::Served,
                SERVICE_TIME,
                &mut outputs,
            );
            self.served[usize::from(tenant.0)] += 1;
        }
        self.simulation.handle_admission(outputs);
    }

    /// Starts admitted calls on the workers that are free first, and rejects those that would wait for too long.
    fn start_calls(&mut self, now: Time) {
        while let Some((call, admitted)) = self.next_admitted() {
            self.simulation.admitted.remove(&call);
            let Some(free_at) = self.free_at.iter_mut().min() else {
                return;
            };
            let start = (*free_at).max(now);
            let mut outputs = Vec::new();
            if start > now + MAX_WORKER_WAIT {
                let result = ServiceResult::NoWorkerInTime;
                self.complete(now, admitted.tenant, result, 0, &mut outputs);
            } else {
                *free_at = start + SERVICE_TIME;
                self.running.insert((*free_at, call), admitted.tenant);
            }
            self.simulation.handle_admission(outputs);
        }
    }

    fn next_admitted(&self) -> Option<(u64, Admitted)> {
        let mut calls = self.simulation.admitted.range(FIRST_CALL..);
        calls.next().map(|(call, admitted)| (*call, *admitted))
    }

    fn complete(
        &mut self,
        now: Time,
        tenant: TenantId,
        result: ServiceResult,
        service_time: Time,
        outputs: &mut Vec<pipithub_admission::Output<u64>>,
    ) {
        if !self.enforces_quotas {
            return;
        }
        let completion = Completion {
            tenant,
            result,
            service_time,
        };
        let roster = self.simulation.directory.roster();
        self.simulation
            .admission
            .completed(now, roster, completion, outputs);
    }

    /// Runs the fleet for 30 s and returns the fraction of each tenant's calls that was served.
    ///
    /// Each tenant makes 160 calls a second, the second one `burst_factor` times as many from 5 s to 25 s. The fleet
    /// serves 800 calls a second, and 400 after it loses half of its workers at 12 s; the quota of each tenant is half
    /// of that.
    fn run(mut self, burst_factor: usize) -> [f64; 2] {
        for ms in 0..30_000 {
            let now = S + ms * MS;
            self.simulation.run_until(now);
            if ms == 12_000 {
                self.free_at.truncate(20);
            }
            if ms % 25 < 4 {
                self.call(0);
                let is_burst = (5_000..25_000).contains(&ms);
                let calls = if is_burst { burst_factor } else { 1 };
                (0..calls).for_each(|_| self.call(1));
            }
            self.finish_calls(now);
            self.start_calls(now);
        }
        [0, 1].map(|tenant| self.served[tenant] as f64 / self.offered[tenant] as f64)
    }
}

/// A tenant makes 13 times its usual calls while half of the fleet is lost.
#[test]
fn noisy_neighbour_costs_the_other_tenant_less_than_two_percent_of_its_answers() {
    let [baseline, _] = Fleet::new(true).run(1);
    let [during_burst, noisy] = Fleet::new(true).run(13);
    let [without_quotas, _] = Fleet::new(false).run(13);
    println!(
        "served of the other tenant: baseline {baseline:.4}, during the burst {during_burst:.4}, without quotas {without_quotas:.4}; \
         of the noisy one {noisy:.4}"
    );
    assert!(baseline > 0.99, "{baseline}");
    assert!(
        baseline - during_burst < 0.02,
        "baseline {baseline:.4}, during the burst {during_burst:.4}"
    );
    assert!(
        without_quotas < 0.9,
        "the load is too low for quotas to matter: {without_quotas:.4} without quotas"
    );
}
