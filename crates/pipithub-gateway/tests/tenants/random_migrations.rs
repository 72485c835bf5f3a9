//! Runs drawn from seeds, with migrations of users, faults of directory servers and a stale replica. No call may run for
//! a tenant that its user does not belong to.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pipithub_emulator::clock::wall_ns;
use pipithub_emulator::directory::DirectoryServer;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::{Answer, Publish, QueueClient};
use pipithub_scenario::random::SplitMix64;

use crate::rig::{TestBed, answer, call, directory, tree};

const TENANTS: [&str; 2] = ["north", "south"];
const USERS: usize = 40;
const CALL_INTERVAL: Duration = Duration::from_millis(4);
/// The interval at which the faults of the directory servers change, in seconds.
const FAULT_INTERVAL: f64 = 0.4;
/// When the first fault begins, in seconds after the start.
const FIRST_FAULT: f64 = 0.5;
/// The part of the calls that are for a tenant drawn at random instead of their user's tenant.
const RANDOM_TENANT_SHARE: f64 = 0.1;
/// The part of the calls after which their user is migrated.
const MIGRATION_SHARE: f64 = 0.02;
/// The maximum number of runs at the same time.
const MAX_PARALLEL_RUNS: usize = 4;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// The number of served calls after which a run ends.
const SERVED_CALLS_PER_RUN: usize = 1_700;
/// The number of calls after which a run ends in any case. With too few served calls it proves too little, and the test
/// fails.
const MAX_CALLS_PER_RUN: usize = 10_000;
/// How long after a migration a call for the former tenant may still reach a worker.
///
/// The hard bound of the settings is 1 s (`stale-most`), counted from when a reachable server knows the change: half of
/// `fresh` until a state check sees it, after up to 400 ms of a fault and 600 ms of the server's circuit breaker. The
/// rest is for the way to a worker on a busy machine.
const MAX_MIGRATION_DELAY: Duration = Duration::from_secs(4);

/// When a directory was changed, in Unix nanoseconds. The thread that changes it may be preempted before and after the
/// change, so the change lies between two readings of the clock.
#[derive(Clone, Copy)]
struct ChangeTime {
    earliest: u64,
    latest: u64,
}

impl ChangeTime {
    const BEFORE_THE_RUN: ChangeTime = ChangeTime {
        earliest: 0,
        latest: 0,
    };

    /// Makes a change and reads the clock before and after it.
    fn of(change: impl FnOnce()) -> Self {
        let earliest = wall_ns();
        change();
        ChangeTime {
            earliest,
            latest: wall_ns(),
        }
    }
}

/// The tenant that a user belongs to, from a change of the directory on.
struct Membership {
    from: ChangeTime,
    tenant: &'static str,
}

struct User {
    name: String,
    tenant: &'static str,
    /// According to the entries of the newest server, in chronological order.
    memberships: Vec<Membership>,
}

impl User {
    fn new(number: usize) -> Self {
        let tenant = TENANTS[number % TENANTS.len()];
        User {
            name: format!("u{number}"),
            tenant,
            memberships: vec![Membership {
                from: ChangeTime::BEFORE_THE_RUN,
                tenant,
            }],
        }
    }

    /// Whether the user may have belonged to this tenant at `at` Unix nanoseconds, or may have left it at most
    /// [`MAX_MIGRATION_DELAY`] before.
    fn may_have_belonged_to(&self, tenant: &str, at: u64) -> bool {
        let bound = MAX_MIGRATION_DELAY.as_nanos() as u64;
        self.memberships
            .iter()
            .enumerate()
            .any(|(number, membership)| {
                let until = self
                    .memberships
                    .get(number + 1)
                    .map_or(u64::MAX, |next| next.from.latest);
                membership.tenant == tenant
                    && membership.from.earliest <= at
                    && until.saturating_add(bound) >= at
            })
    }

    /// Migrates the user to the other tenant; `migrate` gets the distinguished name of the user and that tenant.
    fn migrate(&mut self, migrate: impl FnOnce(&str, &str)) {
        let to = if self.tenant == TENANTS[0] {
            TENANTS[1]
        } else {
            TENANTS[0]
        };
        let dn = self.dn();
        let from = ChangeTime::of(|| migrate(&dn, to));
        self.tenant = to;
        self.memberships.push(Membership { from, tenant: to });
    }

