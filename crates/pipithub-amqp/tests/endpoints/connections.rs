//! Connections from the handshake to their end: limits, logins, contents, channels and timeouts.

use bytes::BytesMut;
use pipithub_amqp::{
    Code, Endpoint, Event, Fault, Login, Method, Properties, ShortStr, Time, Tuning,
};

use super::pair::{Pair, method, publish};

const SECOND: Time = 1_000_000_000;

#[test]
fn lower_of_both_limits_is_negotiated() {
    let mut pair = Pair::new(
        Tuning {
            channel_max: 0,
            frame_max: 8192,
            heartbeat: 60,
            ..Tuning::default()
        },
        Tuning {
            channel_max: 10,
            frame_max: 131_072,
            heartbeat: 5,
            ..Tuning::default()
        },
    );
    pair.run_until_idle();
    for tuning in [pair.client.tuning(), pair.server.tuning()] {
        assert_eq!(
            (tuning.channel_max, tuning.frame_max, tuning.heartbeat),
            (10, 8192, 5)
        );
    }
    for _ in 0..10 {
        pair.client
            .open_channel()
            .expect("ten channels are allowed");
    }
    assert!(pair.client.open_channel().is_err());
}

#[test]
fn contents_of_any_size_are_received_completely() {
    for size in [0usize, 1, 4088, 131_064, 131_065, 16 << 20] {
        let mut pair = Pair::with_channel();
        let body = vec![7u8; size];
        let properties = Properties {
            message_id: Some(ShortStr::truncated("m")),
            ..Properties::default()
        };
        pair.client
            .send_content(1, publish(), properties, &body)
            .expect("open");
        let bytes = pair.client.take_output(0);
        pair.server.receive(0, &bytes);
        match pair.server.poll_event() {
            Some(Event::Method {
                channel: 1,
                content: Some(content),
                ..
            }) => {
                assert_eq!(content.body.len(), size);
                assert_eq!(content.properties.message_id.as_deref(), Some("m"));
            }
            other => panic!("{size}: {other:?}"),
        }
    }
}

#[test]
fn body_beyond_the_limit_closes_only_its_channel() {
    let mut pair = Pair::new(
        Tuning::default(),
        Tuning {
            max_body: 10,
            ..Tuning::default()
        },
    );
    pair.run_until_idle();
    pair.client.open_channel().expect("open");
    pair.client.open_channel().expect("open");
    pair.run_until_idle();
    pair.client
        .send_content(1, publish(), Properties::default(), &[0; 11])
        .expect("open");
    let events = pair.run_until_idle();
    assert!(
        matches!(&events.client[..], [Event::ChannelClosed { channel: 1, fault, by_peer: true }] if fault.code == 311)
    );
    pair.client
        .send_content(2, publish(), Properties::default(), &[0; 10])
        .expect("still open");
    let events = pair.run_until_idle();
    assert!(
        matches!(&events.server[..], [Event::Method { channel: 2, .. }]),
        "{:?}",
        events.server
    );
    // The number of the closed channel can be used for a new one.
    assert_eq!(pair.client.open_channel(), Ok(1));
}

