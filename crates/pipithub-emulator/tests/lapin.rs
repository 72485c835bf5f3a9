//! The emulated broker with an independent client, lapin.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use lapin::options::*;
use lapin::types::{AMQPValue, FieldTable, ShortString};
use lapin::{BasicProperties, Channel, Connection, ConnectionProperties, Consumer};
use pipithub_emulator::broker::{BrokerServer, BrokerSettings};

async fn start_broker() -> BrokerServer {
    BrokerServer::start(
        SocketAddr::from(([127, 0, 0, 1], 0)),
        BrokerSettings::default(),
    )
    .await
    .expect("a broker")
}

async fn connect(broker: &BrokerServer) -> (Connection, Channel) {
    let uri = format!("amqp://guest:guest@{}/%2f", broker.address());
    let connection = Connection::connect(&uri, ConnectionProperties::default())
        .await
        .expect("a connection");
    let channel = connection.create_channel().await.expect("a channel");
    (connection, channel)
}

fn short(text: &str) -> ShortString {
    ShortString::from(text)
}

async fn declare(channel: &Channel, queue: &str, arguments: &[(&str, AMQPValue)]) {
    let mut table = FieldTable::default();
    for (key, value) in arguments {
        table.insert(short(key), value.clone());
    }
    channel
        .queue_declare(short(queue), QueueDeclareOptions::default(), table)
        .await
        .expect("declared");
}

async fn publish(
    channel: &Channel,
    queue: &str,
    body: &[u8],
    properties: BasicProperties,
) -> Option<bool> {
    let confirm = channel
        .basic_publish(
            short(""),
            short(queue),
            BasicPublishOptions::default(),
            body,
            properties,
        )
        .await
        .expect("published")
        .await
        .expect("confirmed or not");
    Some(confirm.is_ack())
}

async fn consume(channel: &Channel, queue: &str) -> Consumer {
    let options = BasicConsumeOptions::default();
    channel
        .basic_consume(short(queue), short("me"), options, FieldTable::default())
        .await
        .expect("consuming")
}

fn reply_code(error: lapin::Error) -> u16 {
    match error.kind() {
        lapin::ErrorKind::ProtocolError(error) => error.get_id(),
        other => panic!("{other:?}"),
    }
}

async fn next(consumer: &mut Consumer) -> lapin::message::Delivery {
    let delivery = tokio::time::timeout(Duration::from_secs(20), consumer.next())
        .await
        .expect("a delivery in time");
    delivery
        .expect("the consumer still runs")
        .expect("a delivery without an error")
}

