//! Violations of the protocol, which close the connection with the reply code of the specification.

use pipithub_amqp::{Frame, Method};

use super::pair::{Pair, body, header, method, publish};

/// Frames that violate the protocol on a connection whose channel 1 is open, and the expected reply code.
struct Violation {
    name: &'static str,
    code: u16,
    frames: Vec<Frame>,
}

fn check_violations(violations: Vec<Violation>) {
    for Violation { name, code, frames } in violations {
        assert_eq!(Pair::with_channel().code_after(&frames), code, "{name}");
    }
}

#[test]
fn violations_of_channel_states_close_the_connection_with_the_specified_code() {
    check_violations(vec![
        Violation {
            name: "a method on a channel that is not open",
            code: 504,
            frames: vec![method(9, Method::TxSelect {})],
        },
        Violation {
            name: "a channel that is opened twice",
            code: 504,
            frames: vec![method(1, Method::ChannelOpen {})],
        },
        Violation {
            name: "a channel beyond channel-max",
            code: 504,
            frames: vec![method(3000, Method::ChannelOpen {})],
        },
    ]);
}

#[test]
fn misplaced_content_frames_close_the_connection_with_the_specified_code() {
    check_violations(vec![
        Violation {
            name: "a header without a method",
            code: 505,
            frames: vec![header(60, 1)],
        },
        Violation {
            name: "a body without a method",
            code: 505,
            frames: vec![body(1)],
        },
        Violation {
            name: "a body before its header",
            code: 505,
            frames: vec![method(1, publish()), body(1)],
        },
        Violation {
            name: "a header of another class",
            code: 505,
            frames: vec![method(1, publish()), header(50, 1)],
        },
        Violation {
            name: "a method inside a content",
            code: 505,
            frames: vec![
                method(1, publish()),
                header(60, 2),
                method(1, Method::TxSelect {}),
            ],
        },
        Violation {
            name: "a body that is longer than its header announces",
            code: 501,
            frames: vec![method(1, publish()), header(60, 2), body(3)],
        },
    ]);
}

#[test]
fn misplaced_methods_close_the_connection_with_the_specified_code() {
    let tune_ok = Method::ConnectionTuneOk {
        channel_max: 1,
        frame_max: 4096,
        heartbeat: 0,
    };
    check_violations(vec![
        Violation {
            name: "a channel's method on channel 0",
            code: 503,
            frames: vec![method(0, Method::TxSelect {})],
        },
        Violation {
            name: "a connection's method on another channel",
            code: 503,
            frames: vec![method(1, Method::ConnectionUnblocked {})],
        },
        Violation {
            name: "a server's method from a client",
            code: 503,
            frames: vec![method(1, Method::BasicQosOk {})],
        },
        Violation {
            name: "tune-ok after the handshake",
            code: 503,
            frames: vec![method(0, tune_ok)],
        },
    ]);
}
