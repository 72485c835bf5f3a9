//! Coordinators that front ends ask for the worker list, emulated: they answer with a stream that never has an event.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::site::Observation;

/// How often a coordinator says that it is there; a front end takes 1.6 s without a byte for its end.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// The longest head of a request for the list that is read.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The number of a coordinator.
pub(super) type Coordinator = usize;

/// A front end's request for the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListRequest {
    /// Who asked.
    pub front_end: usize,
    /// Whom.
    pub coordinator: Coordinator,
    /// When all of the request was read.
    pub at: Instant,
    /// Its bytes.
    pub bytes: usize,
}

/// A coordinator that tells of each request that it gets.
#[derive(Clone)]
pub(super) struct CoordinatorServer {
    /// Its number.
    pub coordinator: Coordinator,
    /// The last event of the first front end, by which front ends are told apart.
    pub first_event: usize,
    /// Where requests are told of.
    pub observations: mpsc::UnboundedSender<Observation>,
}

impl CoordinatorServer {
    /// Answers all who connect, until the measurement ends.
    pub(super) async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            tokio::spawn(async move { server.answer(stream).await });
        }
    }

    /// Reads one request, answers with a stream without events, and keeps it open by comments.
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

    /// Tells of a request. The front end that asks is known by the last event that it names.
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
