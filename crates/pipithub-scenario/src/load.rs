//! The load of a scenario: requests and migrations of users, drawn from a seed before the scenario begins.

use std::iter::Peekable;

use crate::client::{Publish, Signed};
use crate::random::SplitMix64;
use crate::scenario::{ClassSpec, Fault, Scenario, TenantSpec};
use crate::units::{SECOND, milliseconds};

/// The names of the two tenants.
pub const TENANTS: [&str; 2] = ["north", "south"];
/// The key that the requests of a scenario with tenants are signed with.
pub const SIGNING_KEY: &str = "the key of a day's desk";
/// The name of that key in the settings.
pub const SIGNING_KEY_ID: &str = "desk";

/// Makes the random numbers for migrations independent of the others of a seed.
const MIGRATION_STREAM: u64 = 0x6d6f_7665;
/// Makes the random numbers for users independent of the others of a seed.
const USER_STREAM: u64 = 0x7573_6572;
/// How many users are drawn to find one of the selected tenant; if none is found, user 0 is taken.
const USER_DRAWS: usize = 64;
/// The number of requests that a replica of any function can run at once.
const REPLICA_CONCURRENCY: u32 = 4;

/// The migration of a user to the other tenant. Migrations are ordered by time, as the fields are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Migration {
    /// Nanoseconds from the first request.
    pub at: u64,
    /// The number of the user.
    pub user: usize,
    /// The new tenant, as an index into [`TENANTS`].
    pub tenant: usize,
}

/// A request and when it is published.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Nanoseconds from the first request.
    pub at: u64,
    /// The request to publish.
    pub publish: Publish,
}

/// The tenant that a user belongs to at first, as an index into [`TENANTS`].
pub fn initial_tenant(user: usize) -> usize {
    user % TENANTS.len()
}

/// The migrations of a scenario, by time.
pub fn migrations(scenario: &Scenario, seed: u64) -> Vec<Migration> {
    let Some(tenants) = &scenario.tenants else {
        return Vec::new();
    };
    let mut random = SplitMix64::new(seed ^ MIGRATION_STREAM);
    let mut tenant_of: Vec<usize> = (0..tenants.users).map(initial_tenant).collect();
    let mut migrations = Vec::new();
    for scheduled in &scenario.faults {
        let Fault::MigrateUsers { every } = scheduled.fault else {
            continue;
        };
        let mut at = scheduled.at;
        while at < scheduled.end() {
            let user = random.below(tenants.users);
            let tenant = 1 - tenant_of[user];
            tenant_of[user] = tenant;
            migrations.push(Migration { at, user, tenant });
            at += every;
        }
    }
    migrations.sort_unstable();
    migrations
}

/// The requests of a scenario, by time.
pub fn requests(scenario: &Scenario, seed: u64, queue: &str) -> Vec<ScheduledRequest> {
    LoadGenerator::new(scenario, seed, queue).collect()
}

/// Draws one request after the other. The order of the draws is fixed, so that a seed always gives the same load.
struct LoadGenerator<'a> {
    scenario: &'a Scenario,
    seed: u64,
    queue: &'a str,
    random: SplitMix64,
    /// A generator of its own for users, so that a scenario gives the same requests with and without tenants.
    user_random: SplitMix64,
    migrations: Peekable<std::vec::IntoIter<Migration>>,
    /// The present tenant of each user.
    tenant_of: Vec<usize>,
    /// The number of requests that each user has made.
    requests_of: Vec<usize>,
    /// The popularity of each function: a few functions get a large part of all requests.
    function_weights: Vec<f64>,
    /// The time of the last request, in nanoseconds from the start.
    at: f64,
    /// Requests drawn so far.
    count: usize,
}

/// The user of a request.
struct DrawnUser {
    user: usize,
    /// The tenant whose function is requested, as an index into [`TENANTS`].
    tenant: usize,
    signed: Signed,
}

/// The body of a request with this id; without an id, its message id identifies it. Workers record the request under its
/// id, and return the inputs, by which the client sees whose answer it gets.
fn call_body(id: Option<&str>, work_ms: f64) -> Vec<u8> {
    let parameters = format!("\"work_ms\":{work_ms:.2}");
    let body = match id {
        None => format!("{{\"inputs\":[],\"parameters\":{{{parameters}}}}}"),
        Some(id) => {
            format!("{{\"inputs\":[\"{id}\"],\"parameters\":{{\"call\":\"{id}\",{parameters}}}}}")
        }
    };
    body.into_bytes()
}

/// The changes of the load that are active at a time.
struct LoadChanges {
    one_time_share: f64,
    hot_share: f64,
    short_timeout_share: f64,
}

impl<'a> LoadGenerator<'a> {
    fn new(scenario: &'a Scenario, seed: u64, queue: &'a str) -> Self {
        let users = scenario.tenants.as_ref().map_or(0, |spec| spec.users);
        LoadGenerator {
            scenario,
            seed,
            queue,
            random: SplitMix64::new(seed),
            user_random: SplitMix64::new(seed ^ USER_STREAM),
            migrations: migrations(scenario, seed).into_iter().peekable(),
            tenant_of: (0..users).map(initial_tenant).collect(),
            requests_of: vec![0; users],
            function_weights: (1..=scenario.functions).map(|n| 1.0 / n as f64).collect(),
            at: 0.0,
            count: 0,
        }
    }

