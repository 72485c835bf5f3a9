//! Tests of the codec with every method, property and type of field value: round trips, malformed input, and agreement
//! with an independent implementation.

use bytes::{Bytes, BytesMut};
use pipithub_amqp::frame::OVERHEAD;
use pipithub_amqp::method::{MethodId, MethodInfo};
use pipithub_amqp::wire::MAX_DEPTH;
use pipithub_amqp::{
    Code, FieldTable, FieldValue, Frame, FrameDecoder, Method, Payload, Properties, ShortStr,
};
use proptest::prelude::*;

fn bytes_of(frame: &Frame) -> BytesMut {
    let mut output = BytesMut::new();
    frame.write(&mut output);
    output
}

fn decode(bytes: &[u8]) -> Result<Option<Frame>, pipithub_amqp::Fault> {
    let mut decoder = FrameDecoder::new(1 << 20);
    decoder.push(bytes);
    decoder.next_frame()
}

/// The method with all arguments zero or empty, decoded from the shortest payload that is valid.
fn minimal_method(id: MethodId) -> Method {
    (0..64)
        .find_map(|zeros| {
            let mut payload = Vec::from(id.class_id.to_be_bytes());
            payload.extend(id.method_id.to_be_bytes());
            payload.extend(std::iter::repeat_n(0, zeros));
            Method::read(&payload).ok()
        })
        .unwrap_or_else(|| panic!("{id:?} cannot be read from zeros"))
}

fn short() -> impl Strategy<Value = ShortStr> {
    "\\PC{0,40}".prop_map(|s| ShortStr::truncated(&s))
}

fn value() -> impl Strategy<Value = FieldValue> {
    let bytes = prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    let leaf = prop_oneof![
        any::<bool>().prop_map(FieldValue::Bool),
        any::<i8>().prop_map(FieldValue::I8),
        any::<u8>().prop_map(FieldValue::U8),
        any::<i16>().prop_map(FieldValue::I16),
        any::<u16>().prop_map(FieldValue::U16),
        any::<i32>().prop_map(FieldValue::I32),
        any::<u32>().prop_map(FieldValue::U32),
        any::<i64>().prop_map(FieldValue::I64),
        any::<f32>()
            .prop_filter("equal to itself", |f| !f.is_nan())
            .prop_map(FieldValue::F32),
        any::<f64>()
            .prop_filter("equal to itself", |f| !f.is_nan())
            .prop_map(FieldValue::F64),
        (any::<u8>(), 0..i32::MAX).prop_map(|(scale, value)| FieldValue::Decimal { scale, value }),
        "\\PC{0,40}".prop_map(|s| FieldValue::from(s.as_str())),
        bytes.prop_map(FieldValue::Bytes),
        any::<u64>().prop_map(FieldValue::Timestamp),
        Just(FieldValue::Void),
    ];
    leaf.prop_recursive(4, 32, 5, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(FieldValue::Array),
            prop::collection::vec((short(), inner), 0..5)
                .prop_map(|fields| FieldValue::Table(fields.into_iter().collect())),
        ]
    })
}

fn table() -> impl Strategy<Value = FieldTable> {
    prop::collection::vec((short(), value()), 0..6).prop_map(|fields| fields.into_iter().collect())
}

fn properties() -> impl Strategy<Value = Properties> {
    let texts = prop::collection::vec(prop::option::of(short()), 10);
    let table = prop::option::of(table());
    (
        texts,
        table,
        prop::option::of(any::<u8>()),
        prop::option::of(any::<u8>()),
        prop::option::of(any::<u64>()),
    )
        .prop_map(|(texts, headers, delivery_mode, priority, timestamp)| {
            let mut texts = texts.into_iter();
            let mut text = || texts.next().flatten();
            Properties {
                content_type: text(),
                content_encoding: text(),
                headers,
                delivery_mode,
                priority,
                correlation_id: text(),
                reply_to: text(),
                expiration: text(),
                message_id: text(),
                timestamp,
                kind: text(),
                user_id: text(),
                app_id: text(),
                cluster_id: text(),
            }
        })
}

