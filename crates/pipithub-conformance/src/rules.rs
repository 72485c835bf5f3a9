//! The five rules and that of tenants, decided from records of traffic.
//!
//! Times are those at which stand-ins saw things. A front end acts before a stand-in sees it and learns after one wrote
//! it, so every comparison has a slack for the way ([`RuleBook::slack`]); the rules' own figures are added to it.

use std::collections::BTreeMap;

use crate::record::{Record, Seen};

const MS: u64 = 1_000_000;

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Freely.
    Safe,
    /// Under its key, while workers remember it.
    Keyed,
    /// Never once it may have run.
    Unsafe,
}

/// What is checked of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Its effect.
    pub effect: Effect,
    /// How long a client waits, in nanoseconds.
    pub give_up: u64,
    /// An answer after this is late, in nanoseconds.
    pub aim: u64,
    /// What a served call is worth.
    pub worth: f64,
    /// For how long repeats of a key are dropped, in nanoseconds.
    pub dedup_window: u64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleBook {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassRules>,
    /// The queue that calls are published to.
    pub queue: String,
    /// Time for a thing on its way, in nanoseconds.
    pub slack: u64,
    /// How long after it was told a front end may still send to a draining worker.
    pub drain_grace: u64,
    /// Orders to load: window in nanoseconds, base, share.
    pub ration: Option<(u64, f64, f64)>,
    /// How long after a move a call may still reach the old side, in nanoseconds; `None`: there are no tenants. Functions
    /// are named after their tenants, as in `north-map`.
    pub move_bound: Option<u64>,
    /// Messages whose answers are not expected any more when the records end: published after this.
    pub until: Option<u64>,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer to each request, in time.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Nothing new to a drained or gone worker.
    DrainsKept,
    /// No cold worker pushed over.
    ColdWorkers,
    /// Orders to load are rationed.
    LoadsRationed,
    /// No call crosses tenants.
    TenantsApart,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::ColdWorkers,
        Rule::LoadsRationed,
        Rule::TenantsApart,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer, in time",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains are kept",
            Rule::ColdWorkers => "no cold worker pushed over",
            Rule::LoadsRationed => "orders to load are rationed",
            Rule::TenantsApart => "no call crosses tenants",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in Unix nanoseconds.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

/// A call and all that was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// When it was published.
    pub published: u64,
    /// Its class.
    pub class: String,
    /// How long its client waits, in nanoseconds.
    pub budget: u64,
    /// Deliveries: when, whether again, to which client.
    pub delivered: Vec<(u64, bool, String)>,
    /// Answers: when, verdict.
    pub answers: Vec<(u64, String)>,
    /// Calls at workers: when, worker, attempt, front end.
    pub calls: Vec<(u64, String, u32, String)>,
    /// Replies: when, worker, attempt, front end, whether they say that it did not run.
    pub replies: Vec<(u64, String, u32, String, bool)>,
    /// Runs whose effect took place.
    pub effects: Vec<u64>,
}

/// What a worker is sent is a function of the tenant whose its user is, or was until no longer ago than the bound. What
/// a message says of its user is its signer's word, which the front end must have checked.
fn tenants_apart(records: &[Record], book: &RuleBook, bound: u64, breaches: &mut Vec<Breach>) {
    let mut sides: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    let mut users: BTreeMap<&str, &str> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Moved { user, tenant } => sides.entry(user).or_default().push((r.t, tenant)),
            Seen::Published {
                queues,
                message_id: Some(id),
                headers,
                ..
            } if queues.contains(&book.queue) => {
                if let Some(user) = headers.get("pipithub-user") {
                    users.insert(id, user);
                }
            }
            _ => {}
        }
    }
    sides.values_mut().for_each(|spans| spans.sort_unstable());
    for r in records {
        let Seen::Call {
            request, function, ..
        } = &r.seen
        else {
            continue;
        };
        let user = users.get(request.as_str()).copied().unwrap_or_default();
        let spans = sides.get(user).map_or(&[][..], Vec::as_slice);
        let tenant = function.split('-').next().unwrap_or_default();
        let there = spans.iter().enumerate().any(|(n, (from, side))| {
            let until = spans.get(n + 1).map_or(u64::MAX, |next| next.0);
            *side == tenant
                && *from <= r.t
                && r.t <= until.saturating_add(bound).saturating_add(book.slack)
        });
        if !there {
            let what = format!(
                "{request} of user '{user}' reached {} with {function}",
                r.at
            );
            breaches.push(Breach {
                rule: Rule::TenantsApart,
                at: r.t,
                what,
            });
        }
    }
}

