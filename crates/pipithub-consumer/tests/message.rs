//! Tests of reading messages as calls.

use bytes::Bytes;
use pipithub_amqp::{Content, FieldTable, FieldValue, Properties, ShortStr};
use pipithub_clock::ManualClock;
use pipithub_consumer::LatestWallTime;
use pipithub_consumer::message::{
    ArrivalTime, ClassName, MessageError, ParsedMessage, Route, dead_letter, read,
};
use pipithub_engine::Time;

const MS: Time = 1_000_000;

const WALL_MS: u64 = 1_800_000_000_500;
const ARRIVAL: ArrivalTime = ArrivalTime {
    wall_ms: WALL_MS,
    latest_wall_ms: WALL_MS,
};

fn classes() -> Vec<ClassName> {
    let class = |name: &str, needs_key| ClassName {
        name: name.into(),
        needs_key,
    };
    vec![class("view", false), class("change", true)]
}

fn content(change: impl FnOnce(&mut Properties)) -> Content {
    let headers = FieldTable::new()
        .with("pipithub-function", "f")
        .with("pipithub-class", "view");
    let mut properties = Properties {
        headers: Some(headers),
        ..Properties::default()
    };
    change(&mut properties);
    Content {
        properties,
        body: Bytes::from_static(b"x"),
    }
}

fn set_header(p: &mut Properties, name: &str, value: impl Into<FieldValue>) {
    p.headers = Some(p.headers.take().unwrap_or_default().with(name, value));
}

fn read_with(change: impl FnOnce(&mut Properties)) -> Result<ParsedMessage, MessageError> {
    read(&content(change), &Route::default(), &classes(), ARRIVAL)
}

#[test]
fn timeout_is_reduced_by_the_time_since_the_message_was_sent() {
    let budget = |change: fn(&mut Properties)| read_with(change).expect("readable").call.timeout;
    assert_eq!(budget(|_| {}), None);
    assert_eq!(
        budget(|p| p.expiration = Some(ShortStr::truncated("900"))),
        Some(900 * MS)
    );
    let sent = |p: &mut Properties| {
        p.expiration = Some(ShortStr::truncated("900"));
        set_header(p, "pipithub-sent-ms", (WALL_MS - 400) as i64);
    };
    assert_eq!(budget(sent), Some(500 * MS));
    assert_eq!(
        budget(|p| {
            p.expiration = Some(ShortStr::truncated("900"));
            set_header(p, "pipithub-budget-ms", 300i64);
            set_header(p, "pipithub-sent-ms", (WALL_MS - 400) as i64);
        }),
        Some(0)
    );
    // A clock that is behind the sender's must not lengthen the timeout.
    assert_eq!(
        budget(|p| {
            set_header(p, "pipithub-budget-ms", 300i64);
            set_header(p, "pipithub-sent-ms", (WALL_MS + 5_000) as i64);
        }),
        Some(300 * MS)
    );
}

/// A timestamp is rounded down to whole seconds, so its message may have been sent up to 999 ms later. The client must
/// not lose that time, and the message must not look younger by it.
#[test]
fn timestamp_in_seconds_neither_shortens_the_timeout_nor_lowers_the_age() {
    let read = read_with(|p| {
        p.timestamp = Some(WALL_MS / 1000 - 1);
        p.expiration = Some(ShortStr::truncated("2000"));
    });
    let call = read.expect("readable").call;
    assert_eq!(call.timeout, Some((2000 - 501) * MS));
    assert_eq!(call.waited, 501 * MS);
    assert_eq!(call.age, Some(1500 * MS));
}

#[test]
fn unreadable_message_is_rejected_with_its_reason() {
    let rejection =
        |change: fn(&mut Properties)| read_with(change).expect_err("unreadable").to_string();
    assert!(rejection(|p| p.headers = None).contains("pipithub-class"));
    assert!(rejection(|p| set_header(p, "pipithub-class", "nope")).contains("'nope'"));
    assert!(rejection(|p| set_header(p, "pipithub-function", "")).contains("0 bytes"));
    assert!(rejection(|p| set_header(p, "pipithub-function", 5i64)).contains("not a text"));
    assert!(
        rejection(|p| set_header(p, "pipithub-memory-mb", "lots")).contains("pipithub-memory-mb")
    );
    assert!(rejection(|p| set_header(p, "pipithub-lanes", -1i64)).contains("pipithub-lanes"));
    assert!(
        rejection(|p| set_header(p, "pipithub-budget-ms", FieldValue::F64(f64::NAN)))
            .contains("budget")
    );
    assert!(rejection(|p| p.expiration = Some(ShortStr::truncated("soon"))).contains("'soon'"));
    assert!(
        rejection(|p| set_header(p, "pipithub-class", "change"))
            .contains("needs header pipithub-key")
    );
}

