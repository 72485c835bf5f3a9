//! A queue client: publishes requests and collects their answers, over any number of lost connections.

mod connection;
mod consumers;

use bytes::Bytes;
use pipithub_amqp::{FieldTable, Login, Method, ShortStr, Time};
use pipithub_clock::Clock;
use tokio::sync::mpsc;

pub use consumers::consumers;

/// Requests that wait to be published, and answers that wait to be read; a side that is further behind makes the
/// other wait.
const CHANNEL_CAPACITY: usize = 10_000;

/// A request to publish.
#[derive(Clone, Debug, Default)]
pub struct Publish {
    /// Its id.
    pub id: String,
    /// The queue.
    pub queue: String,
    /// Its class.
    pub class: String,
    /// The function.
    pub function: String,
    /// Its timeout in milliseconds; `None` for that of its class.
    pub budget_ms: Option<u64>,
    /// Memory that a replica of the function needs, in megabytes; 0 if unknown.
    pub memory_mb: u32,
    /// Requests that a replica of the function can run at once; 0 if unknown.
    pub lanes: u32,
    /// Its body.
    pub body: Vec<u8>,
    /// The property `user_id`, which a broker may check.
    pub user_id: Option<String>,
    /// The user whose request it is, with the key that signs it.
    pub signed: Option<Signed>,
}

/// A user and the key that signs the requests of that user.
#[derive(Clone, Debug, Default)]
pub struct Signed {
    /// The user.
    pub user: String,
    /// The id of the key.
    pub key_id: String,
    /// The key.
    pub key: Vec<u8>,
}

/// A final answer.
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

/// A running client; it ends when dropped.
pub struct QueueClient {
    /// Takes requests.
    pub calls: mpsc::Sender<Publish>,
    /// Gives answers.
    pub answers: mpsc::Receiver<Answer>,
    /// Its clock.
    pub clock: Clock,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for QueueClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl QueueClient {
    /// Starts a client. It declares the reply queue and receives its answers there.
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
