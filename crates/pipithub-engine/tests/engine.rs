//! The engine against scripted sources and workers.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_engine::memory::{Again, unknown_earlier};
use pipithub_engine::policy::{
    Class, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate, Idempotency, Limits,
    LoadReport, Outcome, Settings, WorkerId,
};
use pipithub_engine::{
    AttemptId, AttemptResult, Call, Cause, Engine, EngineSettings, Input, Output, Owner, Owners,
    Reply, Served, SourceId, Tenant, TenantUser, Ticket, Time, Trigger, Verdict,
};

const MS: Time = 1_000_000;
const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
        client_timeout: 4_000 * MS,
        deduplication_window: 3_000 * MS,
        late_answer_weight: 0.3,
        ..Class::default()
    }
}

fn settings() -> EngineSettings {
    EngineSettings {
        policy: Settings {
            tick: MS,
            classes: vec![
                class(Idempotency::Idempotent),
                class(Idempotency::WithKey),
                class(Idempotency::NonIdempotent),
            ],
            limits: Limits {
                cancel: true,
                ..Limits::default()
            },
            ..Settings::default()
        },
        ..EngineSettings::default()
    }
}

struct Bed {
    engine: Engine,
    now: Time,
    out: Vec<Output>,
    tickets: u64,
}

impl Bed {
    fn new(settings: EngineSettings) -> Self {
        let mut bed = Bed {
            engine: Engine::new(settings, 7),
            now: 0,
            out: Vec::new(),
            tickets: 0,
        };
        let entry = |n: u32| Endpoint {
            worker: WorkerId::new(&format!("w{n}")),
            ..Endpoint::default()
        };
        bed.input(Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: (0..3).map(entry).collect(),
        });
        bed
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn trigger(
        &mut self,
        class: usize,
        change: impl FnOnce(&mut Trigger),
    ) -> (Ticket, Vec<Output>) {
        self.tickets += 1;
        let ticket = Ticket {
            source: SourceId(1),
            number: self.tickets,
        };
        let call = Call {
            function: "f".into(),
            class,
            replica_concurrency: 4,
            idempotency_key: Some("k".into()),
            body: Bytes::from_static(b"body"),
            ..Call::default()
        };
        let mut trigger = Trigger {
            ticket,
            identity: Some("m".into()),
            redelivered: false,
            deliveries: 0,
            call,
        };
        change(&mut trigger);
        (ticket, self.input(Input::Trigger(trigger)))
    }

    fn end(&mut self, id: AttemptId, outcome: Outcome) -> Vec<Output> {
        let served = (outcome == Outcome::Served).then(|| Served {
            status: 200,
            content_type: None,
            body: Bytes::from_static(b"yes"),
        });
        let load = LoadReport::default();
        let end = AttemptResult {
            id,
            outcome,
            elapsed: 10 * MS,
            replica_status: None,
            function_concurrency: None,
            load_report: load,
            served,
        };
        self.input(Input::AttemptFinished(end))
    }

    /// Lets time pass, doing what falls due.
    fn pass(&mut self, length: Time) -> Vec<Output> {
        let until = self.now + length;
        let mut all = Vec::new();
        while let Some(due) = self.engine.next_due().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            all.extend(self.input(Input::Tick));
        }
        self.now = until;
        all
    }
}

