//! The calls of a day, drawn from its seed before it begins.

use crate::client::{Publish, Signed};
use crate::scenario::{Scenario, Trouble};

/// Chance that is equal for equal seeds (splitmix64).
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    /// From a seed.
    pub fn new(seed: u64) -> Self {
        Chance(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// From 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }
}

/// The tenants of a day.
pub const TENANTS: [&str; 2] = ["north", "south"];
/// The key that signs a day's calls.
pub const KEY: &str = "the key of a day's desk";

/// Moves of a day: when, which user, to which tenant.
pub fn moves(day: &Scenario, seed: u64) -> Vec<(u64, usize, usize)> {
    let Some(tenants) = &day.tenants else {
        return Vec::new();
    };
    let mut chance = Chance::new(seed ^ 0x6d6f_7665);
    let mut sides: Vec<usize> = (0..tenants.users).map(|n| n % 2).collect();
    let mut moves = Vec::new();
    for step in &day.steps {
        let Trouble::MoveUsers { every } = step.trouble else {
            continue;
        };
        let mut at = step.at;
        while at < step.at + step.length {
            let user = chance.below(tenants.users);
            sides[user] = 1 - sides[user];
            moves.push((at, user, sides[user]));
            at += every;
        }
    }
    moves.sort_unstable();
    moves
}

/// The calls, each with its time in nanoseconds from the first.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub fn calls(day: &Scenario, seed: u64, queue: &str) -> Vec<(u64, Publish)> {
    let mut chance = Chance::new(seed);
    // Of its own chance, so that a day without tenants has the calls that it always had.
    let mut whose = Chance::new(seed ^ 0x7573_6572);
    let mut moves = moves(day, seed).into_iter().peekable();
    let mut sides: Vec<usize> = (0..day.tenants.as_ref().map_or(0, |t| t.users))
        .map(|n| n % 2)
        .collect();
    let mut calls = Vec::new();
    let mut at = 0.0f64;
    // A few functions draw a large part of all calls.
    let weights: Vec<f64> = (1..=day.functions).map(|n| 1.0 / n as f64).collect();
    let total: f64 = weights.iter().sum();
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    loop {
        let storm = day
            .steps
            .iter()
            .filter(|s| s.at as f64 <= at && at < (s.at + s.length) as f64);
        let storm = storm.filter_map(|s| {
            if let Trouble::Storm { times } = s.trouble {
                Some(times)
            } else {
                None
            }
        });
        // Half of the calls are the second tenant's as a rule.
        let storm = storm.fold(1.0, f64::max);
        at += -(1.0 - chance.unit()).ln() / (day.rate * (1.0 + storm) / 2.0) * 1e9;
        if at >= day.length as f64 {
            return calls;
        }
        let now = at as u64;
        while let Some((_, user, side)) = moves.next_if(|m| m.0 <= now) {
            sides[user] = side;
        }
        let share = |pick: fn(&Trouble) -> Option<f64>| {
            let active = day
                .steps
                .iter()
                .filter(|s| s.at <= now && now < s.at + s.length);
            active.filter_map(|s| pick(&s.trouble)).fold(0.0, f64::max)
        };
        let one_off = share(|t| {
            if let Trouble::OneOff { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let hot = share(|t| {
            if let Trouble::Hot { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let little = share(|t| {
            if let Trouble::LittleTime { share } = t {
                Some(*share)
            } else {
                None
            }
        });
        let mut drawn = chance.unit() * shares;
        let class = day.classes.iter().find(|c| {
            drawn -= c.share;
            drawn < 0.0
        });
        let class = class.unwrap_or(&day.classes[0]);
        let mut pick = chance.unit() * total;
        let function = weights.iter().position(|w| {
            pick -= w;
            pick < 0.0
        });
        let (draw_one_off, draw_hot, draw_little) = (chance.unit(), chance.unit(), chance.unit());
        let number = calls.len();
        let function = if draw_one_off < one_off {
            format!("once-{number}")
        } else if draw_hot < hot {
            format!("model-{}", day.functions - 1)
        } else {
            format!("model-{}", function.unwrap_or(0))
        };
        let (function, signed) = match &day.tenants {
            None => (function, None),
            Some(tenants) => {
                let wanted = usize::from(whose.unit() < storm / (1.0 + storm));
                let user = (0..64)
                    .map(|_| whose.below(tenants.users))
                    .find(|u| sides[*u] == wanted)
                    .unwrap_or(0);
                let side = if whose.unit() < tenants.spies {
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
        let budget_ms = (draw_little < little).then(|| 5 + chance.below(60) as u64);
        // Half to one and a half times the class's mean.
        let work_ms = class.work as f64 / 1e6 * (0.5 + chance.unit());
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