#[test]
fn wrong_password_and_unknown_virtual_host_close_the_connection() {
    let code_after_login = |password: &str, host: &str| {
        let login = Login {
            password: password.into(),
            virtual_host: host.into(),
            ..Login::default()
        };
        let mut pair = Pair::open();
        pair.client = Endpoint::client(login, Tuning::default(), 0);
        pair.server = Endpoint::server(Tuning::default(), 0);
        match pair.run_until_idle().client.pop() {
            Some(Event::Closed {
                fault,
                by_peer: true,
            }) => fault.code,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(code_after_login("wrong", "/"), 403);
    assert_eq!(code_after_login("guest", "elsewhere"), 530);
}

#[test]
fn debug_output_of_endpoints_does_not_show_the_password() {
    let login = Login {
        user: "mai".into(),
        password: "swordfish".into(),
        ..Login::default()
    };
    let mut client = Endpoint::client(login, Tuning::default(), 0);
    let mut server = Endpoint::server(Tuning::default(), 0);
    server.receive(0, &client.take_output(0));
    client.receive(0, &server.take_output(0));
    let client_text = format!("{client:?}");
    assert!(client_text.contains("mai"), "{client_text}");
    assert!(!client_text.contains("swordfish"), "{client_text}");
    server.receive(0, &client.take_output(0));
    let server_text = format!("{server:?}");
    assert!(!server_text.contains("swordfish"), "{server_text}");
    assert!(matches!(server.poll_event(), Some(Event::Login { user, .. }) if user == "mai"));
}

#[test]
fn other_protocols_are_answered_with_the_supported_protocol_header() {
    let mut server = Endpoint::server(Tuning::default(), 0);
    server.receive(0, b"GET / HT");
    assert_eq!(&server.take_output(0)[..], b"AMQP\x00\x00\x09\x01");
    assert!(server.is_closed());
    let mut client = Endpoint::client(Login::default(), Tuning::default(), 0);
    client.receive(0, b"AMQP\x00\x01\x00\x00");
    assert!(matches!(client.poll_event(), Some(Event::Closed { fault, .. }) if fault.code == 540));
}

#[test]
fn client_may_send_cancel_ok_which_both_ends_may_send() {
    let mut pair = Pair::with_channel();
    let cancel_ok = Method::BasicCancelOk {
        consumer_tag: ShortStr::default(),
    };
    pair.client.send(1, cancel_ok).expect("sent");
}

#[test]
fn tune_ok_beyond_the_offer_or_below_the_minimum_closes_the_connection_as_not_allowed() {
    let offer = Tuning::default();
    for (channel_max, frame_max) in [(0, offer.frame_max), (1, 0), (1, 4095)] {
        let mut server = Endpoint::server(offer, 0);
        let mut client = Endpoint::client(Login::default(), offer, 0);
        server.receive(0, &client.take_output(0));
        client.receive(0, &server.take_output(0));
        server.receive(0, &client.take_output(0));
        server.poll_event();
        server.accept_login();
        let tune_ok = Method::ConnectionTuneOk {
            channel_max,
            frame_max,
            heartbeat: 0,
        };
        let mut bytes = BytesMut::new();
        method(0, tune_ok).write(&mut bytes);
        server.receive(0, &bytes);
        let event = server.poll_event();
        assert!(matches!(event, Some(Event::Closed { fault, .. }) if fault.code == 530));
    }
}

#[test]
fn heartbeats_keep_an_idle_connection_open_until_the_peer_is_silent() {
    let mut pair = Pair::open();
    let mut now = 0;
    // Nothing but heartbeats is sent for a minute.
    while now < 60 * SECOND {
        now = pair
            .client
            .next_timeout()
            .expect("open")
            .min(pair.server.next_timeout().expect("open"));
        pair.client.handle_timeout(now);
        pair.server.handle_timeout(now);
        let to_server = pair.client.take_output(now);
        if !to_server.is_empty() {
            pair.server.receive(now, &to_server);
        }
        let to_client = pair.server.take_output(now);
        if !to_client.is_empty() {
            pair.client.receive(now, &to_client);
        }
    }
    assert!(pair.client.is_open() && pair.server.is_open());
    // Then the client sends nothing.
    while let Some(due) = pair.server.next_timeout() {
        assert!(due <= now + 25 * SECOND, "the connection is still open");
        pair.server.handle_timeout(due);
    }
    assert!(matches!(
        pair.server.poll_event(),
        Some(Event::Closed { by_peer: false, .. })
    ));
}

#[test]
fn stalled_handshake_times_out() {
    let mut server = Endpoint::server(Tuning::default(), 0);
    server.receive(0, b"AMQP");
    let due = server.next_timeout().expect("a timeout of the handshake");
    server.handle_timeout(due);
    assert!(server.is_closed());
}

#[test]
fn channel_closed_by_both_ends_at_once_can_be_opened_again() {
    let mut pair = Pair::with_channel();
    pair.client
        .close_channel(1, Fault::new(Code::Success, "done"));
    pair.server
        .close_channel(1, Fault::new(Code::NotFound, "no queue"));
    pair.run_until_idle();
    assert_eq!(pair.client.open_channel(), Ok(1));
    let events = pair.run_until_idle();
    assert_eq!(events.client, [Event::ChannelOpened { channel: 1 }]);
    assert_eq!(events.server, [Event::ChannelOpened { channel: 1 }]);
}
