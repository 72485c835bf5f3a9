//! The calls of a day, drawn from its seed before it begins.

use crate::client::{Publish, Signed};
use crate::random::SplitMix64;
use crate::scenario::{Fault, Scenario};

/// The tenants of a day.
pub const TENANTS: [&str; 2] = ["north", "south"];
/// The key that signs a day's calls.
pub const KEY: &str = "the key of a day's desk";

/// Moves of a day: when, which user, to which tenant.
pub fn migrations(scenario: &Scenario, seed: u64) -> Vec<(u64, usize, usize)> {
    let Some(tenants) = &scenario.tenants else {
        return Vec::new();
    };
    let mut random = SplitMix64::new(seed ^ 0x6d6f_7665);
    let mut sides: Vec<usize> = (0..tenants.users).map(|n| n % 2).collect();
    let mut migrations = Vec::new();
    for scheduled in &scenario.faults {
        let Fault::MigrateUsers { every } = scheduled.fault else {
            continue;
        };
        let mut at = scheduled.at;
        while at < scheduled.at + scheduled.duration {
            let user = random.below(tenants.users);
            sides[user] = 1 - sides[user];
            migrations.push((at, user, sides[user]));
            at += every;
        }
    }
    migrations.sort_unstable();
    migrations
}

/// The calls, each with its time in nanoseconds from the first.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub fn calls(scenario: &Scenario, seed: u64, queue: &str) -> Vec<(u64, Publish)> {
    let mut random = SplitMix64::new(seed);
    // Of its own chance, so that a day without tenants has the calls that it always had.
    let mut whose = SplitMix64::new(seed ^ 0x7573_6572);
    let mut migrations = migrations(scenario, seed).into_iter().peekable();
    let mut sides: Vec<usize> = (0..scenario.tenants.as_ref().map_or(0, |t| t.users))
        .map(|n| n % 2)
        .collect();
    let mut calls = Vec::new();
    let mut at = 0.0f64;
    // A few functions draw a large part of all calls.
    let weights: Vec<f64> = (1..=scenario.functions).map(|n| 1.0 / n as f64).collect();
    let total: f64 = weights.iter().sum();
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    loop {
        let storm = scenario
            .faults
            .iter()
            .filter(|s| s.at as f64 <= at && at < (s.at + s.duration) as f64);
        let storm = storm.filter_map(|s| {
            if let Fault::TenantSurge { times } = s.fault {
                Some(times)
            } else {
                None
            }
        });
        // Half of the calls are the second tenant's as a rule.
        let storm = storm.fold(1.0, f64::max);
        at += -(1.0 - random.unit()).ln() / (scenario.rate * (1.0 + storm) / 2.0) * 1e9;
        if at >= scenario.duration as f64 {
            return calls;
        }
        let now = at as u64;
        while let Some((_, user, side)) = migrations.next_if(|m| m.0 <= now) {
            sides[user] = side;
        }
        let share = |pick: fn(&Fault) -> Option<f64>| {
            let active = scenario
                .faults
                .iter()
                .filter(|s| s.at <= now && now < s.at + s.duration);
            active.filter_map(|s| pick(&s.fault)).fold(0.0, f64::max)
        };
        let one_off = share(|t| {
            if let Fault::OneTimeFunctions { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let hot = share(|t| {
            if let Fault::HotFunction { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let little = share(|t| {
            if let Fault::ShortTimeouts { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let mut drawn = random.unit() * shares;
        let class = scenario.classes.iter().find(|c| {
            drawn -= c.share;
            drawn < 0.0
        });
        let class = class.unwrap_or(&scenario.classes[0]);
        let mut pick = random.unit() * total;
        let function = weights.iter().position(|w| {
            pick -= w;
            pick < 0.0
        });
        let (draw_one_off, draw_hot, draw_little) = (random.unit(), random.unit(), random.unit());
        let number = calls.len();
        let function = if draw_one_off < one_off {
            format!("once-{number}")
        } else if draw_hot < hot {
            format!("model-{}", scenario.functions - 1)
        } else {
            format!("model-{}", function.unwrap_or(0))
        };
        let (function, signed) = match &scenario.tenants {
            None => (function, None),
            Some(tenants) => {
                let wanted = usize::from(whose.unit() < storm / (1.0 + storm));
                let user = (0..64)
                    .map(|_| whose.below(tenants.users))
                    .find(|u| sides[*u] == wanted)
                    .unwrap_or(0);
                let side = if whose.unit() < tenants.cross_tenant_share {
                    1 - sides[user]
                } else {
                    sides[user]
                };
                let signed = Signed {
                    user: format!("u{user}"),
                    key_id: "desk".into(),
                    key: KEY.into(),
                };
                (format!("{}-{function}", TENANTS[side]), Some(signed))
            }
        };
        let budget_ms = (draw_little < little).then(|| 5 + random.below(60) as u64);
        // Half to one and a half times the class's mean.
        let work_ms = class.work as f64 / 1e6 * (0.5 + random.unit());
        calls.push((
            now,
            Publish {
                id: format!("{seed}-{number}"),
                queue: queue.to_string(),
                class: class.name.clone(),
                function,
                budget_ms,
                memory_mb: 0,
                lanes: 4,
                body: format!("{{\"inputs\":[],\"parameters\":{{\"work_ms\":{work_ms:.2}}}}}")
                    .into_bytes(),
                signed,
                user_id: None,
            },
        ));
    }
}
