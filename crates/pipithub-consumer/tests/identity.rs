//! Tests of how messages prove which user they belong to, with replays and steps of the wall clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pipithub_amqp::{Content, FieldTable, Properties, ShortStr};
use pipithub_clock::ManualClock;
use pipithub_consumer::identity::{IdentityVerifier, Keys, Rule, sign};
use pipithub_consumer::message::MessageError;
use pipithub_engine::Time;

const MS: Time = 1_000_000;
const HOUR_MS: i64 = 3_600_000;
const NOW: Time = 1;

const WALL_MS: u64 = 1_800_000_000_000;

fn rule() -> Rule {
    let keys = BTreeMap::from([("desk".to_string(), b"secret".to_vec())]);
    Rule::Signed(Arc::new(Keys {
        keys,
        max_age: 60_000 * MS,
    }))
}

fn message(id: &str, sent_ms: u64) -> Content {
    let headers = FieldTable::new()
        .with("pipithub-user", "Mai")
        .with("pipithub-key-id", "desk")
        .with("pipithub-function", "north-map")
        .with("pipithub-sent-ms", sent_ms as i64);
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

fn signed(id: &str, sent_ms: u64) -> Content {
    let mut content = message(id, sent_ms);
    let signature = sign(b"secret", &content, "q");
    let headers = content.properties.headers.take().unwrap_or_default();
    content.properties.headers = Some(headers.with("pipithub-signature", signature.as_str()));
    content
}

#[test]
fn signed_call_is_accepted_once_and_again_only_if_redelivered() {
    let mut identity = IdentityVerifier::new(rule());
    let call = signed("m", WALL_MS - 10);
    assert_eq!(
        identity.verify_user(&call, "q", false, NOW, WALL_MS),
        Ok(Some("mai".into()))
    );
    assert!(
        identity
            .verify_user(&call, "q", false, NOW, WALL_MS + 1)
            .is_err(),
        "published a second time"
    );
    assert!(
        identity
            .verify_user(&call, "q", true, NOW, WALL_MS + 1)
            .is_ok(),
        "delivered again by the broker"
    );
    assert!(
        identity
            .verify_user(&signed("old", WALL_MS - 60_001), "q", false, NOW, WALL_MS)
            .is_err()
    );
    assert!(
        identity
            .verify_user(&signed("new", WALL_MS + 30_001), "q", false, NOW, WALL_MS)
            .is_err()
    );
}

/// The age guards against clients that publish a message again. The mark of a redelivery comes from the broker.
#[test]
fn age_counts_against_first_deliveries_alone_and_the_signature_against_all() {
    let times = [WALL_MS - 60_001, WALL_MS - 24 * 3_600_000, WALL_MS + 30_001];
    for sent_ms in times {
        let call = signed("m", sent_ms);
        let mut identity = IdentityVerifier::new(rule());
        let mut verify = |content: &Content, redelivered| {
            identity.verify_user(content, "q", redelivered, NOW, WALL_MS)
        };
        assert_eq!(verify(&call, false), Err(MessageError::SignatureOutOfTime));
        assert_eq!(verify(&call, true), Ok(Some("mai".into())));
        let mut changed = call;
        changed.body = Bytes::from_static(b"other");
        assert_eq!(verify(&changed, true), Err(MessageError::WrongSignature));
        let unsigned = message("m", sent_ms);
        assert_eq!(verify(&unsigned, true), Err(MessageError::MissingSignature));
    }
}

/// Each of these changes would let an attacker run a call in another way than its user signed.
#[test]
fn changed_signed_message_is_rejected() {
    let changes: [fn(&mut Content); 8] = [
        |c| c.body = Bytes::from_static(b"other"),
        |c| c.properties.reply_to = Some(ShortStr::truncated("mine")),
        |c| c.properties.message_id = Some(ShortStr::truncated("other")),
        |c| c.properties.kind = Some(ShortStr::truncated("assign")),
        |c| set_header(c, "pipithub-user", "lan"),
        |c| set_header(c, "pipithub-function", "south-map"),
        |c| set_header(c, "pipithub-class", "assign"),
        |c| set_header(c, "pipithub-signature", "00"),
    ];
    for (n, change) in changes.into_iter().enumerate() {
        let mut call = signed("m", WALL_MS);
        change(&mut call);
        assert!(
            IdentityVerifier::new(rule())
                .verify_user(&call, "q", false, NOW, WALL_MS)
                .is_err(),
            "change {n}"
        );
    }
    assert!(
        IdentityVerifier::new(rule())
            .verify_user(&signed("m", WALL_MS), "other-queue", false, NOW, WALL_MS)
            .is_err()
    );
    assert!(
        IdentityVerifier::new(rule())
            .verify_user(&message("m", WALL_MS), "q", false, NOW, WALL_MS)
            .is_err(),
        "unsigned"
    );
}

fn set_header(content: &mut Content, name: &str, value: &str) {
    let headers = content.properties.headers.take().unwrap_or_default();
    let others = headers.iter().filter(|(n, _)| n.to_string() != name);
    let kept = others.fold(FieldTable::new(), |t, (n, v)| t.with(n, v.clone()));
    content.properties.headers = Some(kept.with(name, value));
}

#[test]
fn only_the_user_id_that_the_broker_checked_is_accepted() {
    let mut content = message("m", WALL_MS);
    assert!(
        IdentityVerifier::new(Rule::Broker)
            .verify_user(&content, "q", false, NOW, WALL_MS)
            .is_err(),
        "no user_id"
    );
    content.properties.user_id = Some(ShortStr::truncated("lan"));
    assert!(
        IdentityVerifier::new(Rule::Broker)
            .verify_user(&content, "q", false, NOW, WALL_MS)
            .is_err(),
        "another user in the header"
    );
    set_header(&mut content, "pipithub-user", "lan");
    assert_eq!(
        IdentityVerifier::new(Rule::Broker).verify_user(&content, "q", false, NOW, WALL_MS),
        Ok(Some("lan".into()))
    );
    assert!(
        IdentityVerifier::new(Rule::None)
            .verify_user(&content, "q", false, NOW, WALL_MS)
            .is_err(),
        "a user that the broker did not check"
    );
    content.properties.user_id = Some(ShortStr::truncated("x\u{7}"));
    set_header(&mut content, "pipithub-user", "x\u{7}");
    assert!(
        IdentityVerifier::new(Rule::Broker)
            .verify_user(&content, "q", false, NOW, WALL_MS)
            .is_err()
    );
}

/// Whether a message signed at this time is accepted, by clocks that may have been stepped.
fn is_accepted(
    identity: &mut IdentityVerifier,
    id: &str,
    sent_ms: u64,
    clock: &ManualClock,
) -> bool {
    let reading = clock.read();
    identity
        .verify_user(
            &signed(id, sent_ms),
            "q",
            false,
            reading.now,
            reading.wall_ms,
        )
        .is_ok()
}

/// Guards against ids that are remembered by the wall clock: a step forward would expire them, and after the step back
/// replays would be accepted.
#[test]
fn replay_is_rejected_after_steps_of_the_wall_clock() {
    for offset_ms in [1_000, 40_000, 95_000, HOUR_MS] {
        for step_ms in [offset_ms, -offset_ms] {
            let (mut clock, mut identity) = (
                ManualClock::new(NOW, WALL_MS),
                IdentityVerifier::new(rule()),
            );
            assert!(is_accepted(&mut identity, "m", WALL_MS, &clock));
            clock.step_wall_ms(step_ms);
            // Another message arrives at the stepped time, so that expired ids are forgotten.
            let sent_ms = clock.read().wall_ms;
            assert!(
                is_accepted(&mut identity, "other", sent_ms, &clock),
                "step {step_ms}"
            );
            assert!(
                !is_accepted(&mut identity, "m", WALL_MS, &clock),
                "step {step_ms}"
            );
            clock.step_wall_ms(-step_ms);
            assert!(
                !is_accepted(&mut identity, "m", WALL_MS, &clock),
                "step {step_ms} and back"
            );
        }
    }
}

/// A step back makes an expired message acceptable again. Its id is remembered for steps of up to an hour.
#[test]
fn replay_of_an_expired_message_is_rejected_after_a_step_back() {
    for waited_ms in [60_000, 90_000, 91_000, 3_600_000, 3_700_000, 7_200_000] {
        let (mut clock, mut identity) = (
            ManualClock::new(NOW, WALL_MS),
            IdentityVerifier::new(rule()),
        );
        assert!(is_accepted(&mut identity, "m", WALL_MS, &clock));
        clock.advance(waited_ms * MS);
        assert!(
            is_accepted(&mut identity, "other", WALL_MS + waited_ms, &clock),
            "after {waited_ms}"
        );
        clock.step_wall_ms(-(waited_ms as i64));
        assert!(
            !is_accepted(&mut identity, "m", WALL_MS, &clock),
            "after {waited_ms}"
        );
    }
}

#[test]
fn new_messages_are_accepted_after_a_step_back_by_an_hour() {
    let (mut clock, mut identity) = (
        ManualClock::new(NOW, WALL_MS),
        IdentityVerifier::new(rule()),
    );
    for n in 0..100 {
        assert!(is_accepted(
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
            is_accepted(
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