fn sends(out: &[Output]) -> Vec<AttemptId> {
    out.iter()
        .filter_map(|o| {
            if let Output::Forward { id, .. } = o {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

fn answers(out: &[Output]) -> Vec<(Ticket, Arc<Reply>)> {
    let of = |o: &Output| match o {
        Output::Answer { ticket, reply } => Some((*ticket, reply.clone())),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

fn only_answer(out: &[Output]) -> (Ticket, Arc<Reply>) {
    let mut all = answers(out);
    assert_eq!(all.len(), 1, "{out:?}");
    all.remove(0)
}

#[test]
fn a_call_is_sent_and_its_answer_comes_back() {
    let mut bed = Bed::new(settings());
    let (ticket, out) = bed.trigger(UNSAFE, |_| {});
    let out = bed.end(sends(&out)[0], Outcome::Served);
    let (to, reply) = only_answer(&out);
    assert_eq!(
        (to, reply.verdict, reply.attempts),
        (ticket, Verdict::Served, 1)
    );
    assert_eq!(
        reply.served.as_ref().map(|s| &s.body[..]),
        Some(&b"yes"[..])
    );
    assert_eq!(bed.engine.pending_requests(), 1);
    bed.input(Input::Settled(ticket));
    assert_eq!(
        (bed.engine.pending_requests(), bed.engine.body_bytes()),
        (0, 0)
    );
}

#[test]
fn a_call_with_almost_no_time_is_answered_at_once_and_never_sent() {
    let mut bed = Bed::new(settings());
    for budget in [0, 1, 5 * MS, 20 * MS] {
        // Nobody knows the function, so only a load of a second could serve it: 20 ms cannot be met.
        let (_, out) = bed.trigger(UNSAFE, |t| t.call.timeout = Some(budget));
        assert_eq!(sends(&out), []);
        assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected, "{budget}");
    }
}

/// Found by a drill: a call that had waited in its queue was given its class's whole time anew, and was answered when its
/// client had long gone.
#[test]
fn time_in_the_queue_counts() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(SAFE, |t| t.call.waited = 3_000 * MS);
    assert_eq!(sends(&out).len(), 1);
    let out = bed.pass(1_000 * MS);
    assert_eq!(
        only_answer(&out).1.verdict,
        Verdict::Rejected,
        "its 4 s are over"
    );
    let (_, out) = bed.trigger(SAFE, |t| t.call.waited = 5_000 * MS);
    assert_eq!(only_answer(&out).1.cause, Cause::TooLate);
}

#[test]
fn an_unsafe_call_that_may_have_run_fails_and_one_that_did_not_goes_on() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(UNSAFE, |_| {});
    let out = bed.end(sends(&out)[0], Outcome::Unreachable);
    let second = sends(&out)[0];
    assert_eq!(second.number, 1);
    let out = bed.end(second, Outcome::ConnectionLost);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Failed);
    assert_eq!(sends(&out), []);
}

#[test]
fn a_repeat_of_an_open_call_joins_it() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(UNSAFE, |_| {});
    let attempt = sends(&out)[0];
    bed.input(Input::SourceLost(SourceId(1)));
    let (again, out) = bed.trigger(UNSAFE, |t| t.redelivered = true);
    assert_eq!(out, [], "it is running already");
    let out = bed.end(attempt, Outcome::Served);
    assert_eq!(only_answer(&out).0, again);
}

#[test]
fn a_repeat_of_an_answered_call_gets_the_same_answer() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(UNSAFE, |_| {});
    bed.input(Input::SourceLost(SourceId(1)));
    assert_eq!(
        bed.end(sends(&out)[0], Outcome::Served),
        [],
        "nobody can be told now"
    );
    let (again, out) = bed.trigger(UNSAFE, |t| t.redelivered = true);
    let (to, reply) = only_answer(&out);
    assert_eq!((to, reply.verdict), (again, Verdict::Served));
    bed.input(Input::Settled(again));
    // A broker without transactions may lose the ack of an answer that is safe: no second answer then.
    let (third, out) = bed.trigger(UNSAFE, |t| t.redelivered = true);
    assert_eq!(out, [Output::Forget(third)]);
}

/// Found by the bad day: a front end whose connection was cut sent a call again after another had answered it.
#[test]
fn an_orphan_is_not_sent_again() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(SAFE, |_| {});
    bed.input(Input::SourceLost(SourceId(1)));
    assert_eq!(bed.end(sends(&out)[0], Outcome::ConnectionLost), []);
    assert_eq!(
        (
            bed.engine.pending_requests(),
            bed.engine.body_bytes(),
            bed.engine.attempts_in_flight()
        ),
        (0, 0, 0)
    );
    // Should it come back here after all, it is decided anew.
    let (_, out) = bed.trigger(SAFE, |t| t.redelivered = true);
    assert_eq!(sends(&out).len(), 1);
}

/// A client that uses a name anew must not have its call settled by the answer of an earlier one.
#[test]
fn a_name_used_anew_is_a_new_message() {
    let mut bed = Bed::new(settings());
    let (first, out) = bed.trigger(UNSAFE, |_| {});
    bed.end(sends(&out)[0], Outcome::Served);
    bed.input(Input::Settled(first));
    let (_, out) = bed.trigger(UNSAFE, |_| {});
    let attempt = sends(&out)[0];
    bed.input(Input::SourceLost(SourceId(1)));
    let (again, out) = bed.trigger(UNSAFE, |t| t.redelivered = true);
    assert_eq!(out, []);
    assert_eq!(only_answer(&bed.end(attempt, Outcome::Served)).0, again);
    // Twice at a time: both are answered.
    let (a, out_a) = bed.trigger(SAFE, |_| {});
    let (b, out_b) = bed.trigger(SAFE, |_| {});
    assert_eq!(
        only_answer(&bed.end(sends(&out_a)[0], Outcome::Served)).0,
        a
    );
    assert_eq!(
        only_answer(&bed.end(sends(&out_b)[0], Outcome::Served)).0,
        b
    );
}