    /// The factor by which the load of the second tenant is multiplied at present; 1 without a surge.
    fn surge(&self) -> f64 {
        let active =
            self.scenario.faults.iter().filter(|scheduled| {
                scheduled.at as f64 <= self.at && self.at < scheduled.end() as f64
            });
        active
            .filter_map(|scheduled| match scheduled.fault {
                Fault::TenantSurge { times } => Some(times),
                _ => None,
            })
            .fold(1.0, f64::max)
    }

    fn changes(&self, now: u64) -> LoadChanges {
        let mut changes = LoadChanges {
            one_time_share: 0.0,
            hot_share: 0.0,
            short_timeout_share: 0.0,
        };
        for scheduled in &self.scenario.faults {
            if now < scheduled.at || now >= scheduled.end() {
                continue;
            }
            let (changed, share) = match scheduled.fault {
                Fault::OneTimeFunctions { share } => (&mut changes.one_time_share, share),
                Fault::HotFunction { share } => (&mut changes.hot_share, share),
                Fault::ShortTimeouts { share } => (&mut changes.short_timeout_share, share),
                _ => continue,
            };
            *changed = changed.max(share);
        }
        changes
    }

    fn draw_class(&mut self) -> &'a ClassSpec {
        let classes = &self.scenario.classes;
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let drawn = self.random.unit() * total;
        let index = pick_by_weight(classes.iter().map(|class| class.share), drawn);
        &classes[index.unwrap_or(0)]
    }

    fn draw_function_index(&mut self) -> usize {
        let total: f64 = self.function_weights.iter().sum();
        let drawn = self.random.unit() * total;
        pick_by_weight(self.function_weights.iter().copied(), drawn).unwrap_or(0)
    }

    /// Draws the user of a request; returns the user, the tenant whose function is requested, and the signature.
    fn draw_user(&mut self, tenants: &TenantSpec, surge: f64) -> DrawnUser {
        // Without a surge, half of the requests are from users of the second tenant.
        let wanted = usize::from(self.user_random.unit() < surge / (1.0 + surge));
        let user = (0..USER_DRAWS)
            .map(|_| self.user_random.below(tenants.users))
            .find(|user| self.tenant_of[*user] == wanted)
            .unwrap_or(0);
        let own_tenant = self.tenant_of[user];
        let tenant = if self.user_random.unit() < tenants.cross_tenant_share {
            1 - own_tenant
        } else {
            own_tenant
        };
        let signed = Signed {
            user: format!("u{user}"),
            key_id: SIGNING_KEY_ID.into(),
            key: SIGNING_KEY.into(),
        };
        DrawnUser {
            user,
            tenant,
            signed,
        }
    }

    /// The message id of the next request of a user; `None` if it is that of the request.
    fn next_message_id(&mut self, user: usize, tenants: &TenantSpec) -> Option<String> {
        self.requests_of[user] += 1;
        tenants
            .has_equal_ids
            .then(|| self.requests_of[user].to_string())
    }

    fn draw_request(&mut self, now: u64, surge: f64) -> Publish {
        let changes = self.changes(now);
        let class = self.draw_class();
        let popular = self.draw_function_index();
        let (one_time, hot, short_timeout) = (
            self.random.unit() < changes.one_time_share,
            self.random.unit() < changes.hot_share,
            self.random.unit() < changes.short_timeout_share,
        );
        let number = self.count;
        let mut function = if one_time {
            format!("once-{number}")
        } else if hot {
            format!("model-{}", self.scenario.functions - 1)
        } else {
            format!("model-{popular}")
        };
        let (mut signed, mut message_id) = (None, None);
        if let Some(tenants) = &self.scenario.tenants {
            let drawn = self.draw_user(tenants, surge);
            function = format!("{}-{function}", TENANTS[drawn.tenant]);
            message_id = self.next_message_id(drawn.user, tenants);
            signed = Some(drawn.signed);
        }
        let budget_ms = short_timeout.then(|| 5 + self.random.below(60) as u64);
        // The run time is half to one and a half times the mean of the class.
        let work_ms = milliseconds(class.work) * (0.5 + self.random.unit());
        let id = format!("{}-{number}", self.seed);
        let stated_id = message_id.is_some().then_some(id.as_str());
        Publish {
            body: call_body(stated_id, work_ms),
            message_id,
            queue: self.queue.to_string(),
            class: class.name.clone(),
            function,
            budget_ms,
            memory_mb: 0,
            lanes: REPLICA_CONCURRENCY,
            id,
            signed,
            user_id: None,
        }
    }
}

impl Iterator for LoadGenerator<'_> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        let surge = self.surge();
        let rate = self.scenario.rate * (1.0 + surge) / 2.0;
        self.at += -(1.0 - self.random.unit()).ln() / rate * SECOND as f64;
        if self.at >= self.scenario.duration as f64 {
            return None;
        }
        let now = self.at as u64;
        while let Some(migration) = self.migrations.next_if(|migration| migration.at <= now) {
            self.tenant_of[migration.user] = migration.tenant;
        }
        let publish = self.draw_request(now, surge);
        self.count += 1;
        Some(ScheduledRequest { at: now, publish })
    }
}

/// The index of the weight that a number between 0 and the sum of all weights falls on; `None` if the number is not below
/// the sum.
fn pick_by_weight(mut weights: impl Iterator<Item = f64>, drawn: f64) -> Option<usize> {
    let mut rest = drawn;
    weights.position(|weight| {
        rest -= weight;
        rest < 0.0
    })
}
