//! Both ends of a connection against each other, and against peers that break the protocol.

use bytes::{Bytes, BytesMut};
use pipithub_amqp::{
    Code, Endpoint, Event, Fault, Frame, Login, Method, Payload, Properties, ShortStr, Time, Tuning,
};

const SECOND: Time = 1_000_000_000;

struct Pair {
    client: Endpoint,
    server: Endpoint,
}

impl Pair {
    fn new(client: Tuning, server: Tuning) -> Self {
        Pair {
            client: Endpoint::client(Login::default(), client, 0),
            server: Endpoint::server(server, 0),
        }
    }

    /// Moves bytes both ways, in small pieces, until none are left; the server takes every login.
    fn settle(&mut self) -> (Vec<Event>, Vec<Event>) {
        let (mut at_client, mut at_server) = (Vec::new(), Vec::new());
        loop {
            let (up, down) = (self.client.take_output(0), self.server.take_output(0));
            if up.is_empty() && down.is_empty() {
                return (at_client, at_server);
            }
            up.chunks(7).for_each(|part| self.server.receive(0, part));
            down.chunks(7).for_each(|part| self.client.receive(0, part));
            while let Some(event) = self.server.poll_event() {
                match &event {
                    Event::Login { user, password } if user == "guest" && password == "guest" => {
                        self.server.accept_login();
                    }
                    Event::Login { .. } => self.server.reject_login("unknown user"),
                    Event::OpenRequested { virtual_host } if &**virtual_host == "/" => {
                        self.server.accept_open();
                    }
                    Event::OpenRequested { .. } => {
                        self.server
                            .reject_open(Fault::new(Code::NotAllowed, "no such virtual host"));
                    }
                    _ => {}
                }
                at_server.push(event);
            }
            while let Some(event) = self.client.poll_event() {
                at_client.push(event);
            }
        }
    }

    fn open() -> Self {
        let mut pair = Pair::new(Tuning::default(), Tuning::default());
        let (client, server) = pair.settle();
        assert_eq!(client, [Event::Connected]);
        assert_eq!(server.last(), Some(&Event::Connected));
        pair
    }

    fn with_channel() -> Self {
        let mut pair = Pair::open();
        assert_eq!(pair.client.open_channel(), Ok(1));
        let (client, server) = pair.settle();
        assert_eq!(
            (client, server),
            (
                vec![Event::ChannelOpened { channel: 1 }],
                vec![Event::ChannelOpened { channel: 1 }]
            )
        );
        pair
    }

    /// Sends raw frames to the server; the fault with which it closes the connection.
    fn violate(mut self, frames: &[Frame]) -> u16 {
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|f| f.write(&mut bytes));
        self.server.receive(1, &bytes);
        while let Some(event) = self.server.poll_event() {
            if let Event::Closed {
                fault,
                by_peer: false,
            } = event
            {
                let (client, _) = self.settle();
                let is_reported = |e: &Event| matches!(e, Event::Closed { fault: f, by_peer: true } if *f == fault);
                assert!(
                    client.iter().any(is_reported),
                    "the peer is told: {client:?}"
                );
                assert!(self.server.is_closed() || self.client.is_closed());
                return fault.code;
            }
        }
        panic!("the breach went unnoticed");
    }
}

fn publish() -> Method {
    Method::BasicPublish {
        exchange: ShortStr::default(),
        routing_key: ShortStr::truncated("q"),
        mandatory: false,
        immediate: false,
    }
}

fn on(channel: u16, payload: Payload) -> Frame {
    Frame { channel, payload }
}

fn header(class_id: u16, body_size: u64) -> Frame {
    on(
        1,
        Payload::Header {
            class_id,
            body_size,
            properties: Box::default(),
        },
    )
}

#[test]
fn the_lower_limit_is_negotiated() {
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
    pair.settle();
    for tuning in [pair.client.tuning(), pair.server.tuning()] {
        assert_eq!(
            (tuning.channel_max, tuning.frame_max, tuning.heartbeat),
            (10, 8192, 5)
        );
    }
    for _ in 0..10 {
        pair.client.open_channel().expect("ten fit");
    }
    assert!(pair.client.open_channel().is_err());
}