#[test]
fn a_message_that_another_front_end_had_is_run_only_where_that_is_harmless() {
    let fate = |class: usize, age: Option<Time>| {
        let (_, out) = Bed::new(settings()).trigger(class, |t| {
            t.redelivered = true;
            t.call.age = age;
        });
        answers(&out).first().map(|(_, r)| (r.verdict, r.cause))
    };
    let failed = Some((Verdict::Failed, Cause::MayHaveRunBefore));
    assert_eq!(fate(SAFE, None), None);
    assert_eq!(fate(UNSAFE, Some(0)), failed);
    assert_eq!(
        fate(KEYED, None),
        failed,
        "its first send may be of any age"
    );
    assert_eq!(fate(KEYED, Some(500 * MS)), None);
    assert_eq!(
        fate(KEYED, Some(2_999 * MS)),
        failed,
        "workers may forget it while it is sent"
    );
}

#[test]
fn the_table_of_repeats() {
    let keyed = |group| Class {
        deduplication_scope: group,
        ..class(Idempotency::WithKey)
    };
    let all = keyed(DeduplicationScope::All);
    assert_eq!(
        unknown_earlier(&all, Some(MS), true, MS),
        Again::Run(Some(2_998 * MS))
    );
    assert_eq!(
        unknown_earlier(&all, Some(MS), false, MS),
        Again::Fail,
        "no key, no dropping"
    );
    assert_eq!(
        unknown_earlier(&all, Some(2_999 * MS), true, MS),
        Again::Fail
    );
    assert_eq!(
        unknown_earlier(&all, Some(Time::MAX), true, MS),
        Again::Fail
    );
    assert_eq!(
        unknown_earlier(&keyed(DeduplicationScope::Zone), Some(MS), true, MS),
        Again::Fail,
        "which zone had it?"
    );
}

#[test]
fn a_message_that_comes_again_and_again_is_failed() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(SAFE, |t| {
        t.redelivered = true;
        t.deliveries = 21;
    });
    let (_, reply) = only_answer(&out);
    assert_eq!(
        (reply.verdict, reply.cause),
        (Verdict::Failed, Cause::TooManyDeliveries)
    );
}

#[test]
fn what_nobody_can_be_told_of_is_withdrawn() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(SAFE, |t| t.identity = None);
    let attempt = sends(&out)[0];
    let out = bed.input(Input::SourceLost(SourceId(1)));
    assert_eq!(out, [Output::Cancel(attempt)]);
    assert_eq!(
        (
            bed.engine.pending_requests(),
            bed.engine.body_bytes(),
            bed.engine.attempts_in_flight()
        ),
        (0, 0, 1)
    );
    bed.end(attempt, Outcome::Cancelled);
    assert_eq!(bed.engine.attempts_in_flight(), 0);
}

/// A message that went elsewhere after a lost connection must not be held for ever.
#[test]
fn an_orphan_is_let_go_at_its_deadline() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(SAFE, |_| {});
    bed.input(Input::SourceLost(SourceId(1)));
    bed.end(sends(&out)[0], Outcome::Served);
    assert_eq!(bed.engine.pending_requests(), 1);
    bed.pass(5_000 * MS);
    assert_eq!(
        (bed.engine.pending_requests(), bed.engine.body_bytes()),
        (0, 0)
    );
}

#[test]
fn a_silent_worker_does_not_keep_a_caller_waiting_beyond_the_time() {
    let mut bed = Bed::new(settings());
    for (class, verdict) in [(SAFE, Verdict::Rejected), (UNSAFE, Verdict::Failed)] {
        let began = bed.now;
        let (ticket, out) = bed.trigger(class, |t| t.call.timeout = Some(1_500 * MS));
        let attempt = sends(&out)[0];
        let out = bed.pass(1_500 * MS);
        let (to, reply) = only_answer(&out);
        assert_eq!((to, reply.verdict), (ticket, verdict));
        assert!(out.contains(&Output::Cancel(attempt)));
        bed.end(attempt, Outcome::Cancelled);
        bed.input(Input::Settled(ticket));
        assert!(bed.now <= began + 1_500 * MS);
    }
}

