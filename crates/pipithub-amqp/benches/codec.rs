//! Measures the codec: decoding and encoding a delivery with its headers.
#![allow(missing_docs, reason = "criterion's macros make public functions")]

use bytes::{Bytes, BytesMut};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pipithub_amqp::{FieldTable, Frame, FrameDecoder, Method, Payload, Properties, ShortStr};

fn frames(body: usize) -> Vec<Frame> {
    let text = |t: &str| ShortStr::truncated(t);
    let headers = FieldTable::new()
        .with("pipithub-class", "roster-view")
        .with("pipithub-function", "rosters")
        .with("pipithub-sent-ms", 1_800_000_000_000i64);
    let properties = Properties {
        message_id: Some(text("6f1c9a52-7d1b-4c8e-9a39-2f5b1f6f0c11")),
        correlation_id: Some(text("6f1c9a52")),
        reply_to: Some(text("answers")),
        headers: Some(headers),
        ..Properties::default()
    };
    let deliver = Method::BasicDeliver {
        consumer_tag: text("fe-1"),
        delivery_tag: 77,
        redelivered: false,
        exchange: text(""),
        routing_key: text("calls"),
    };
    let on_channel_1 = |payload| Frame {
        channel: 1,
        payload,
    };
    vec![
        on_channel_1(Payload::Method(deliver)),
        on_channel_1(Payload::Header {
            class_id: 60,
            body_size: body as u64,
            properties: Box::new(properties),
        }),
        on_channel_1(Payload::Body(Bytes::from(vec![7; body]))),
    ]
}

fn codec(c: &mut Criterion) {
    let mut group = c.benchmark_group("a delivery");
    for body in [100usize, 100_000] {
        let frames = frames(body);
        let mut bytes = BytesMut::new();
        frames.iter().for_each(|f| f.write(&mut bytes));
        group.throughput(Throughput::Bytes(bytes.len() as u64));
        group.bench_function(format!("read, {body} bytes"), |b| {
            let mut decoder = FrameDecoder::new(1 << 20);
            b.iter(|| {
                decoder.push(&bytes);
                while let Ok(Some(frame)) = decoder.next_frame() {
                    std::hint::black_box(frame);
                }
            });
        });
        group.bench_function(format!("write, {body} bytes"), |b| {
            let mut out = BytesMut::with_capacity(bytes.len());
            b.iter(|| {
                out.clear();
                frames.iter().for_each(|f| f.write(&mut out));
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1)).warm_up_time(std::time::Duration::from_millis(300));
    targets = codec
}
criterion_main!(benches);