#[tokio::test(flavor = "multi_thread")]
async fn each_publish_is_confirmed() {
    let broker = start_broker().await;
    let (_connection, channel) = connect(&broker).await;
    declare(&channel, "q", &[]).await;
    channel
        .confirm_select(ConfirmSelectOptions::default())
        .await
        .expect("confirms");
    for size in [0, 10, 300_000] {
        assert_eq!(
            publish(&channel, "q", &vec![1; size], BasicProperties::default()).await,
            Some(true)
        );
    }
    assert_eq!(broker.depth("q"), Some((3, 0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn transaction_takes_effect_completely_or_not_at_all() {
    let broker = start_broker().await;
    let (_connection, channel) = connect(&broker).await;
    declare(&channel, "calls", &[]).await;
    declare(&channel, "answers", &[]).await;
    let (_other, plain) = connect(&broker).await;
    publish(&plain, "calls", b"a", BasicProperties::default()).await;
    channel.tx_select().await.expect("tx");
    let mut consumer = consume(&channel, "calls").await;
    let delivery = next(&mut consumer).await;
    let answer = || {
        channel.basic_publish(
            short(""),
            short("answers"),
            BasicPublishOptions::default(),
            b"x",
            BasicProperties::default(),
        )
    };
    answer().await.expect("published");
    channel
        .basic_ack(delivery.delivery_tag, BasicAckOptions::default())
        .await
        .expect("acked");
    channel.tx_rollback().await.expect("rolled back");
    assert_eq!(
        (broker.depth("answers"), broker.depth("calls")),
        (Some((0, 0)), Some((0, 1)))
    );
    answer().await.expect("published");
    channel
        .basic_ack(delivery.delivery_tag, BasicAckOptions::default())
        .await
        .expect("acked");
    channel.tx_commit().await.expect("committed");
    assert_eq!(
        (broker.depth("answers"), broker.depth("calls")),
        (Some((1, 0)), Some((0, 0)))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn prefetch_limits_deliveries_and_unacked_messages_are_redelivered() {
    let broker = start_broker().await;
    let (connection, channel) = connect(&broker).await;
    declare(&channel, "q", &[]).await;
    for n in 0..10u8 {
        publish(&channel, "q", &[n], BasicProperties::default()).await;
    }
    channel
        .basic_qos(3, BasicQosOptions { global: true })
        .await
        .expect("qos");
    let mut consumer = consume(&channel, "q").await;
    for n in 0..3u8 {
        let delivery = next(&mut consumer).await;
        assert_eq!((delivery.data[0], delivery.redelivered), (n, false));
    }
    assert_eq!(broker.depth("q"), Some((7, 3)));
    connection.close(200, short("bye")).await.expect("closed");
    let (_connection, channel) = connect(&broker).await;
    let mut consumer = consume(&channel, "q").await;
    for n in 0..10u8 {
        let delivery = next(&mut consumer).await;
        assert_eq!(
            (delivery.data[0], delivery.redelivered),
            (n, n < 3),
            "in their original order"
        );
        channel
            .basic_ack(delivery.delivery_tag, BasicAckOptions::default())
            .await
            .expect("acked");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_and_rejected_messages_are_dead_lettered() {
    let broker = start_broker().await;
    let (_connection, channel) = connect(&broker).await;
    declare(&channel, "dead", &[]).await;
    let text = |t: &str| AMQPValue::LongString(t.into());
    let dead = [
        ("x-dead-letter-exchange", text("")),
        ("x-dead-letter-routing-key", text("dead")),
    ];
    declare(&channel, "q", &dead).await;
    let mut dead_letters = consume(&channel, "dead").await;
    publish(
        &channel,
        "q",
        b"old",
        BasicProperties::default().with_expiration(short("30")),
    )
    .await;
    let dead_letter = next(&mut dead_letters).await;
    assert_eq!(&dead_letter.data[..], b"old");
    let headers = dead_letter.properties.headers().clone().expect("headers");
    let Some(AMQPValue::FieldArray(deaths)) = headers.inner().get("x-death") else {
        panic!("{headers:?}")
    };
    let Some(AMQPValue::FieldTable(death)) = deaths.as_slice().first() else {
        panic!("{headers:?}")
    };
    assert_eq!(death.inner().get("reason"), Some(&text("expired")));
    publish(&channel, "q", b"bad", BasicProperties::default()).await;
    let got = channel
        .basic_get(short("q"), BasicGetOptions::default())
        .await
        .expect("got")
        .expect("a message");
    channel
        .basic_reject(
            got.delivery.delivery_tag,
            BasicRejectOptions { requeue: false },
        )
        .await
        .expect("rejected");
    assert_eq!(&next(&mut dead_letters).await.data[..], b"bad");
}

/// Declares a queue without arguments; returns the broker's error if it fails.
async fn try_declare(
    channel: &Channel,
    queue: &str,
    options: QueueDeclareOptions,
) -> lapin::Result<lapin::Queue> {
    channel
        .queue_declare(short(queue), options, FieldTable::default())
        .await
}

/// Declares a topic exchange and binds a queue to it.
async fn bind_topic(channel: &Channel, exchange: &str, queue: &str, pattern: &str) {
    channel
        .exchange_declare(
            short(exchange),
            lapin::ExchangeKind::Topic,
            ExchangeDeclareOptions::default(),
            FieldTable::default(),
        )
        .await
        .expect("declared");
    channel
        .queue_bind(
            short(queue),
            short(exchange),
            short(pattern),
            QueueBindOptions::default(),
            FieldTable::default(),
        )
        .await
        .expect("bound");
}

#[tokio::test(flavor = "multi_thread")]
async fn topic_exchange_routes_and_invalid_declarations_fail_with_their_codes() {
    let broker = start_broker().await;
    let (connection, channel) = connect(&broker).await;
    declare(&channel, "a", &[]).await;
    bind_topic(&channel, "x", "a", "k.*").await;
    for key in ["k.one", "k.one.two", "other"] {
        channel
            .basic_publish(
                short("x"),
                short(key),
                BasicPublishOptions::default(),
                b"m",
                BasicProperties::default(),
            )
            .await
            .expect("published");
    }
    let passive = || QueueDeclareOptions {
        passive: true,
        ..Default::default()
    };
    try_declare(&channel, "a", passive())
        .await
        .expect("the queue exists");
    assert_eq!(broker.depth("a"), Some((1, 0)));
    let missing = try_declare(&channel, "nope", passive()).await;
    assert_eq!(reply_code(missing.expect_err("no such queue")), 404);
    let channel = connection.create_channel().await.expect("another channel");
    let durable = QueueDeclareOptions {
        durable: true,
        ..Default::default()
    };
    let different = try_declare(&channel, "a", durable).await;
    assert_eq!(
        reply_code(different.expect_err("the queue has other properties")),
        406
    );
}