    fn dn(&self) -> String {
        format!("uid={},ou={},dc=example", self.name, self.tenant)
    }
}

/// The user of a call, and the tenant whose function it requests.
struct RequestedCall {
    user: usize,
    tenant: &'static str,
}

#[derive(Default)]
struct RunResult {
    calls: usize,
    /// Calls that reached a worker.
    received: usize,
    /// Calls that were answered as served.
    served: usize,
    /// Calls that reached a worker for another tenant than they requested, or for one that their user had not belonged
    /// to within [`MAX_MIGRATION_DELAY`] before.
    violations: Vec<String>,
}

struct RandomRun {
    seed: u64,
    random: SplitMix64,
    users: Vec<User>,
    /// The index of the server that receives no migrations.
    stale: usize,
    requested: BTreeMap<String, RequestedCall>,
    answered: usize,
    served: usize,
    client: QueueClient,
    _gateway: Gateway,
    servers: [DirectoryServer; 2],
    test_bed: TestBed,
}

impl RandomRun {
    async fn start(seed: u64) -> RandomRun {
        let test_bed = TestBed::new(&format!("seed{seed}")).await;
        let users: Vec<User> = (0..USERS).map(User::new).collect();
        let entries: Vec<(String, &str)> =
            users.iter().map(|u| (u.name.clone(), u.tenant)).collect();
        let text = tree(&entries);
        let servers = [directory(&text, false).await, directory(&text, false).await];
        let config = test_bed.config(
            &[&servers[0], &servers[1]],
            "tls \"none\"; mark-attribute \"contextCSN\"; fresh \"200ms\"; stale-most \"1s\"; negative \"300ms\"; \
             time-out \"300ms\"; retry-first \"100ms\"; retry-most \"400ms\"; failures 2; rate 200",
            "",
        );
        RandomRun {
            seed,
            random: SplitMix64::new(seed),
            users,
            stale: 0,
            requested: BTreeMap::new(),
            answered: 0,
            served: 0,
            _gateway: Gateway::start(&config),
            client: test_bed.client(),
            servers,
            test_bed,
        }
    }

    /// Sends calls until enough were served, and waits until all are answered.
    async fn run(mut self) -> RunResult {
        let started = Instant::now();
        let mut next_fault = FIRST_FAULT;
        let mut call_interval = tokio::time::interval(CALL_INTERVAL);
        while self.served < SERVED_CALLS_PER_RUN && self.requested.len() < MAX_CALLS_PER_RUN {
            call_interval.tick().await;
            while let Ok(answer) = self.client.answers.try_recv() {
                self.count_answer(&answer);
            }
            let user = self.random.below(self.users.len());
            let call = self.draw_call(user);
            self.client.calls.send(call).await.expect("the client runs");
            if self.random.unit() < MIGRATION_SHARE {
                self.migrate_user(user);
            }
            if started.elapsed().as_secs_f64() > next_fault {
                next_fault += FAULT_INTERVAL;
                self.change_faults();
            }
        }
        while self.answered < self.requested.len() {
            let answer = answer(&mut self.client).await;
            self.count_answer(&answer);
        }
        RunResult {
            calls: self.requested.len(),
            received: self.test_bed.received_calls().len(),
            served: self.served,
            violations: self.violations(),
        }
    }

    fn count_answer(&mut self, answer: &Answer) {
        self.answered += 1;
        self.served += usize::from(answer.verdict == "served");
    }

    fn draw_call(&mut self, user: usize) -> Publish {
        let tenant = if self.random.unit() < RANDOM_TENANT_SHARE {
            TENANTS[self.random.below(2)]
        } else {
            self.users[user].tenant
        };
        let id = format!("{}-{}", self.seed, self.requested.len());
        let call = call(&id, &self.users[user].name, &format!("{tenant}-map"));
        self.requested.insert(id, RequestedCall { user, tenant });
        call
    }

    /// Migrates a user to the other tenant at the newest server; the stale server receives the change when it next
    /// catches up.
    fn migrate_user(&mut self, user: usize) {
        let newest = &self.servers[1 - self.stale];
        self.users[user].migrate(|dn, tenant| {
            newest.move_to(dn, &format!("ou={tenant},dc=example"));
        });
    }

