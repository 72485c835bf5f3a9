//! Whose call a message is: proofs, replays, steps of the wall clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Content, FieldTable, Properties, ShortStr};
use pipithub_clock::ManualClock;
use pipithub_consumer::identity::{Identity, Keys, Rule, sign};
use pipithub_engine::Time;

const MS: Time = 1_000_000;
const HOUR_MS: i64 = 3_600_000;
const NOW: Time = 1;

const WALL: u64 = 1_800_000_000_000;

fn rule() -> Rule {
    let keys = BTreeMap::from([("desk".to_string(), b"secret".to_vec())]);
    Rule::Signed(Arc::new(Keys {
        keys,
        max_age: 60_000 * MS,
    }))
}

fn message(id: &str, sent: u64) -> Content {
    let headers = FieldTable::new()
        .with("pipithub-user", "Mai")
        .with("pipithub-key-id", "desk")
        .with("pipithub-function", "north-map")
        .with("pipithub-sent-ms", sent as i64);
    let properties = Properties {
        headers: Some(headers),
        message_id: Some(ShortStr::truncated(id)),
        reply_to: Some(ShortStr::truncated("answers")),
        ..Properties::default()
    };
    Content {
        properties,
        body: Bytes::from_static(b"body"),
    }
}

fn signed(id: &str, sent: u64) -> Content {
    let mut content = message(id, sent);
    let signature = sign(b"secret", &content, "q");
    let headers = content.properties.headers.take().unwrap_or_default();
    content.properties.headers = Some(headers.with("pipithub-signature", signature.as_str()));
    content
}

#[test]
fn a_signed_call_is_its_users_once() {
    let mut identity = Identity::new(rule());
    let call = signed("m", WALL - 10);
    assert_eq!(
        identity.user(&call, "q", false, NOW, WALL),
        Ok(Some("mai".into()))
    );
    assert!(
        identity.user(&call, "q", false, NOW, WALL + 1).is_err(),
        "published a second time"
    );
    assert!(
        identity.user(&call, "q", true, NOW, WALL + 1).is_ok(),
        "delivered again by the broker"
    );
    assert!(
        identity
            .user(&signed("old", WALL - 60_001), "q", false, NOW, WALL)
            .is_err()
    );
    assert!(
        identity
            .user(&signed("new", WALL + 30_001), "q", false, NOW, WALL)
            .is_err()
    );
}

/// Each of these would let somebody have another's call run otherwise than it was meant.
#[test]
fn nothing_that_counts_can_be_changed_under_a_signature() {
    let changes: [fn(&mut Content); 8] = [
        |c| c.body = Bytes::from_static(b"other"),
        |c| c.properties.reply_to = Some(ShortStr::truncated("mine")),
        |c| c.properties.message_id = Some(ShortStr::truncated("other")),
        |c| c.properties.kind = Some(ShortStr::truncated("assign")),
        |c| set(c, "pipithub-user", "lan"),
        |c| set(c, "pipithub-function", "south-map"),
        |c| set(c, "pipithub-class", "assign"),
        |c| set(c, "pipithub-signature", "00"),
    ];
    for (n, change) in changes.into_iter().enumerate() {
        let mut call = signed("m", WALL);
        change(&mut call);
        assert!(
            Identity::new(rule())
                .user(&call, "q", false, NOW, WALL)
                .is_err(),
            "change {n}"
        );
    }
    assert!(
        Identity::new(rule())
            .user(&signed("m", WALL), "other-queue", false, NOW, WALL)
            .is_err()
    );
    assert!(
        Identity::new(rule())
            .user(&message("m", WALL), "q", false, NOW, WALL)
            .is_err(),
        "unsigned"
    );
}

fn set(content: &mut Content, name: &str, value: &str) {
    let headers = content.properties.headers.take().unwrap_or_default();
    let others = headers.iter().filter(|(n, _)| n.to_string() != name);
    let kept = others.fold(FieldTable::new(), |t, (n, v)| t.with(n, v.clone()));
    content.properties.headers = Some(kept.with(name, value));
}

