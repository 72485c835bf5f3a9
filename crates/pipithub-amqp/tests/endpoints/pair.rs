//! A client and a server that are connected to each other, and frames to send on the connection.

use bytes::{Bytes, BytesMut};
use pipithub_amqp::{
    Code, Endpoint, Event, Fault, Frame, Login, Method, Payload, ShortStr, Tuning,
};

/// The number of bytes that are received at once. It is less than a frame, so that all frames arrive in parts.
const CHUNK_BYTES: usize = 7;

/// A client and a server that are connected to each other.
pub(crate) struct Pair {
    pub(crate) client: Endpoint,
    pub(crate) server: Endpoint,
}

#[derive(Default)]
pub(crate) struct PairEvents {
    pub(crate) client: Vec<Event>,
    pub(crate) server: Vec<Event>,
}

impl Pair {
    pub(crate) fn new(client: Tuning, server: Tuning) -> Self {
        Pair {
            client: Endpoint::client(Login::default(), client, 0),
            server: Endpoint::server(server, 0),
        }
    }

    /// Transfers bytes in both directions, a few at a time, until there are none. Returns the events of both ends.
    pub(crate) fn run_until_idle(&mut self) -> PairEvents {
        let mut events = PairEvents::default();
        loop {
            let to_server = self.client.take_output(0);
            let to_client = self.server.take_output(0);
            if to_server.is_empty() && to_client.is_empty() {
                return events;
            }
            for part in to_server.chunks(CHUNK_BYTES) {
                self.server.receive(0, part);
            }
            for part in to_client.chunks(CHUNK_BYTES) {
                self.client.receive(0, part);
            }
            while let Some(event) = self.server.poll_event() {
                self.decide(&event);
                events.server.push(event);
            }
            while let Some(event) = self.client.poll_event() {
                events.client.push(event);
            }
        }
    }

    /// Decides for the server about logins and virtual hosts: accepts only the user `guest` and the virtual host `/`.
    fn decide(&mut self, event: &Event) {
        match event {
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
    }

    pub(crate) fn open() -> Self {
        let mut pair = Pair::new(Tuning::default(), Tuning::default());
        let events = pair.run_until_idle();
        assert_eq!(events.client, [Event::Connected]);
        assert_eq!(events.server.last(), Some(&Event::Connected));
        pair
    }

    pub(crate) fn with_channel() -> Self {
        let mut pair = Pair::open();
        assert_eq!(pair.client.open_channel(), Ok(1));
        let events = pair.run_until_idle();
        assert_eq!(events.client, [Event::ChannelOpened { channel: 1 }]);
        assert_eq!(events.server, [Event::ChannelOpened { channel: 1 }]);
        pair
    }

    /// Sends frames to the server, and returns the reply code with which both ends see the connection closed.
    pub(crate) fn code_after(mut self, frames: &[Frame]) -> u16 {
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|frame| frame.write(&mut bytes));
        self.server.receive(1, &bytes);
        let fault = self.server_fault();
        let client_events = self.run_until_idle().client;
        let closed_by_server = Event::Closed {
            fault: fault.clone(),
            by_peer: true,
        };
        assert!(
            client_events.contains(&closed_by_server),
            "the client does not know the fault: {client_events:?}"
        );
        assert!(self.server.is_closed() || self.client.is_closed());
        fault.code
    }

    /// The fault with which the server has closed the connection.
    fn server_fault(&mut self) -> Fault {
        while let Some(event) = self.server.poll_event() {
            if let Event::Closed {
                fault,
                by_peer: false,
            } = event
            {
                return fault;
            }
        }
        panic!("the server did not close the connection");
    }
}

pub(crate) fn publish() -> Method {
    Method::BasicPublish {
        exchange: ShortStr::default(),
        routing_key: ShortStr::truncated("q"),
        mandatory: false,
        immediate: false,
    }
}

pub(crate) fn method(channel: u16, method: Method) -> Frame {
    Frame {
        channel,
        payload: Payload::Method(method),
    }
}

/// A content header on channel 1.
pub(crate) fn header(class_id: u16, body_size: u64) -> Frame {
    Frame {
        channel: 1,
        payload: Payload::Header {
            class_id,
            body_size,
            properties: Box::default(),
        },
    }
}

/// A body frame of this size on channel 1.
pub(crate) fn body(size: usize) -> Frame {
    Frame {
        channel: 1,
        payload: Payload::Body(Bytes::from(vec![0; size])),
    }
}