fn method() -> impl Strategy<Value = Method> {
    prop_oneof![
        (short(), short(), any::<bool>(), any::<bool>()).prop_map(
            |(exchange, routing_key, mandatory, immediate)| Method::BasicPublish {
                exchange,
                routing_key,
                mandatory,
                immediate
            }
        ),
        (short(), any::<[bool; 5]>(), table()).prop_map(|(queue, [a, b, c, d, e], arguments)| {
            Method::QueueDeclare {
                queue,
                passive: a,
                durable: b,
                exclusive: c,
                auto_delete: d,
                no_wait: e,
                arguments,
            }
        }),
        (short(), any::<u64>(), any::<bool>(), short(), short()).prop_map(
            |(consumer_tag, delivery_tag, redelivered, exchange, routing_key)| {
                Method::BasicDeliver {
                    consumer_tag,
                    delivery_tag,
                    redelivered,
                    exchange,
                    routing_key,
                }
            }
        ),
        (table(), "[A-Z ]{0,20}").prop_map(|(server_properties, mechanisms)| {
            Method::ConnectionStart {
                version_major: 0,
                version_minor: 9,
                server_properties,
                mechanisms: Bytes::from(mechanisms),
                locales: Bytes::from_static(b"en_US"),
            }
        }),
        prop::sample::select(Method::ALL.to_vec()).prop_map(|info| minimal_method(info.id)),
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    let payload = prop_oneof![
        4 => method().prop_map(Payload::Method),
        2 => (properties(), 0..u64::MAX).prop_map(|(p, body_size)| Payload::Header {
            class_id: 60,
            body_size,
            properties: Box::new(p)
        }),
        1 => prop::collection::vec(any::<u8>(), 0..200).prop_map(|b| Payload::Body(Bytes::from(b))),
    ];
    (1..u16::MAX, payload).prop_map(|(channel, payload)| Frame { channel, payload })
}

#[test]
fn every_method_round_trips() {
    assert_eq!(Method::ALL.len(), 64);
    for MethodInfo { id, name, .. } in Method::ALL {
        let method = minimal_method(*id);
        assert_eq!((method.id(), method.name()), (*id, *name));
        let frame = Frame {
            channel: 1,
            payload: Payload::Method(method),
        };
        assert_eq!(decode(&bytes_of(&frame)), Ok(Some(frame)), "{name}");
    }
}

proptest! {
    #[test]
    fn frames_round_trip(frame in frame()) {
        prop_assert_eq!(decode(&bytes_of(&frame)), Ok(Some(frame)));
    }

    #[test]
    fn truncated_frame_is_returned_once_it_is_complete(frame in frame(), cut in any::<prop::sample::Index>()) {
        let bytes = bytes_of(&frame);
        let cut = cut.index(bytes.len());
        let mut decoder = FrameDecoder::new(1 << 20);
        decoder.push(&bytes[..cut]);
        prop_assert_eq!(decoder.next_frame(), Ok(None));
        decoder.push(&bytes[cut..]);
        prop_assert_eq!(decoder.next_frame(), Ok(Some(frame)));
    }

    /// A flipped bit may go unnoticed, but an error has one of the codes for frames that cannot be decoded.
    #[test]
    fn corrupted_frame_is_rejected_with_a_code_for_undecodable_frames(frame in frame(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut bytes = bytes_of(&frame);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        if let Err(fault) = decode(&bytes) {
            let codes = [Code::FrameError, Code::SyntaxError, Code::NotImplemented, Code::CommandInvalid];
            prop_assert!(codes.iter().any(|c| *c as u16 == fault.code), "{}", fault);
        }
    }

    #[test]
    fn decoder_does_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let _ = Method::read(&bytes);
    }

    /// An independent codec decodes the bytes of this one and encodes the same bytes.
    #[test]
    fn independent_codec_agrees_on_random_frames(frame in frame()) {
        let bytes = bytes_of(&frame);
        let (rest, decoded) = amq_protocol::frame::parse_frame(&bytes[..]).expect("decoded");
        prop_assert!(rest.is_empty());
        let output = amq_protocol::frame::gen_frame(&decoded)(cookie_factory::WriteContext::from(Vec::new()));
        let (reencoded, _) = output.expect("encoded").into_inner();
        prop_assert_eq!(&reencoded[..], &bytes[..]);
        prop_assert_eq!(decode(&reencoded), Ok(Some(frame)));
    }
}

#[test]
fn independent_codec_agrees_on_every_method() {
    for MethodInfo { id, name, .. } in Method::ALL {
        let bytes = bytes_of(&Frame {
            channel: 1,
            payload: Payload::Method(minimal_method(*id)),
        });
        let (_, decoded) = amq_protocol::frame::parse_frame(&bytes[..]).expect(name);
        let output = amq_protocol::frame::gen_frame(&decoded)(cookie_factory::WriteContext::from(
            Vec::new(),
        ));
        assert_eq!(output.expect(name).into_inner().0, bytes, "{name}");
    }
}

#[test]
fn malformed_frames_are_rejected_with_the_specified_codes() {
    let valid = bytes_of(&Frame {
        channel: 1,
        payload: Payload::Method(Method::TxSelect {}),
    });
    let code_after = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = valid.to_vec();
        change(&mut bytes);
        decode(&bytes).expect_err("malformed").code
    };
    // Frame type, size and end octet.
    assert_eq!(code_after(&|b| b[0] = 7), 501);
    assert_eq!(code_after(&|b| b[3] = 0x7f), 501);
    assert_eq!(code_after(&|b| *b.last_mut().unwrap() = 0), 501);
    // Unknown class or method.
    assert_eq!(code_after(&|b| b[8] = 99), 540);
    assert_eq!(code_after(&|b| b[10] = 99), 540);
    // Bytes after the last argument of a method.
    assert_eq!(
        code_after(&|b| {
            b[6] += 1;
            b.insert(11, 0);
        }),
        502
    );
    // A truncated string.
    let with_string = bytes_of(&Frame {
        channel: 1,
        payload: Payload::Method(Method::BasicCancelOk {
            consumer_tag: ShortStr::truncated("tag"),
        }),
    });
    let mut truncated = with_string.to_vec();
    truncated[11] = 200;
    assert_eq!(decode(&truncated).expect_err("truncated").code, 502);
    // Heartbeats on another channel than 0.
    let mut heartbeat = bytes_of(&Frame {
        channel: 0,
        payload: Payload::Heartbeat,
    });
    assert!(decode(&heartbeat).expect("valid").is_some());
    heartbeat[2] = 1;
    assert_eq!(decode(&heartbeat).expect_err("on a channel").code, 503);
}