/// Puts records together by call.
pub fn stories(records: &[Record], book: &RuleBook) -> BTreeMap<String, Story> {
    let mut stories: BTreeMap<String, Story> = BTreeMap::new();
    // First the calls themselves: records of different stand-ins come in any order.
    for r in records {
        let Seen::Published {
            queues,
            message_id: Some(id),
            headers,
            expiration_ms,
            ..
        } = &r.seen
        else {
            continue;
        };
        if !queues.contains(&book.queue) {
            continue;
        }
        let class = headers.get("pipithub-class").cloned().unwrap_or_default();
        let give_up = book.classes.get(&class).map_or(0, |c| c.give_up);
        let asked = headers
            .get("pipithub-budget-ms")
            .and_then(|v| v.parse::<f64>().ok())
            .map(|ms| ms as u64);
        let asked = [asked, *expiration_ms].into_iter().flatten().min();
        let budget = asked.map_or(give_up, |ms| give_up.min(ms * MS));
        let story = Story {
            published: r.t,
            class,
            budget,
            ..Story::default()
        };
        stories.insert(id.clone(), story);
    }
    for r in records {
        match &r.seen {
            Seen::Published {
                correlation_id: Some(id),
                headers,
                ..
            } => {
                if let (Some(verdict), Some(story)) =
                    (headers.get("pipithub-verdict"), stories.get_mut(id))
                {
                    story.answers.push((r.t, verdict.clone()));
                }
            }
            Seen::Delivered {
                queue,
                message_id: Some(id),
                redelivered,
                client,
                ..
            } if *queue == book.queue => {
                if let Some(story) = stories.get_mut(id) {
                    story.delivered.push((r.t, *redelivered, client.clone()));
                }
            }
            Seen::Call {
                front_end,
                request,
                attempt,
                ..
            } => {
                if let Some(story) = stories.get_mut(request) {
                    story
                        .calls
                        .push((r.t, r.at.clone(), *attempt, front_end.clone()));
                }
            }
            Seen::Replied {
                front_end,
                request,
                attempt,
                not_run,
                ..
            } => {
                if let Some(story) = stories.get_mut(request) {
                    story
                        .replies
                        .push((r.t, r.at.clone(), *attempt, front_end.clone(), *not_run));
                }
            }
            Seen::Ran {
                request,
                dropped: false,
                ..
            } => {
                if let Some(story) = stories.get_mut(request) {
                    story.effects.push(r.t);
                }
            }
            _ => {}
        }
    }
    for story in stories.values_mut() {
        story.delivered.sort();
        story.answers.sort();
        story.calls.sort();
        story.effects.sort_unstable();
    }
    stories
}

/// Decides all rules.
pub fn check(records: &[Record], book: &RuleBook) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let stories = stories(records, book);
    for (id, story) in &stories {
        one_answer(id, story, book, &mut breaches);
        no_effect_twice(id, story, book, &mut breaches);
    }
    drains(records, book, &mut breaches);
    cold(records, &mut breaches);
    rationed(records, book, &mut breaches);
    if let Some(bound) = book.move_bound {
        tenants_apart(records, book, bound, &mut breaches);
    }
    breaches.sort();
    breaches
}

fn one_answer(id: &str, story: &Story, book: &RuleBook, breaches: &mut Vec<Breach>) {
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::OneAnswer,
            at,
            what,
        });
    };
    if book.until.is_some_and(|until| story.published > until) {
        return;
    }
    let deadline = story.published + story.budget;
    match &story.answers[..] {
        [] => add(
            deadline,
            format!(
                "call {id} has no answer; delivered {} times",
                story.delivered.len()
            ),
        ),
        [(at, verdict)] => {
            // What a front end that died had held comes again and is answered then; what came too late, at once.
            let last = story.delivered.last().map_or(story.published, |d| d.0);
            let again = story.delivered.iter().any(|d| d.1);
            let own = if again { last + story.budget } else { deadline };
            if *at > own.max(last) + book.slack {
                let late = (*at - own.max(last)) / MS;
                add(
                    *at,
                    format!("call {id} was {verdict} {late} ms after its time"),
                );
            }
            if let Some((t, worker, ..)) = story.calls.iter().find(|c| c.0 > at + book.slack) {
                let after = (t - at) / MS;
                add(
                    *t,
                    format!("call {id} was sent to {worker} {after} ms after its answer"),
                );
            }
        }
        more => add(
            more[1].0,
            format!("call {id} has {} answers: {more:?}", more.len()),
        ),
    }
}

