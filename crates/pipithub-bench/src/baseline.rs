//! What the gateway is compared with: a plain pass-through, and calls straight to workers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use lapin::message::Delivery;
use lapin::options::{BasicAckOptions, BasicConsumeOptions, BasicPublishOptions, BasicQosOptions};
use lapin::types::{AMQPValue, FieldTable, LongString, ShortString};
use lapin::{BasicProperties, Channel, Connection, ConnectionProperties, Consumer};
use pipithub_clock::Clock;
use tokio::net::TcpStream;

use crate::Result;
use crate::latency::new_histogram;
use crate::testbed::QUEUE;

/// The number of unacknowledged messages that the pass-through may hold.
const PREFETCH: u16 = 2_000;
/// The number of functions that direct calls use in turn.
const FUNCTIONS: u64 = 16;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A connection to a worker.
type WorkerConnection = SendRequest<Full<Bytes>>;

/// Idle connections to workers, by the worker's address.
#[derive(Clone, Default)]
struct IdleConnections {
    by_worker: Arc<Mutex<HashMap<String, Vec<WorkerConnection>>>>,
}

impl IdleConnections {
    fn take(&self, worker: &str) -> Option<WorkerConnection> {
        self.by_worker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(worker)
            .and_then(Vec::pop)
    }

    fn put_back(&self, worker: &str, connection: WorkerConnection) {
        self.by_worker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(worker.to_string())
            .or_default()
            .push(connection);
    }
}

async fn connect(worker: &str) -> Result<WorkerConnection> {
    let stream = TcpStream::connect(worker).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Calls a function on a worker and returns the body of the answer, whatever its status.
async fn infer(idle: &IdleConnections, worker: &str, function: &str, body: Bytes) -> Result<Bytes> {
    let mut sender = match idle.take(worker) {
        Some(sender) => sender,
        None => connect(worker).await?,
    };
    let request = Request::post(format!("/v2/models/{function}/infer"))
        .header("host", worker)
        .header("content-type", "application/json")
        .header("pipithub-model-lanes", "64")
        .body(Full::new(body))?;
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    idle.put_back(worker, sender);
    Ok(body)
}

/// The pass-through: each message goes to the next worker in turn.
#[derive(Clone)]
struct PassThrough {
    channel: Channel,
    workers: Arc<Vec<String>>,
    next_worker: Arc<AtomicUsize>,
    idle: IdleConnections,
}

/// Runs the pass-through until it is killed.
pub(crate) async fn run(broker: &str, workers: Vec<String>) -> Result<()> {
    let connection = Connection::connect(
        &format!("amqp://guest:guest@{broker}/%2f"),
        ConnectionProperties::default(),
    )
    .await?;
    let channel = connection.create_channel().await?;
    let mut consumer = consume(&channel).await?;
    let pass_through = PassThrough {
        channel,
        workers: Arc::new(workers),
        next_worker: Arc::default(),
        idle: IdleConnections::default(),
    };
    while let Some(delivery) = consumer.next().await {
        let delivery = delivery?;
        let pass_through = pass_through.clone();
        tokio::spawn(async move { pass_through.forward(delivery).await });
    }
    Ok(())
}

async fn consume(channel: &Channel) -> Result<Consumer> {
    channel
        .basic_qos(PREFETCH, BasicQosOptions::default())
        .await?;
    let consumer = channel
        .basic_consume(
            ShortString::from(QUEUE),
            ShortString::from("baseline"),
            BasicConsumeOptions::default(),
            FieldTable::default(),
        )
        .await?;
    Ok(consumer)
}

impl PassThrough {
    /// Forwards a message to a worker, publishes the answer and acknowledges the message.
    async fn forward(&self, delivery: Delivery) {
        let Delivery {
            delivery_tag,
            data,
            properties,
            ..
        } = delivery;
        let function = function_of(&properties);
        let turn = self.next_worker.fetch_add(1, Ordering::Relaxed);
        let worker = &self.workers[turn % self.workers.len()];
        let (verdict, body) = match infer(&self.idle, worker, &function, Bytes::from(data)).await {
            Ok(body) => ("served", body),
            Err(_) => ("failed", Bytes::new()),
        };
        let reply_queue = properties.reply_to().clone().unwrap_or_else(|| "".into());
        // An error means that the connection is lost, which ends the consumer as well.
        let _ = self
            .channel
            .basic_publish(
                "".into(),
                reply_queue,
                BasicPublishOptions::default(),
                &body,
                answer_properties(&properties, verdict),
            )
            .await;
        let _ = self
            .channel
            .basic_ack(delivery_tag, BasicAckOptions::default())
            .await;
    }
}

/// The function in the headers of a message; empty if there is none.
fn function_of(properties: &BasicProperties) -> String {
    let header = properties
        .headers()
        .as_ref()
        .and_then(|headers| headers.inner().get("pipithub-function"));
    match header {
        Some(AMQPValue::LongString(name)) => name.to_string(),
        _ => String::new(),
    }
}

fn answer_properties(request: &BasicProperties, verdict: &str) -> BasicProperties {
    let mut headers = FieldTable::default();
    headers.insert(
        "pipithub-verdict".into(),
        AMQPValue::LongString(LongString::from(verdict)),
    );
    let correlation_id = request
        .correlation_id()
        .clone()
        .unwrap_or_else(|| "".into());
    BasicProperties::default()
        .with_headers(headers)
        .with_correlation_id(correlation_id)
}

/// Calls workers directly, in turn, at a rate per second; returns the latencies in microseconds.
pub(crate) async fn direct(workers: &[String], rate: f64, seconds: u64) -> Result<Histogram<u64>> {
    let (idle, clock) = (IdleConnections::default(), Clock::default());
    let latencies = Arc::new(Mutex::new(new_histogram()));
    let mut calls = tokio::task::JoinSet::new();
    // Calls of the first second open connections and load models, and are not measured.
    let warm_up = rate as u64;
    let measured = (rate * seconds as f64) as u64;
    for number in 0..measured + warm_up {
        let due = (number as f64 * NANOSECONDS_PER_SECOND / rate) as u64;
        clock.sleep_until(Some(due)).await;
        let idle = idle.clone();
        let latencies = latencies.clone();
        let worker = workers[number as usize % workers.len()].clone();
        calls.spawn(async move {
            let began = clock.now();
            let body = Bytes::from_static(b"{\"inputs\":[],\"parameters\":{\"work_ms\":2}}");
            let function = format!("m{}", number % FUNCTIONS);
            let served = infer(&idle, &worker, &function, body).await.is_ok();
            if served && number >= warm_up {
                let latency_us = (clock.now() - began) / 1000;
                latencies
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .saturating_record(latency_us.max(1));
            }
        });
    }
    while calls.join_next().await.is_some() {}
    let latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(latencies.clone())
}