#[test]
fn identity_key_and_class_come_from_properties_where_headers_are_missing() {
    let named = read_with(|p| {
        p.message_id = Some(ShortStr::truncated("m"));
        set_header(p, "pipithub-class", "change");
    });
    let named = named.expect("readable");
    assert!(named.identity.is_some());
    assert_eq!(named.call.idempotency_key.as_deref(), Some("m"));
    let by_reply = read_with(|p| {
        p.reply_to = Some(ShortStr::truncated("r"));
        p.correlation_id = Some(ShortStr::truncated("c"));
    });
    assert!(by_reply.expect("readable").identity.is_some());
    let only_reply_to = read_with(|p| p.reply_to = Some(ShortStr::truncated("r")));
    assert_eq!(only_reply_to.expect("readable").identity, None);
    assert_eq!(read_with(|_| {}).expect("readable").identity, None);
    // Another use of `type` is ignored if the route gives the class.
    let route = Route {
        class: Some(0),
        ..Route::default()
    };
    let odd = content(|p| {
        p.kind = Some(ShortStr::truncated("com.example.Event"));
        p.headers = Some(FieldTable::new().with("pipithub-function", "f"));
    });
    assert_eq!(
        read(&odd, &route, &classes(), ARRIVAL)
            .expect("readable")
            .call
            .class,
        0
    );
}

const HOUR_MS: i64 = 3_600_000;

/// The age of a message sent at this wall time, by a clock that may have been stepped.
fn age_of(sent_ms: u64, latest: &mut LatestWallTime, clock: &ManualClock) -> Option<Time> {
    let reading = clock.read();
    let latest_wall_ms = latest.observe(reading.now, reading.wall_ms);
    let arrival = ArrivalTime {
        wall_ms: reading.wall_ms,
        latest_wall_ms,
    };
    let content = content(|p| set_header(p, "pipithub-sent-ms", sent_ms as i64));
    read(&content, &Route::default(), &classes(), arrival)
        .expect("readable")
        .call
        .age
}

/// The age decides whether workers still deduplicate a redelivered call. If it looked younger, the call could run
/// twice.
#[test]
fn message_looks_no_younger_after_the_wall_clock_steps_back() {
    for step_ms in [-1_000, -HOUR_MS] {
        let mut clock = ManualClock::new(1, WALL_MS);
        let mut latest = LatestWallTime::default();
        assert_eq!(age_of(WALL_MS, &mut latest, &clock), Some(0));
        clock.advance(20_000 * MS);
        clock.step_wall_ms(step_ms);
        assert_eq!(
            age_of(WALL_MS, &mut latest, &clock),
            Some(20_000 * MS),
            "step {step_ms}"
        );
        clock.advance(5_000 * MS);
        assert_eq!(
            age_of(WALL_MS, &mut latest, &clock),
            Some(25_000 * MS),
            "step {step_ms}"
        );
        // After a day the clock is assumed to have been ahead before.
        clock.advance(24 * 3_600_000 * MS);
        let wall_ms = clock.read().wall_ms;
        assert_eq!(
            age_of(wall_ms - 7, &mut latest, &clock),
            Some(7 * MS),
            "step {step_ms}"
        );
    }
}

#[test]
fn message_looks_older_at_once_after_the_wall_clock_steps_forward() {
    let mut clock = ManualClock::new(1, WALL_MS);
    let mut latest = LatestWallTime::default();
    assert_eq!(age_of(WALL_MS, &mut latest, &clock), Some(0));
    clock.step_wall_ms(HOUR_MS);
    assert_eq!(
        age_of(WALL_MS, &mut latest, &clock),
        Some(HOUR_MS as u64 * MS)
    );
}

#[test]
fn age_of_a_message_from_the_future_is_unknown() {
    let clock = ManualClock::new(1, WALL_MS);
    assert_eq!(
        age_of(WALL_MS + 1_000, &mut LatestWallTime::default(), &clock),
        Some(0),
        "a small difference between clocks"
    );
    assert_eq!(
        age_of(WALL_MS + 1_001, &mut LatestWallTime::default(), &clock),
        None
    );
}