fn no_effect_twice(id: &str, story: &Story, book: &RuleBook, breaches: &mut Vec<Breach>) {
    let Some(class) = book.classes.get(&story.class) else {
        return;
    };
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::NoEffectTwice,
            at,
            what,
        });
    };
    if class.effect == Effect::Safe {
        return;
    }
    if let [_, second, ..] = story.effects[..] {
        add(
            second,
            format!(
                "call {id} of class {} took effect {} times",
                story.class,
                story.effects.len()
            ),
        );
    }
    let refused = story.answers.iter().find(|(_, v)| v == "refused");
    if let (Effect::Unsafe, Some((at, _)), [first, ..]) =
        (class.effect, refused, &story.effects[..])
    {
        // A refusal says that another try is harmless: of a call that ran it is a lie.
        add(*at.max(first), format!("call {id} ran and was refused"));
    }
    // Each further send needs proof that all before it did not run, or for a keyed one that its repeat is dropped.
    for (n, (at, worker, ..)) in story.calls.iter().enumerate() {
        for (earlier, w, attempt, front_end) in &story.calls[..n] {
            let proof = |r: &&(u64, String, u32, String, bool)| {
                r.4 && (&r.1, r.2, &r.3) == (w, *attempt, front_end) && r.0 <= *at
            };
            if story.replies.iter().any(|r| proof(&r)) {
                continue;
            }
            let within = *at < earlier + class.dedup_window;
            if class.effect == Effect::Unsafe || !within {
                add(
                    *at,
                    format!("call {id} was sent to {worker} though it may have run at {w}"),
                );
                break;
            }
        }
    }
}

/// A client's name without its connection.
fn front_of(client: &str) -> &str {
    client.rsplit_once('#').map_or(client, |(name, _)| name)
}

fn drains(records: &[Record], book: &RuleBook, breaches: &mut Vec<Breach>) {
    // Since when each front end knows that a worker takes nothing new.
    let mut ordered: Vec<&Record> = records.iter().collect();
    ordered.sort_by_key(|r| r.t);
    let mut closed: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for r in ordered {
        let (front_end, what) = match &r.seen {
            Seen::Told {
                front_end,
                worker,
                state,
                ..
            } => {
                let key = (front_end.as_str(), worker.as_str());
                if state == "live" {
                    closed.remove(&key);
                } else {
                    closed.entry(key).or_insert(r.t);
                }
                continue;
            }
            Seen::Call {
                front_end, request, ..
            } => (front_end, format!("call {request}")),
            Seen::Order {
                front_end,
                function,
                copies,
                ..
            } if *copies > 0 => (front_end, format!("an order to load {function}")),
            _ => continue,
        };
        if let Some(since) = closed.get(&(front_end.as_str(), r.at.as_str()))
            && r.t > since + book.drain_grace + book.slack
        {
            let after = (r.t - since) / MS;
            let what = format!(
                "{what} came to {} from {front_end} {after} ms after it was told",
                r.at
            );
            breaches.push(Breach {
                rule: Rule::DrainsKept,
                at: r.t,
                what,
            });
        }
    }
}

fn cold(records: &[Record], breaches: &mut Vec<Breach>) {
    for r in records {
        if let Seen::FellOver { sent, bound } = &r.seen {
            let what = format!("{} fell over: {sent} calls sent, {bound:.1} borne", r.at);
            breaches.push(Breach {
                rule: Rule::ColdWorkers,
                at: r.t,
                what,
            });
        }
    }
}

fn rationed(records: &[Record], book: &RuleBook, breaches: &mut Vec<Breach>) {
    let Some((window, base, share)) = book.ration else {
        return;
    };
    let mut orders: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut taken: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Order {
                front_end, copies, ..
            } if *copies > 0 => orders.entry(front_end).or_default().push(r.t),
            Seen::Delivered { queue, client, .. } if *queue == book.queue => {
                taken.entry(front_of(client)).or_default().push(r.t);
            }
            _ => {}
        }
    }
    for (front_end, mut times) in orders {
        times.sort_unstable();
        let calls = taken.get(front_end).map(Vec::as_slice).unwrap_or_default();
        for (n, at) in times.iter().enumerate() {
            let within = times[..=n]
                .iter()
                .filter(|t| **t + window > at + book.slack)
                .count() as f64;
            let came = calls
                .iter()
                .filter(|t| **t + window + book.slack > *at && **t <= at + book.slack)
                .count();
            let allowed = base + share * came as f64;
            if within > allowed {
                let what =
                    format!("{front_end}: {within} orders to load where {allowed:.2} are allowed");
                breaches.push(Breach {
                    rule: Rule::LoadsRationed,
                    at: *at,
                    what,
                });
            }
        }
    }
}