/// A peer that announces a huge frame must not make this end wait for it or buffer it.
#[test]
fn frame_beyond_the_limit_is_rejected_by_its_header_alone() {
    let mut decoder = FrameDecoder::new(4096);
    decoder.push(&[3, 0, 1]);
    decoder.push(&(4096 - OVERHEAD as u32 + 1).to_be_bytes());
    assert_eq!(
        decoder.next_frame().expect_err("too large").code,
        Code::FrameError as u16
    );
}

/// Deeply nested tables could overflow the stack of the recursive decoder.
#[test]
fn tables_nested_too_deeply_are_rejected() {
    let mut table = FieldTable::new();
    for _ in 0..=MAX_DEPTH {
        table = FieldTable::new().with("t", FieldValue::Table(table));
    }
    let declare = Method::ExchangeDeclare {
        exchange: ShortStr::default(),
        kind: ShortStr::default(),
        passive: false,
        durable: false,
        auto_delete: false,
        internal: false,
        no_wait: false,
        arguments: table,
    };
    let bytes = bytes_of(&Frame {
        channel: 1,
        payload: Payload::Method(declare),
    });
    assert_eq!(
        decode(&bytes).expect_err("too deep").code,
        Code::SyntaxError as u16
    );
}

/// `docs/amqp.md` states how each method is supported.
#[test]
fn documentation_names_every_method() {
    let page = include_str!("../../../docs/amqp.md");
    for MethodInfo { name, .. } in Method::ALL {
        assert!(
            page.contains(&format!("`{name}`")),
            "docs/amqp.md does not name {name}"
        );
    }
}