#[test]
fn every_bound_answers_at_once() {
    let mut bed = Bed::new(EngineSettings {
        max_pending: 2,
        ..settings()
    });
    bed.trigger(SAFE, |t| t.identity = Some("a".into()));
    bed.trigger(SAFE, |t| t.identity = Some("b".into()));
    assert_eq!(bed.engine.capacity(), 0);
    let (_, out) = bed.trigger(SAFE, |t| t.identity = Some("c".into()));
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);

    let mut bed = Bed::new(EngineSettings {
        max_body_bytes: 5,
        ..settings()
    });
    bed.trigger(SAFE, |t| t.identity = Some("a".into()));
    let (_, out) = bed.trigger(SAFE, |t| t.identity = Some("b".into()));
    assert_eq!(only_answer(&out).1.cause, Cause::AtCapacity);

    let mut bed = Bed::new(settings());
    bed.input(Input::Drain);
    let (_, out) = bed.trigger(SAFE, |_| {});
    assert_eq!(only_answer(&out).1.cause, Cause::Draining);

    let mut bed = Bed::new(EngineSettings {
        max_function_names: 10,
        ..settings()
    });
    for n in 0..100 {
        bed.now += MS;
        bed.trigger(SAFE, |t| {
            t.identity = None;
            t.call.function = format!("one-off {n}").into();
        });
    }
}

#[test]
fn before_the_first_list_there_is_no_room() {
    let mut engine = Engine::new(settings(), 7);
    assert_eq!(engine.capacity(), 0);
    engine.handle(
        0,
        Input::Endpoints {
            update: EndpointUpdate::Lost,
            endpoints: Vec::new(),
        },
        &mut Vec::new(),
    );
    assert_eq!(engine.capacity(), 0, "a list that could not be had is none");
    engine.handle(
        0,
        Input::Endpoints {
            update: EndpointUpdate::Snapshot,
            endpoints: Vec::new(),
        },
        &mut Vec::new(),
    );
    assert_eq!(engine.capacity(), settings().max_pending);
}

#[test]
fn without_workers_a_call_is_refused_and_after_their_return_served() {
    let mut bed = Bed::new(settings());
    let gone = |n: u32| Endpoint {
        worker: WorkerId::new(&format!("w{n}")),
        state: EndpointState::Removed,
        ..Endpoint::default()
    };
    bed.input(Input::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: (0..3).map(gone).collect(),
    });
    assert_eq!(bed.engine.ready_workers(), 0);
    let (_, out) = bed.trigger(SAFE, |t| t.identity = None);
    assert_eq!(only_answer(&out).1.verdict, Verdict::Rejected);
    let back = Endpoint {
        worker: WorkerId::new("w9"),
        ..Endpoint::default()
    };
    bed.input(Input::Endpoints {
        update: EndpointUpdate::Delta,
        endpoints: vec![back],
    });
    let (_, out) = bed.trigger(SAFE, |t| t.identity = None);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn an_outcome_that_nothing_was_sent_for_changes_nothing() {
    let mut bed = Bed::new(settings());
    let (_, out) = bed.trigger(UNSAFE, |_| {});
    let id = sends(&out)[0];
    assert_eq!(bed.end(AttemptId { number: 5, ..id }, Outcome::Served), []);
    assert_eq!(
        bed.end(
            AttemptId {
                request: 99,
                number: 0
            },
            Outcome::Served
        ),
        []
    );
    assert_eq!(answers(&bed.end(id, Outcome::Served)).len(), 1);
    assert_eq!(
        bed.end(id, Outcome::Served),
        [],
        "a second outcome of one attempt is none"
    );
}

fn owned() -> EngineSettings {
    let mut owners = Owners::default();
    owners.insert("north-*", Owner::Tenant(Tenant(0)));
    owners.insert("south-*", Owner::Tenant(Tenant(1)));
    EngineSettings {
        owners: Arc::new(owners),
        ..settings()
    }
}

fn of(function: &str, tenant: u16, user: &str) -> impl FnOnce(&mut Trigger) {
    move |t| {
        t.identity = Some(format!("{function}-{tenant}-{user}").into());
        t.call.function = function.into();
        t.call.tenant = Some(Tenant(tenant));
        t.call.user = Some(user.into());
    }
}