#[test]
fn contents_of_any_size_are_delivered_complete() {
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
fn a_body_beyond_the_limit_closes_its_channel_alone() {
    let mut pair = Pair::new(
        Tuning::default(),
        Tuning {
            max_body: 10,
            ..Tuning::default()
        },
    );
    pair.settle();
    pair.client.open_channel().expect("open");
    pair.client.open_channel().expect("open");
    pair.settle();
    pair.client
        .send_content(1, publish(), Properties::default(), &[0; 11])
        .expect("open");
    let (client, _) = pair.settle();
    assert!(
        matches!(&client[..], [Event::ChannelClosed { channel: 1, fault, by_peer: true }] if fault.code == 311)
    );
    pair.client
        .send_content(2, publish(), Properties::default(), &[0; 10])
        .expect("still open");
    let (_, server) = pair.settle();
    assert!(
        matches!(&server[..], [Event::Method { channel: 2, .. }]),
        "{server:?}"
    );
    // The number is free again.
    assert_eq!(pair.client.open_channel(), Ok(1));
}

#[test]
fn wrong_logins_and_virtual_hosts_are_rejected() {
    let login = |password: &str, host: &str| {
        let login = Login {
            password: password.into(),
            virtual_host: host.into(),
            ..Login::default()
        };
        let mut pair = Pair::open();
        pair.client = Endpoint::client(login, Tuning::default(), 0);
        pair.server = Endpoint::server(Tuning::default(), 0);
        match pair.settle().0.pop() {
            Some(Event::Closed {
                fault,
                by_peer: true,
            }) => fault.code,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(login("wrong", "/"), 403);
    assert_eq!(login("guest", "elsewhere"), 530);
}

#[test]
fn another_protocol_gets_the_header_of_this_one() {
    let mut server = Endpoint::server(Tuning::default(), 0);
    server.receive(0, b"GET / HT");
    assert_eq!(&server.take_output(0)[..], b"AMQP\x00\x00\x09\x01");
    assert!(server.is_closed());
    let mut client = Endpoint::client(Login::default(), Tuning::default(), 0);
    client.receive(0, b"AMQP\x00\x01\x00\x00");
    assert!(matches!(client.poll_event(), Some(Event::Closed { fault, .. }) if fault.code == 540));
}

#[test]
fn protocol_violations_get_the_codes_of_the_specification() {
    let method = |m: Method| on(1, Payload::Method(m));
    let body = |n: usize| on(1, Payload::Body(Bytes::from(vec![0; n])));
    let deliver = Method::BasicCancelOk {
        consumer_tag: ShortStr::default(),
    };
    let cases: Vec<(&str, u16, Vec<Frame>)> = vec![
        (
            "a method on a channel that is not open",
            504,
            vec![on(9, Payload::Method(Method::TxSelect {}))],
        ),
        (
            "a channel opened twice",
            504,
            vec![method(Method::ChannelOpen {})],
        ),
        (
            "a channel beyond channel-max",
            504,
            vec![on(3000, Payload::Method(Method::ChannelOpen {}))],
        ),
        ("a header without a method", 505, vec![header(60, 1)]),
        ("a body without a method", 505, vec![body(1)]),
        (
            "a body before its header",
            505,
            vec![method(publish()), body(1)],
        ),
        (
            "a header of another class",
            505,
            vec![method(publish()), header(50, 1)],
        ),
        (
            "a method inside a content",
            505,
            vec![
                method(publish()),
                header(60, 2),
                method(Method::TxSelect {}),
            ],
        ),
        (
            "a body too long",
            501,
            vec![method(publish()), header(60, 2), body(3)],
        ),
        (
            "a channel's method on the connection",
            503,
            vec![on(0, Payload::Method(Method::TxSelect {}))],
        ),
        (
            "a connection's method on a channel",
            503,
            vec![method(Method::ConnectionUnblocked {})],
        ),
        (
            "a server's method from a client",
            503,
            vec![method(Method::BasicQosOk {})],
        ),
        (
            "tune-ok out of turn",
            503,
            vec![on(
                0,
                Payload::Method(Method::ConnectionTuneOk {
                    channel_max: 1,
                    frame_max: 4096,
                    heartbeat: 0,
                }),
            )],
        ),
    ];
    for (violation, code, frames) in cases {
        assert_eq!(Pair::with_channel().violate(&frames), code, "{violation}");
    }
    // `basic.cancel-ok` may come from both ends, so it is handed on.
    let mut pair = Pair::with_channel();
    pair.client.send(1, deliver).expect("both may send it");
}

#[test]
fn tune_ok_beyond_the_offer_is_not_allowed() {
    let mut server = Endpoint::server(Tuning::default(), 0);
    let mut client = Endpoint::client(Login::default(), Tuning::default(), 0);
    server.receive(0, &client.take_output(0));
    client.receive(0, &server.take_output(0));
    server.receive(0, &client.take_output(0));
    server.poll_event();
    server.accept_login();
    let mut bytes = BytesMut::new();
    let tune = Method::ConnectionTuneOk {
        channel_max: 0,
        frame_max: 131_072,
        heartbeat: 0,
    };
    on(0, Payload::Method(tune)).write(&mut bytes);
    server.receive(0, &bytes);
    assert!(matches!(server.poll_event(), Some(Event::Closed { fault, .. }) if fault.code == 530));
}

#[test]
fn heartbeats_keep_a_connection_open_and_silence_closes_it() {
    let mut pair = Pair::open();
    let mut now = 0;
    // Kept for a minute by heartbeats alone.
    while now < 60 * SECOND {
        now = pair
            .client
            .next_timeout()
            .expect("up")
            .min(pair.server.next_timeout().expect("up"));
        pair.client.on_time(now);
        pair.server.on_time(now);
        let (up, down) = (pair.client.take_output(now), pair.server.take_output(now));
        if !up.is_empty() {
            pair.server.receive(now, &up);
        }
        if !down.is_empty() {
            pair.client.receive(now, &down);
        }
    }
    assert!(pair.client.is_open() && pair.server.is_open());
    // Then the client falls silent.
    while let Some(at) = pair.server.next_timeout() {
        assert!(at <= now + 25 * SECOND, "it should have given up");
        pair.server.on_time(at);
    }
    assert!(matches!(
        pair.server.poll_event(),
        Some(Event::Closed { by_peer: false, .. })
    ));
}

#[test]
fn a_stalled_handshake_times_out() {
    let mut server = Endpoint::server(Tuning::default(), 0);
    server.receive(0, b"AMQP");
    let due = server.next_timeout().expect("a handshake has an end");
    server.on_time(due);
    assert!(server.is_closed());
}

#[test]
fn a_channel_closed_by_both_ends_at_once_is_closed() {
    let mut pair = Pair::with_channel();
    pair.client
        .close_channel(1, Fault::new(Code::Success, "done"));
    pair.server
        .close_channel(1, Fault::new(Code::NotFound, "no queue"));
    pair.settle();
    assert_eq!(pair.client.open_channel(), Ok(1));
    let (client, server) = pair.settle();
    assert_eq!(client, [Event::ChannelOpened { channel: 1 }]);
    assert_eq!(server, [Event::ChannelOpened { channel: 1 }]);
}
