//! The five rules and that of tenants, decided from records of traffic.
//!
//! Times are those at which stand-ins saw things. A front end acts before a stand-in sees it and learns after one wrote
//! it, so every comparison has a slack for the way ([`RuleBook::slack`]); the rules' own figures are added to it.

use std::collections::BTreeMap;

use crate::record::{Record, Seen};

const MS: u64 = 1_000_000;

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Freely.
    Idempotent,
    /// Under its key, while workers remember it.
    WithKey,
    /// Never once it may have run.
    NonIdempotent,
}

/// What is checked of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Its effect.
    pub idempotency: Idempotency,
    /// How long a client waits, in nanoseconds.
    pub client_timeout: u64,
    /// An answer after this is late, in nanoseconds.
    pub latency_objective: u64,
    /// What a served call is worth.
    pub priority_weight: f64,
    /// For how long repeats of a key are dropped, in nanoseconds.
    pub deduplication_window: u64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleConfig {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassRules>,
    /// The queue that calls are published to.
    pub queue: String,
    /// Time for a thing on its way, in nanoseconds.
    pub slack: u64,
    /// How long after it was told a front end may still send to a draining worker.
    pub drain_grace: u64,
    /// Orders to load: window in nanoseconds, base, share.
    pub load_rate_limit: Option<(u64, f64, f64)>,
    /// How long after a move a call may still reach the old side, in nanoseconds; `None`: there are no tenants. Functions
    /// are named after their tenants, as in `north-map`.
    pub migration_grace: Option<u64>,
    /// Messages whose answers are not expected any more when the records end: published after this.
    pub published_until: Option<u64>,
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer to each request, in time.
    OneFinalAnswer,
    /// No effect twice.
    EffectAtMostOnce,
    /// Nothing new to a drained or gone worker.
    DrainRespected,
    /// No cold worker pushed over.
    SlowStartRespected,
    /// Orders to load are rationed.
    LoadRateLimited,
    /// No call crosses tenants.
    TenantIsolation,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] = [
        Rule::OneFinalAnswer,
        Rule::EffectAtMostOnce,
        Rule::DrainRespected,
        Rule::SlowStartRespected,
        Rule::LoadRateLimited,
        Rule::TenantIsolation,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "one final answer, in time",
            Rule::EffectAtMostOnce => "no effect twice",
            Rule::DrainRespected => "drains are kept",
            Rule::SlowStartRespected => "no cold worker pushed over",
            Rule::LoadRateLimited => "orders to load are rationed",
            Rule::TenantIsolation => "no call crosses tenants",
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
pub struct RequestTrace {
    /// When it was published.
    pub published: u64,
    /// Its class.
    pub class: String,
    /// How long its client waits, in nanoseconds.
    pub timeout: u64,
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
fn check_tenant_isolation(
    records: &[Record],
    config: &RuleConfig,
    bound: u64,
    breaches: &mut Vec<Breach>,
) {
    let mut sides: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    let mut users: BTreeMap<&str, &str> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Moved { user, tenant } => {
                sides.entry(user).or_default().push((r.time_ns, tenant));
            }
            Seen::Published {
                queues,
                message_id: Some(id),
                headers,
                ..
            } if queues.contains(&config.queue) => {
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
                && *from <= r.time_ns
                && r.time_ns <= until.saturating_add(bound).saturating_add(config.slack)
        });
        if !there {
            let what = format!(
                "{request} of user '{user}' reached {} with {function}",
                r.observer
            );
            breaches.push(Breach {
                rule: Rule::TenantIsolation,
                at: r.time_ns,
                what,
            });
        }
    }
}