    /// Ends the present faults of the directory servers, and begins another one.
    fn change_faults(&mut self) {
        for server in &self.servers {
            server.set_faults(|f| *f = Default::default());
        }
        let server = &self.servers[self.random.below(2)];
        match self.random.below(8) {
            0 => server.set_faults(|f| f.silent = true),
            1 => server.set_faults(|f| f.delay = Duration::from_millis(290)),
            2 => server.set_faults(|f| f.drop_every = 2),
            3 => server.set_faults(|f| f.wrong = true),
            4 => server.set_faults(|f| f.loading = true),
            5 => server.cut(),
            6 => self
                .servers
                .iter()
                .for_each(|s| s.set_faults(|f| f.busy = true)),
            _ => {
                // The stale server catches up with all changes, and the other one becomes stale.
                self.servers[self.stale].copy_from(&self.servers[1 - self.stale]);
                self.stale = 1 - self.stale;
            }
        }
    }

    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for call in self.test_bed.received_calls() {
            let requested = &self.requested[&call.request];
            let user = &self.users[requested.user];
            let tenant = call.function.strip_suffix("-map").unwrap_or_default();
            if !user.may_have_belonged_to(tenant, call.at_ns) || requested.tenant != tenant {
                violations.push(format!(
                    "{} of {} ran {}",
                    call.request, user.name, call.function
                ));
            }
        }
        violations
    }
}

async fn run_seed(seed: u64) -> RunResult {
    RandomRun::start(seed).await.run().await
}

/// Makes one run for each seed from 0, at most [`MAX_PARALLEL_RUNS`] at a time, and returns the sum of the results.
async fn run_seeds(seeds: u64) -> RunResult {
    let mut runs = tokio::task::JoinSet::new();
    let mut total = RunResult::default();
    let mut add = |run: RunResult| {
        total.calls += run.calls;
        total.received += run.received;
        total.served += run.served;
        total.violations.extend(run.violations);
    };
    for seed in 0..seeds {
        if runs.len() >= MAX_PARALLEL_RUNS
            && let Some(run) = runs.join_next().await
        {
            add(run.expect("the run ends"));
        }
        runs.spawn(run_seed(seed));
    }
    while let Some(run) = runs.join_next().await {
        add(run.expect("the run ends"));
    }
    total
}

/// `PIPITHUB_SEEDS` sets the number of runs; the default is 4.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_call_runs_for_another_tenant_during_migrations_faults_and_stale_replicas() {
    let seeds: u64 = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(4);
    let RunResult {
        calls,
        received,
        served,
        violations,
    } = run_seeds(seeds).await;
    println!(
        "{seeds} runs, {calls} calls, {received} received, {served} served, {} violations",
        violations.len()
    );
    assert!(violations.is_empty(), "{violations:?}");
    assert!(
        served >= seeds as usize * SERVED_CALLS_PER_RUN,
        "only {served} of {calls} were served: the runs prove too little"
    );
}

/// A user who was migrated from north to south between 10 and 11 seconds of Unix time.
fn migrated_user() -> User {
    let mut user = User::new(0);
    user.memberships.push(Membership {
        from: ChangeTime {
            earliest: 10 * NANOS_PER_SECOND,
            latest: 11 * NANOS_PER_SECOND,
        },
        tenant: TENANTS[1],
    });
    user
}

#[test]
fn call_for_former_tenant_is_a_violation_after_the_maximum_migration_delay() {
    let bound = MAX_MIGRATION_DELAY.as_nanos() as u64;
    let latest = 11 * NANOS_PER_SECOND;
    let user = migrated_user();
    assert!(user.may_have_belonged_to(TENANTS[0], latest + bound));
    assert!(!user.may_have_belonged_to(TENANTS[0], latest + bound + 1));
}

#[test]
fn call_for_new_tenant_is_a_violation_before_the_earliest_time_of_the_change() {
    let earliest = 10 * NANOS_PER_SECOND;
    let user = migrated_user();
    assert!(!user.may_have_belonged_to(TENANTS[1], earliest - 1));
    assert!(user.may_have_belonged_to(TENANTS[1], earliest));
}
