//! The coordinator's streams of server-sent events, one for each front end.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{MAX_REQUESTS, Shared};
use crate::accept::next_stream;

const MAX_REQUEST_BYTES: usize = 4096;
/// The interval between writes to a stream with limited bandwidth.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(50);
/// The timer interval of a stream without comments, whose ticks are ignored.
const NO_COMMENTS: Duration = Duration::from_secs(3600);
const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
const COMMENT: &[u8] = b":\n\n";

pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Some(stream) = next_stream(&listener).await {
        if shared.behaviour.borrow().cut {
            shared.counters.rejected.fetch_add(1, Relaxed);
            continue;
        }
        shared.counters.connections.fetch_add(1, Relaxed);
        let shared = shared.clone();
        tokio::spawn(async move {
            shared.counters.open.fetch_add(1, Relaxed);
            let mut behaviour = shared.behaviour.subscribe();
            tokio::select! {
                _ = serve(stream, &shared) => {}
                _ = behaviour.wait_for(|behaviour| behaviour.cut) => {}
            }
            shared.counters.open.fetch_sub(1, Relaxed);
        });
    }
}

/// Serves one stream until its front end disconnects or the stream breaks off.
async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(request) = read_request(&mut stream, shared).await? else {
        return Ok(());
    };
    let mut progress = Progress {
        last: last_event_id(&request).unwrap_or(0),
        is_new: true,
        comments: 0,
        remaining_bytes: None,
    };
    let mut changes = {
        let mut log = shared.log();
        if log.requests.len() < MAX_REQUESTS {
            log.requests.push(request);
        }
        progress.comments = log.comments;
        progress.remaining_bytes = log.break_off.take();
        shared.changes.subscribe()
    };
    let interval = shared.behaviour.borrow().comments;
    let mut comments = tokio::time::interval(interval.unwrap_or(NO_COMMENTS));
    comments.tick().await;
    let (mut reader, mut writer) = stream.split();
    writer.write_all(HEAD.as_bytes()).await?;
    count_sent(shared, HEAD.len());
    let mut discarded = [0; 512];
    loop {
        if progress.send_updates(&mut writer, shared).await? == Stream::BrokenOff {
            return Ok(());
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return Ok(()) },
            _ = comments.tick() => if interval.is_some() { send_comment(&mut writer, shared).await? },
            read = reader.read(&mut discarded) => match read? {
                0 => return Ok(()),
                count => count_received(shared, count),
            },
        }
    }
}

#[derive(PartialEq, Eq)]
enum Stream {
    Open,
    BrokenOff,
}

/// The position of one stream in the log.
struct Progress {
    /// The index of the last event that was sent.
    last: u64,
    /// Whether [`Progress::send_updates`] has not been called yet.
    is_new: bool,
    /// The number of requested comments in the log that were sent, or were requested before the stream began.
    comments: u64,
    /// The number of bytes after which the stream breaks off; `None` if it does not.
    remaining_bytes: Option<usize>,
}

impl Progress {
    /// Sends the events and the requested comments that were added since the last call.
    async fn send_updates(
        &mut self,
        writer: &mut (impl AsyncWriteExt + Unpin),
        shared: &Shared,
    ) -> io::Result<Stream> {
        let (events, comments) = {
            let log = shared.log();
            (log.since(self.last, self.is_new), log.comments)
        };
        self.is_new = false;
        for event in events {
            let size = event.bytes.len();
            if let Some(left) = self.remaining_bytes.filter(|left| *left < size) {
                send(writer, &event.bytes[..left], shared).await?;
                return Ok(Stream::BrokenOff);
            }
            self.remaining_bytes = self.remaining_bytes.map(|left| left - size);
            send(writer, &event.bytes, shared).await?;
            shared.counters.events.fetch_add(1, Relaxed);
            self.last = self.last.max(event.index);
        }
        for _ in self.comments..comments {
            send_comment(writer, shared).await?;
        }
        self.comments = comments;
        Ok(Stream::Open)
    }
}

/// Reads the head of a request; `None` if the connection ends first or the head is too long.
async fn read_request(stream: &mut TcpStream, shared: &Shared) -> io::Result<Option<String>> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        if request.len() >= MAX_REQUEST_BYTES || stream.read_buf(&mut request).await? == 0 {
            return Ok(None);
        }
    }
    count_received(shared, request.len());
    Ok(Some(String::from_utf8_lossy(&request).into_owned()))
}

fn last_event_id(request: &str) -> Option<u64> {
    request.lines().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("last-event-id:")?
            .trim()
            .parse()
            .ok()
    })
}

async fn send_comment(
    writer: &mut (impl AsyncWriteExt + Unpin),
    shared: &Shared,
) -> io::Result<()> {
    shared.counters.comments.fetch_add(1, Relaxed);
    send(writer, COMMENT, shared).await
}

/// Writes bytes, at the bandwidth that is set.
async fn send(
    writer: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    shared: &Shared,
) -> io::Result<()> {
    let rate = shared.behaviour.borrow().rate;
    let chunk_bytes = rate.map_or(usize::MAX, |rate| {
        (rate as usize * THROTTLE_INTERVAL.as_millis() as usize / 1000).max(1)
    });
    for chunk in bytes.chunks(chunk_bytes.min(bytes.len().max(1))) {
        writer.write_all(chunk).await?;
        count_sent(shared, chunk.len());
        if rate.is_some() {
            tokio::time::sleep(THROTTLE_INTERVAL).await;
        }
    }
    Ok(())
}

fn count_sent(shared: &Shared, bytes: usize) {
    shared.counters.sent_bytes.fetch_add(bytes as u64, Relaxed);
}

fn count_received(shared: &Shared, bytes: usize) {
    shared
        .counters
        .received_bytes
        .fetch_add(bytes as u64, Relaxed);
}