/// Puts records together by call.
pub fn request_traces(records: &[Record], config: &RuleConfig) -> BTreeMap<String, RequestTrace> {
    let mut traces: BTreeMap<String, RequestTrace> = BTreeMap::new();
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
        if !queues.contains(&config.queue) {
            continue;
        }
        let class = headers.get("pipithub-class").cloned().unwrap_or_default();
        let client_timeout = config.classes.get(&class).map_or(0, |c| c.client_timeout);
        let asked = headers
            .get("pipithub-budget-ms")
            .and_then(|v| v.parse::<f64>().ok())
            .map(|ms| ms as u64);
        let asked = [asked, *expiration_ms].into_iter().flatten().min();
        let timeout = asked.map_or(client_timeout, |ms| client_timeout.min(ms * MS));
        let trace = RequestTrace {
            published: r.time_ns,
            class,
            timeout,
            ..RequestTrace::default()
        };
        traces.insert(id.clone(), trace);
    }
    for r in records {
        let (at, worker) = (r.time_ns, &r.observer);
        match &r.seen {
            Seen::Published {
                correlation_id: Some(id),
                headers,
                ..
            } => {
                if let (Some(verdict), Some(trace)) =
                    (headers.get("pipithub-verdict"), traces.get_mut(id))
                {
                    trace.answers.push((at, verdict.clone()));
                }
            }
            Seen::Delivered {
                queue,
                message_id: Some(id),
                redelivered,
                client,
                ..
            } if *queue == config.queue => {
                if let Some(trace) = traces.get_mut(id) {
                    trace.delivered.push((at, *redelivered, client.clone()));
                }
            }
            Seen::Call {
                front_end,
                request,
                attempt,
                ..
            } => {
                if let Some(trace) = traces.get_mut(request) {
                    trace
                        .calls
                        .push((at, worker.clone(), *attempt, front_end.clone()));
                }
            }
            Seen::Replied {
                front_end,
                request,
                attempt,
                not_run,
                ..
            } => {
                if let Some(trace) = traces.get_mut(request) {
                    trace
                        .replies
                        .push((at, worker.clone(), *attempt, front_end.clone(), *not_run));
                }
            }
            Seen::Ran {
                request,
                dropped: false,
                ..
            } => {
                if let Some(trace) = traces.get_mut(request) {
                    trace.effects.push(at);
                }
            }
            _ => {}
        }
    }
    for trace in traces.values_mut() {
        trace.delivered.sort();
        trace.answers.sort();
        trace.calls.sort();
        trace.effects.sort_unstable();
    }
    traces
}

/// Decides all rules.
pub fn check(records: &[Record], config: &RuleConfig) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let request_traces = request_traces(records, config);
    for (id, trace) in &request_traces {
        check_final_answer(id, trace, config, &mut breaches);
        check_effects(id, trace, config, &mut breaches);
    }
    check_drains(records, config, &mut breaches);
    check_slow_start(records, &mut breaches);
    check_load_rate(records, config, &mut breaches);
    if let Some(bound) = config.migration_grace {
        check_tenant_isolation(records, config, bound, &mut breaches);
    }
    breaches.sort();
    breaches
}

