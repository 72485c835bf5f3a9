//! Tests of exchanges that must not be sent after a certain time.

use std::sync::Arc;

use bytes::Bytes;
use pipithub_clock::{Clock, Time};
use pipithub_engine::policy::WorkerId;
use pipithub_settings::HttpConfig;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::{ConnectionPool, ExchangeError, TimeLimits};

/// Nanoseconds in a second.
const SECOND: Time = 1_000_000_000;

/// A worker that never answers; it reports each connection from which it reads a byte.
async fn silent_worker() -> (WorkerId, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let (read, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let read = read.clone();
            tokio::spawn(async move {
                if stream.read_u8().await.is_ok() {
                    let _ = read.send(());
                }
                std::future::pending::<()>().await;
            });
        }
    });
    (WorkerId(Arc::from(address)), requests)
}

/// Guards against a repetition that `serve` sends after the workers have forgotten the first attempt.
#[tokio::test]
async fn exchange_whose_time_to_be_sent_is_over_is_not_sent() {
    let clock = Clock::unix();
    let config = HttpConfig {
        connect_timeout: SECOND,
        max_idle_connections: 1,
        max_body: 1_000,
        load_command_timeout: SECOND,
        load_poll_timeout: SECOND,
    };
    let pool = ConnectionPool::new(config, clock);
    let (worker, mut requests) = silent_worker().await;
    let exchange = |send_by| {
        let limits = TimeLimits {
            deadline: None,
            send_by: Some(send_by),
        };
        pool.exchange(
            &worker,
            pipithub_inference::load_poll("fe"),
            Bytes::new(),
            limits,
        )
    };
    let late = exchange(clock.now()).await;
    assert_eq!(late.err(), Some(ExchangeError::NotSent));
    // The next one may be sent; the worker has read nothing before it.
    tokio::select! {
        response = exchange(clock.now() + 60 * SECOND) => panic!("{:?}", response.err()),
        request = requests.recv() => assert!(request.is_some()),
    }
    assert!(requests.try_recv().is_err(), "only one exchange was sent");
}