/// Guards against copies that the broker refuses, routes further or drops: what it checks against the login of the gateway,
/// acts on or notes itself stands under another name.
#[test]
fn dead_letter_carries_nothing_that_a_broker_acts_on_and_says_what_the_original_had() {
    let deaths = || {
        FieldValue::Array(vec![FieldValue::Table(
            FieldTable::new().with("count", 1i64),
        )])
    };
    let original = content(|p| {
        p.user_id = Some(ShortStr::truncated("mai"));
        p.expiration = Some(ShortStr::truncated("soon"));
        p.cluster_id = Some(ShortStr::truncated("c"));
        p.reply_to = Some(ShortStr::truncated("amq.rabbitmq.reply-to"));
        p.message_id = Some(ShortStr::truncated("m"));
        p.delivery_mode = Some(7);
        set_header(p, "CC", deaths());
        set_header(p, "BCC", "other");
        set_header(p, "x-death", deaths());
        set_header(p, "x-delay", 1000i64);
        set_header(p, "pipithub-original-user", "lan");
        set_header(p, "pipithub-reason", "none");
        set_header(p, "trace", "t");
    });
    let error = MessageError::MissingClass;
    let copy = dead_letter(&original.properties, "calls", &error);
    let headers = FieldTable::new()
        .with("pipithub-class", "view")
        .with("pipithub-function", "f")
        .with("pipithub-original-BCC", "other")
        .with("pipithub-original-CC", deaths())
        .with("pipithub-original-expiration", "soon")
        .with("pipithub-original-pipithub-original-user", "lan")
        .with("pipithub-original-reply-to", "amq.rabbitmq.reply-to")
        .with("pipithub-original-user", "mai")
        .with("pipithub-original-x-death", deaths())
        .with("pipithub-original-x-delay", 1000i64)
        .with("pipithub-queue", "calls")
        .with("pipithub-reason", error.to_string().as_str())
        .with("trace", "t");
    let expected = Properties {
        headers: Some(headers),
        message_id: Some(ShortStr::truncated("m")),
        ..Properties::default()
    };
    assert_eq!(copy, expected);
}

/// A reply queue of the client's own helps who handles the dead letter, and no broker refuses it.
#[test]
fn dead_letter_keeps_what_brokers_pass_on_unchanged() {
    let original = content(|p| {
        p.reply_to = Some(ShortStr::truncated("answers"));
        p.correlation_id = Some(ShortStr::truncated("c"));
        p.delivery_mode = Some(2);
        p.priority = Some(3);
        p.timestamp = Some(5);
        p.headers = None;
    });
    let copy = dead_letter(&original.properties, "calls", &MessageError::MissingClass);
    assert_eq!(
        Properties {
            headers: None,
            ..copy
        },
        original.properties
    );
}

/// Guards against answers that go to the call of another client, because both clients number their messages alike.
#[test]
fn messages_with_one_id_that_differ_in_anything_have_different_identities() {
    type Change = fn(&mut Content);
    let changes: [(&str, Change); 8] = [
        ("the user", |c| {
            c.properties.user_id = Some(ShortStr::truncated("lan"));
        }),
        ("the signed user", |c| {
            set_header(&mut c.properties, "pipithub-user", "lan");
        }),
        ("the reply queue", |c| {
            c.properties.reply_to = Some(ShortStr::truncated("other"));
        }),
        ("the correlation id", |c| {
            c.properties.correlation_id = Some(ShortStr::truncated("other"));
        }),
        ("the function", |c| {
            set_header(&mut c.properties, "pipithub-function", "g");
        }),
        ("the client timeout", |c| {
            c.properties.expiration = Some(ShortStr::truncated("5"));
        }),
        ("the body", |c| c.body = Bytes::from_static(b"other")),
        ("the border of properties and body", |c| {
            c.body = Bytes::from_static(b"\0b");
        }),
    ];
    let message = content(|p| {
        p.message_id = Some(ShortStr::truncated("1"));
        p.reply_to = Some(ShortStr::truncated("answers"));
        p.correlation_id = Some(ShortStr::truncated("1"));
    });
    let identity = |content: &Content| {
        let read = read(content, &Route::default(), &classes(), ARRIVAL);
        read.expect("readable").identity.expect("it has an id")
    };
    for (what, change) in changes {
        let mut other = message.clone();
        change(&mut other);
        assert_ne!(identity(&other), identity(&message), "{what}");
    }
}

/// A redelivery has the identity of the first delivery, whatever the broker notes in it.
#[test]
fn headers_of_the_broker_do_not_change_the_identity() {
    let identity = |change: fn(&mut Properties)| {
        let read = read_with(|p| {
            p.message_id = Some(ShortStr::truncated("1"));
            change(p);
        });
        read.expect("readable").identity.expect("it has an id")
    };
    assert_eq!(
        identity(|p| set_header(p, "x-delivery-count", 1i64)),
        identity(|p| set_header(p, "x-delivery-count", 2i64))
    );
    assert_eq!(
        identity(|p| set_header(p, "x-delivery-count", 1i64)),
        identity(|_| {})
    );
}
