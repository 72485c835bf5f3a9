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
use lapin::{BasicProperties, Connection, ConnectionProperties};
use pipithub_clock::Clock;
use tokio::net::TcpStream;

use crate::{Result, new_histogram};

type IdleConnections = Arc<Mutex<HashMap<String, Vec<SendRequest<Full<Bytes>>>>>>;

async fn infer(idle: &IdleConnections, worker: &str, function: &str, body: Bytes) -> Result<Bytes> {
    let pooled = idle
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .get_mut(worker)
        .and_then(Vec::pop);
    let mut sender = if let Some(sender) = pooled {
        sender
    } else {
        let stream = TcpStream::connect(worker).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        sender
    };
    let request = Request::post(format!("/v2/models/{function}/infer"))
        .header("host", worker)
        .header("content-type", "application/json")
        .header("pipithub-model-lanes", "64")
        .body(Full::new(body))?;
    sender.ready().await?;
    let answer = sender
        .send_request(request)
        .await?
        .into_body()
        .collect()
        .await?
        .to_bytes();
    idle.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .entry(worker.to_string())
        .or_default()
        .push(sender);
    Ok(answer)
}

/// Runs the pass-through until it is killed.
pub(crate) async fn run(broker: &str, workers: Vec<String>) -> Result<()> {
    let connection = Connection::connect(
        &format!("amqp://guest:guest@{broker}/%2f"),
        ConnectionProperties::default(),
    )
    .await?;
    let channel = connection.create_channel().await?;
    channel.basic_qos(2_000, BasicQosOptions::default()).await?;
    let (queue, tag) = (ShortString::from("calls"), ShortString::from("baseline"));
    let mut consumer = channel
        .basic_consume(
            queue,
            tag,
            BasicConsumeOptions::default(),
            FieldTable::default(),
        )
        .await?;
    let (idle, next_worker, workers) = (
        IdleConnections::default(),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(workers),
    );
    while let Some(delivery) = consumer.next().await {
        let Delivery {
            delivery_tag,
            data,
            properties,
            ..
        } = delivery?;
        let (channel, idle, next_worker, workers) = (
            channel.clone(),
            idle.clone(),
            next_worker.clone(),
            workers.clone(),
        );
        tokio::spawn(async move {
            let function = match properties
                .headers()
                .as_ref()
                .and_then(|h| h.inner().get("pipithub-function"))
            {
                Some(AMQPValue::LongString(name)) => name.to_string(),
                _ => String::new(),
            };
            let worker = &workers[next_worker.fetch_add(1, Ordering::Relaxed) % workers.len()];
            let (verdict, body) = match infer(&idle, worker, &function, Bytes::from(data)).await {
                Ok(body) => ("served", body),
                Err(_) => ("failed", Bytes::new()),
            };
            let mut headers = FieldTable::default();
            headers.insert(
                "pipithub-verdict".into(),
                AMQPValue::LongString(LongString::from(verdict)),
            );
            let answer = BasicProperties::default()
                .with_headers(headers)
                .with_correlation_id(
                    properties
                        .correlation_id()
                        .clone()
                        .unwrap_or_else(|| "".into()),
                );
            let reply = properties.reply_to().clone().unwrap_or_else(|| "".into());
            let _ = channel
                .basic_publish(
                    "".into(),
                    reply,
                    BasicPublishOptions::default(),
                    &body,
                    answer,
                )
                .await;
            let _ = channel
                .basic_ack(delivery_tag, BasicAckOptions::default())
                .await;
        });
    }
    Ok(())
}

/// Calls workers without anything between.
pub(crate) async fn direct(workers: &[String], rate: f64, seconds: u64) -> Result<Histogram<u64>> {
    let (idle, clock) = (IdleConnections::default(), Clock::default());
    let all = Arc::new(Mutex::new(new_histogram()));
    let mut tasks = tokio::task::JoinSet::new();
    let warm = rate as u64;
    for n in 0..(rate * seconds as f64) as u64 + warm {
        clock
            .sleep_until(Some((n as f64 * 1e9 / rate) as u64))
            .await;
        let (idle, all, worker) = (
            idle.clone(),
            all.clone(),
            workers[n as usize % workers.len()].clone(),
        );
        tasks.spawn(async move {
            let began = clock.now();
            let body = Bytes::from_static(b"{\"inputs\":[],\"parameters\":{\"work_ms\":2}}");
            // The first second makes connections and loads models.
            if infer(&idle, &worker, &format!("m{}", n % 16), body)
                .await
                .is_ok()
                && n >= warm
            {
                let took = (clock.now() - began) / 1000;
                all.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .saturating_record(took.max(1));
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let all = all.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(all.clone())
}
