//! A queue client that publishes requests and collects their answers, and reconnects when a connection is lost.

mod connection;
mod consumers;

use bytes::Bytes;
use pipithub_amqp::{FieldTable, Login, Method, ShortStr, Time};
use pipithub_clock::Clock;
use tokio::sync::mpsc;

pub use consumers::consumers;

/// The capacity of the channels of requests and of answers. A sender waits while its channel is full.
const CHANNEL_CAPACITY: usize = 10_000;

/// A request to publish.
#[derive(Clone, Debug, Default)]
pub struct Publish {
    /// The correlation id, by which the answer is found.
    pub id: String,
    /// The message id; `None` if it is the correlation id.
    pub message_id: Option<String>,
    /// The queue to publish to.
    pub queue: String,
    /// The class of the request.
    pub class: String,
    /// The function to call.
    pub function: String,
    /// The timeout in milliseconds; `None` for the timeout of the class.
    pub budget_ms: Option<u64>,
    /// Memory that a replica of the function needs, in megabytes; 0 if unknown.
    pub memory_mb: u32,
    /// Requests that a replica of the function can run at once; 0 if unknown.
    pub lanes: u32,
    /// The message body.
    pub body: Vec<u8>,
    /// The message property `user_id`, which brokers compare with the user that is logged in.
    pub user_id: Option<String>,
    /// The user on whose behalf the request is made, with the signing key; `None` for an unsigned request.
    pub signed: Option<Signed>,
}

/// A user and the key that the requests of this user are signed with.
#[derive(Clone, Debug, Default)]
pub struct Signed {
    /// The user's name.
    pub user: String,
    /// The id of the key in the gateway's settings.
    pub key_id: String,
    /// The HMAC key.
    pub key: Vec<u8>,
}

/// The final answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id of the request.
    pub id: String,
    /// `served`, `refused` or `failed`.
    pub verdict: String,
    /// The reason of the verdict.
    pub cause: String,
    /// The number of attempts made.
    pub attempts: i64,
    /// The body of the answer.
    pub body: Bytes,
    /// When it arrived, on the clock of the client.
    pub at: Time,
}

/// A running client. Its connection is closed when it is dropped.
pub struct QueueClient {
    /// The requests to publish.
    pub calls: mpsc::Sender<Publish>,
    /// The answers received.
    pub answers: mpsc::Receiver<Answer>,
    /// The clock of [`Answer::at`].
    pub clock: Clock,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for QueueClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl QueueClient {
    /// Starts a client that declares the reply queue and receives the answers there.
    ///
    /// It reconnects until it is dropped, so an unreachable broker shows only as missing answers. A request that was
    /// published just before a connection was lost is not published again.
    pub fn start(address: &str, login: Login, reply_queue: &str) -> Self {
        let (calls, waiting) = mpsc::channel(CHANNEL_CAPACITY);
        let (sender, answers) = mpsc::channel(CHANNEL_CAPACITY);
        let clock = Clock::default();
        let connector = connection::Connector {
            address: address.into(),
            login,
            reply_queue: reply_queue.into(),
            clock,
            sender,
        };
        let task = tokio::spawn(connector.run(waiting));
        QueueClient {
            calls,
            answers,
            clock,
            task,
        }
    }
}

fn short(text: &str) -> ShortStr {
    ShortStr::truncated(text)
}

/// The declaration of a durable queue.
fn declare(queue: &str, passive: bool) -> Method {
    Method::QueueDeclare {
        queue: short(queue),
        passive,
        durable: true,
        exclusive: false,
        auto_delete: false,
        no_wait: false,
        arguments: FieldTable::new(),
    }
}