fn check_final_answer(
    id: &str,
    trace: &RequestTrace,
    config: &RuleConfig,
    breaches: &mut Vec<Breach>,
) {
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::OneFinalAnswer,
            at,
            what,
        });
    };
    if config
        .published_until
        .is_some_and(|until| trace.published > until)
    {
        return;
    }
    let deadline = trace.published + trace.timeout;
    match &trace.answers[..] {
        [] => add(
            deadline,
            format!(
                "call {id} has no answer; delivered {} times",
                trace.delivered.len()
            ),
        ),
        [(at, verdict)] => {
            // What a front end that died had held comes again and is answered then; what came too late, at once.
            let last = trace.delivered.last().map_or(trace.published, |d| d.0);
            let again = trace.delivered.iter().any(|d| d.1);
            let own = if again {
                last + trace.timeout
            } else {
                deadline
            };
            if *at > own.max(last) + config.slack {
                let late = (*at - own.max(last)) / MS;
                add(
                    *at,
                    format!("call {id} was {verdict} {late} ms after its time"),
                );
            }
            if let Some((t, worker, ..)) = trace.calls.iter().find(|c| c.0 > at + config.slack) {
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

fn check_effects(id: &str, trace: &RequestTrace, config: &RuleConfig, breaches: &mut Vec<Breach>) {
    let Some(class) = config.classes.get(&trace.class) else {
        return;
    };
    let mut add = |at, what: String| {
        breaches.push(Breach {
            rule: Rule::EffectAtMostOnce,
            at,
            what,
        });
    };
    if class.idempotency == Idempotency::Idempotent {
        return;
    }
    if let [_, second, ..] = trace.effects[..] {
        add(
            second,
            format!(
                "call {id} of class {} took effect {} times",
                trace.class,
                trace.effects.len()
            ),
        );
    }
    let refused = trace.answers.iter().find(|(_, v)| v == "refused");
    if let (Idempotency::NonIdempotent, Some((at, _)), [first, ..]) =
        (class.idempotency, refused, &trace.effects[..])
    {
        // A refusal says that another try is harmless: of a call that ran it is a lie.
        add(*at.max(first), format!("call {id} ran and was refused"));
    }
    // Each further send needs proof that all before it did not run, or for a keyed one that its repeat is dropped.
    for (n, (at, worker, ..)) in trace.calls.iter().enumerate() {
        for (earlier, w, attempt, front_end) in &trace.calls[..n] {
            let proof = |r: &&(u64, String, u32, String, bool)| {
                r.4 && (&r.1, r.2, &r.3) == (w, *attempt, front_end) && r.0 <= *at
            };
            if trace.replies.iter().any(|r| proof(&r)) {
                continue;
            }
            let within = *at < earlier + class.deduplication_window;
            if class.idempotency == Idempotency::NonIdempotent || !within {
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
fn front_end_of(client: &str) -> &str {
    client.rsplit_once('#').map_or(client, |(name, _)| name)
}

fn check_drains(records: &[Record], config: &RuleConfig, breaches: &mut Vec<Breach>) {
    // Since when each front end knows that a worker takes nothing new.
    let mut ordered: Vec<&Record> = records.iter().collect();
    ordered.sort_by_key(|r| r.time_ns);
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
                    closed.entry(key).or_insert(r.time_ns);
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
        if let Some(since) = closed.get(&(front_end.as_str(), r.observer.as_str()))
            && r.time_ns > since + config.drain_grace + config.slack
        {
            let after = (r.time_ns - since) / MS;
            let what = format!(
                "{what} came to {} from {front_end} {after} ms after it was told",
                r.observer
            );
            breaches.push(Breach {
                rule: Rule::DrainRespected,
                at: r.time_ns,
                what,
            });
        }
    }
}

fn check_slow_start(records: &[Record], breaches: &mut Vec<Breach>) {
    for r in records {
        if let Seen::FellOver { sent, bound } = &r.seen {
            let what = format!(
                "{} fell over: {sent} calls sent, {bound:.1} borne",
                r.observer
            );
            breaches.push(Breach {
                rule: Rule::SlowStartRespected,
                at: r.time_ns,
                what,
            });
        }
    }
}

fn check_load_rate(records: &[Record], config: &RuleConfig, breaches: &mut Vec<Breach>) {
    let Some((window, base, share)) = config.load_rate_limit else {
        return;
    };
    let mut orders: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let mut taken: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Order {
                front_end, copies, ..
            } if *copies > 0 => orders.entry(front_end).or_default().push(r.time_ns),
            Seen::Delivered { queue, client, .. } if *queue == config.queue => {
                taken
                    .entry(front_end_of(client))
                    .or_default()
                    .push(r.time_ns);
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
                .filter(|t| **t + window > at + config.slack)
                .count() as f64;
            let came = calls
                .iter()
                .filter(|t| **t + window + config.slack > *at && **t <= at + config.slack)
                .count();
            let allowed = base + share * came as f64;
            if within > allowed {
                let what =
                    format!("{front_end}: {within} orders to load where {allowed:.2} are allowed");
                breaches.push(Breach {
                    rule: Rule::LoadRateLimited,
                    at: *at,
                    what,
                });
            }
        }
    }
}