#[test]
fn the_brokers_word_counts_and_no_other() {
    let mut content = message("m", WALL);
    assert!(
        Identity::new(Rule::Broker)
            .user(&content, "q", false, NOW, WALL)
            .is_err(),
        "no user_id"
    );
    content.properties.user_id = Some(ShortStr::truncated("lan"));
    assert!(
        Identity::new(Rule::Broker)
            .user(&content, "q", false, NOW, WALL)
            .is_err(),
        "and another in the header"
    );
    set(&mut content, "pipithub-user", "lan");
    assert_eq!(
        Identity::new(Rule::Broker).user(&content, "q", false, NOW, WALL),
        Ok(Some("lan".into()))
    );
    assert!(
        Identity::new(Rule::None)
            .user(&content, "q", false, NOW, WALL)
            .is_err(),
        "a name nobody checked"
    );
    content.properties.user_id = Some(ShortStr::truncated("x\u{7}"));
    set(&mut content, "pipithub-user", "x\u{7}");
    assert!(
        Identity::new(Rule::Broker)
            .user(&content, "q", false, NOW, WALL)
            .is_err()
    );
}

/// Whether a message signed at this time is taken, by clocks that may have been stepped.
fn is_taken(identity: &mut Identity, id: &str, sent_ms: u64, clock: &ManualClock) -> bool {
    let reading = clock.read();
    identity
        .user(
            &signed(id, sent_ms),
            "q",
            false,
            reading.now,
            reading.wall_ms,
        )
        .is_ok()
}

/// The memory's age had been counted by the wall clock: a step forward emptied it, and the step back let replays in.
#[test]
fn steps_of_the_wall_clock_let_no_replay_in() {
    for there_ms in [1_000, 40_000, 95_000, HOUR_MS] {
        for first_ms in [there_ms, -there_ms] {
            let (mut clock, mut identity) = (ManualClock::new(NOW, WALL), Identity::new(rule()));
            assert!(is_taken(&mut identity, "m", WALL, &clock));
            clock.step_wall_ms(first_ms);
            // Others come meanwhile, at the stepped time: what is old is let go of.
            let sent_ms = clock.read().wall_ms;
            assert!(
                is_taken(&mut identity, "other", sent_ms, &clock),
                "step {first_ms}"
            );
            assert!(
                !is_taken(&mut identity, "m", WALL, &clock),
                "step {first_ms}"
            );
            clock.step_wall_ms(-first_ms);
            assert!(
                !is_taken(&mut identity, "m", WALL, &clock),
                "step {first_ms} and back"
            );
        }
    }
}

/// A message too old for the clock is in time again after a step back, by up to an hour with its id remembered.
#[test]
fn a_step_back_long_after_lets_no_replay_in() {
    for waited_ms in [60_000, 90_000, 91_000, 3_600_000, 3_700_000, 7_200_000] {
        let (mut clock, mut identity) = (ManualClock::new(NOW, WALL), Identity::new(rule()));
        assert!(is_taken(&mut identity, "m", WALL, &clock));
        clock.advance(waited_ms * MS);
        assert!(
            is_taken(&mut identity, "other", WALL + waited_ms, &clock),
            "after {waited_ms}"
        );
        clock.step_wall_ms(-(waited_ms as i64));
        assert!(
            !is_taken(&mut identity, "m", WALL, &clock),
            "after {waited_ms}"
        );
    }
}

#[test]
fn after_a_step_back_by_an_hour_new_messages_are_taken() {
    let (mut clock, mut identity) = (ManualClock::new(NOW, WALL), Identity::new(rule()));
    for n in 0..100 {
        assert!(is_taken(
            &mut identity,
            &format!("before-{n}"),
            clock.read().wall_ms,
            &clock
        ));
        clock.advance(60_000 * MS);
    }
    clock.step_wall_ms(-HOUR_MS);
    for n in 0..100 {
        assert!(
            is_taken(
                &mut identity,
                &format!("after-{n}"),
                clock.read().wall_ms,
                &clock
            ),
            "{n}"
        );
        clock.advance(60_000 * MS);
    }
}