fn verdicts(out: &[Output]) -> Vec<(Verdict, Cause)> {
    let answer = |o: &Output| match o {
        Output::Answer { reply, .. } => Some((reply.verdict, reply.cause)),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

#[test]
fn a_call_runs_functions_of_its_own_tenant_alone() {
    let mut bed = Bed::new(owned());
    let (_, out) = bed.trigger(SAFE, of("south-map", 0, "mai"));
    assert_eq!(verdicts(&out), [(Verdict::Rejected, Cause::OtherTenant)]);
    let (_, out) = bed.trigger(SAFE, of("unnamed", 0, "mai"));
    assert_eq!(verdicts(&out), [(Verdict::Rejected, Cause::OtherTenant)]);
    let (_, out) = bed.trigger(SAFE, |t| t.call.function = "north-map".into());
    assert_eq!(
        verdicts(&out),
        [(Verdict::Rejected, Cause::OtherTenant)],
        "nobody's call"
    );
    let (_, out) = bed.trigger(SAFE, of("north-map", 0, "mai"));
    assert!(out.iter().any(|o| matches!(o, Output::Forward { .. })));
}

/// What the old tenant's worker answers must not reach a user who is another's by then, nor may anything more be sent.
#[test]
fn a_moved_users_calls_end_at_once() {
    let mut bed = Bed::new(owned());
    let (_, out) = bed.trigger(UNSAFE, of("north-map", 0, "mai"));
    let Some(Output::Forward { id, .. }) = out.iter().find(|o| matches!(o, Output::Forward { .. }))
    else {
        panic!("a send")
    };
    let (_, other) = bed.trigger(SAFE, of("north-map", 0, "lan"));
    assert!(other.iter().any(|o| matches!(o, Output::Forward { .. })));
    // A call of the new side that came before the word of the move was handled goes on.
    let (_, new) = bed.trigger(SAFE, of("south-map", 1, "mai"));
    assert!(new.iter().any(|o| matches!(o, Output::Forward { .. })));
    let out = bed.input(Input::UserMigrated {
        user: "mai".into(),
        now: Some(TenantUser {
            tenant: Tenant(1),
            person: 0,
        }),
    });
    assert_eq!(
        verdicts(&out),
        [(Verdict::Failed, Cause::UserMigrated)],
        "it may have run"
    );
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Cancel(c) if c == id)),
        "{out:?}"
    );
    let out = bed.end(*id, Outcome::Served);
    assert_eq!(verdicts(&out), [], "one answer");
    assert!(
        !bed.pass(5_000 * MS)
            .iter()
            .any(|o| matches!(o, Output::Forward { id: again, .. } if again.request == id.request))
    );
}

/// A message that is open here is delivered again while its tenant is over its share: it keeps its one run and answer.
#[test]
fn a_refusal_of_what_is_open_already_only_takes_the_new_ticket() {
    let mut bed = Bed::new(owned());
    let (_, out) = bed.trigger(SAFE, of("north-map", 0, "mai"));
    let Some(Output::Forward { id, .. }) = out.iter().find(|o| matches!(o, Output::Forward { .. }))
    else {
        panic!("a send")
    };
    bed.input(Input::SourceLost(SourceId(1)));
    let call = Call {
        function: "north-map".into(),
        tenant: Some(Tenant(0)),
        ..Call::default()
    };
    let ticket = Ticket {
        source: SourceId(1),
        number: 99,
    };
    let identity: Option<Arc<str>> = Some("north-map-0-mai".into());
    assert!(
        bed.engine
            .knows(identity.as_ref().expect("a name"), bed.now)
    );
    let trigger = Trigger {
        ticket,
        identity,
        redelivered: true,
        deliveries: 1,
        call,
    };
    let out = bed.input(Input::Reject {
        trigger,
        cause: Cause::OverQuota,
        retry_after: None,
    });
    assert_eq!(verdicts(&out), []);
    assert_eq!(
        verdicts(&bed.end(*id, Outcome::Served)),
        [(Verdict::Served, Cause::Answered)]
    );
    // A redelivered unsafe one that is unknown here may have run: a refusal would call it harmless.
    let trigger = Trigger {
        ticket: Ticket {
            source: SourceId(1),
            number: 100,
        },
        identity: Some("other".into()),
        redelivered: true,
        deliveries: 1,
        call: Call {
            function: "north-map".into(),
            class: UNSAFE,
            tenant: Some(Tenant(0)),
            ..Call::default()
        },
    };
    let out = bed.input(Input::Reject {
        trigger,
        cause: Cause::OverQuota,
        retry_after: None,
    });
    assert_eq!(verdicts(&out), [(Verdict::Failed, Cause::MayHaveRunBefore)]);
}
