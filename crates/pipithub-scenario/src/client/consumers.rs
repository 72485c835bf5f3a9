//! Queries a broker for the number of consumers of a queue.

use std::time::Duration;

use bytes::BytesMut;
use pipithub_amqp::{Endpoint, Event, Login, Method, Tuning};
use pipithub_clock::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::declare;

/// How long the connection to the broker and the query may take together.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How many consumers a queue has; `None` if the broker does not answer or has no such queue.
pub async fn consumers(address: &str, login: Login, queue: &str) -> Option<u32> {
    let count = count_consumers(address, login, queue);
    tokio::time::timeout(TIMEOUT, count).await.ok().flatten()
}

async fn count_consumers(address: &str, login: Login, queue: &str) -> Option<u32> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let clock = Clock::default();
    let mut endpoint = Endpoint::client(login, Tuning::default(), clock.now()).named("look");
    let mut input = BytesMut::new();
    loop {
        stream
            .write_all(&endpoint.take_output(clock.now()))
            .await
            .ok()?;
        while let Some(event) = endpoint.poll_event() {
            match event {
                Event::Connected => drop(endpoint.open_channel()),
                Event::ChannelOpened { channel } => {
                    endpoint.send(channel, declare(queue, true)).ok()?;
                }
                Event::Method {
                    method: Method::QueueDeclareOk { consumer_count, .. },
                    ..
                } => return Some(consumer_count),
                Event::Closed { .. } | Event::ChannelClosed { .. } => return None,
                _ => {}
            }
        }
        if endpoint.output_len() != 0 {
            continue;
        }
        if stream.read_buf(&mut input).await.ok()? == 0 {
            return None;
        }
        endpoint.receive(clock.now(), &input);
        input.clear();
    }
}
