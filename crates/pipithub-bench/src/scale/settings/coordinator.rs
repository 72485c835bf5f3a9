//! Emulated coordinators that answer requests for the endpoint list with a stream without events.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use pipithub_emulator::accept::next_connection;

use super::site::Observation;

/// The interval of comments; a front end drops a connection without data for 1.6 s.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The number of a coordinator.
pub(super) type Coordinator = usize;

/// A request of a front end for the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListRequest {
    /// The number of the front end.
    pub front_end: usize,
    /// The number of the coordinator.
    pub coordinator: Coordinator,
    /// When the request had been read completely.
    pub at: Instant,
    /// The size of its head, in bytes.
    pub bytes: usize,
}

/// A coordinator that reports each request.
#[derive(Clone)]
pub(super) struct CoordinatorServer {
    /// The coordinator's number.
    pub coordinator: Coordinator,
    /// The index of the last event that the first front end knows. It is one higher for each further front end, which
    /// identifies them.
    pub first_event: usize,
    /// The channel to which requests are reported.
    pub observations: mpsc::UnboundedSender<Observation>,
}

impl CoordinatorServer {
    /// Serves all connections until the measurement ends.
    pub(super) async fn serve(self, listener: TcpListener) {
        while let Some((stream, _)) = next_connection(|| listener.accept()).await {
            let server = self.clone();
            tokio::spawn(async move { server.answer(stream).await });
        }
    }

    /// Reads one request and answers it with a stream of comments.
    async fn answer(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        self.observe(&head);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")
            .await?;
        loop {
            stream.write_all(b": here\n\n").await?;
            tokio::time::sleep(COMMENT_INTERVAL).await;
        }
    }

    /// Reports a request. The last event that it names identifies the front end.
    fn observe(&self, head: &[u8]) {
        let at = Instant::now();
        let text = String::from_utf8_lossy(head).to_lowercase();
        let last_event = text.lines().find_map(|line| {
            let value = line.strip_prefix("last-event-id:")?;
            value.trim().parse::<usize>().ok()
        });
        if let Some(front_end) = last_event.and_then(|last| last.checked_sub(self.first_event)) {
            let request = ListRequest {
                front_end,
                coordinator: self.coordinator,
                at,
                bytes: head.len(),
            };
            let _ = self.observations.send(Observation::Requested(request));
        }
    }
}
