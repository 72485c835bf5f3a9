//! Timers as a second source: in memory, fired by this front end alone.

use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use chrono::{DateTime, Utc};
use croner::Cron;
use pipithub_engine::{Call, Input, SourceId, Ticket, Trigger, Verdict};
use pipithub_settings::CronConfig;
use tokio::sync::mpsc;
use tracing::{error, info, warn};

use crate::front::{Order, SourceHandle};

struct Timer {
    config: CronConfig,
    cron: Cron,
    next: Option<DateTime<Utc>>,
}

fn after(cron: &Cron, at: DateTime<Utc>) -> Option<DateTime<Utc>> {
    cron.find_next_occurrence(&at, false).ok()
}

/// Fires timers until stopped. A time that passed while the process was held up fires once, late, not once for each
/// that was missed.
pub(crate) async fn run(
    configs: Vec<CronConfig>,
    source: SourceId,
    mut handle: SourceHandle,
    inputs: mpsc::Sender<Input>,
) {
    let mut timers: Vec<Timer> = Vec::new();
    for config in configs {
        match Cron::from_str(&config.schedule) {
            Ok(cron) => {
                let next = after(&cron, Utc::now());
                timers.push(Timer { config, cron, next });
            }
            Err(error) => error!(timer = config.name, %error, "schedule not read"),
        }
    }
    let mut number = 0;
    loop {
        let due = timers.iter().filter_map(|t| t.next).min();
        let wait = async {
            match due {
                Some(due) => tokio::time::sleep((due - Utc::now()).to_std().unwrap_or_default()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {}
            order = handle.orders.recv() => {
                match order {
                    Some(Order::Answer(ticket, reply)) => {
                        let (verdict, cause) = (reply.verdict.as_str(), reply.cause.as_str());
                        if reply.verdict == Verdict::Served {
                            info!(ticket = ticket.number, verdict, cause, "timer's call over");
                        } else {
                            warn!(ticket = ticket.number, verdict, cause, "timer's call over");
                        }
                        let _ = inputs.send(Input::Settled(ticket)).await;
                    }
                    Some(Order::Forget(ticket)) => drop(inputs.send(Input::Settled(ticket)).await),
                    Some(Order::Stop) => timers.clear(),
                    None => return,
                }
                continue;
            }
        }
        let now = Utc::now();
        for timer in timers.iter_mut().filter(|t| t.next.is_some_and(|next| next <= now)) {
            let planned = timer.next.take().unwrap_or(now);
            timer.next = after(&timer.cron, now);
            number += 1;
            let trigger = trigger(&timer.config, planned, Ticket { source, number });
            info!(timer = timer.config.name, %planned, ticket = number, "timer fires");
            if inputs.send(Input::Trigger(trigger)).await.is_err() {
                return;
            }
        }
    }
}

fn trigger(config: &CronConfig, planned: DateTime<Utc>, ticket: Ticket) -> Trigger {
    let name: Arc<str> = format!("{}@{}", config.name, planned.timestamp()).into();
    let route = &config.route;
    let call = Call {
        function: route.function.clone().unwrap_or_default(),
        class: route.class.unwrap_or_default(),
        budget: route.budget,
        waited: 0,
        age: None,
        expected: route.expected,
        memory_mb: route.memory_mb,
        lanes: route.lanes.max(1),
        load_time: route.load_time,
        label: Some(name.clone()),
        key: Some(name.clone()),
        content_type: Some("application/json".into()),
        body: Bytes::from(config.body.clone()),
        tenant: route.tenant,
        user: None,
        person: 0,
    };
    Trigger { ticket, identity: Some(name), redelivered: false, deliveries: 0, call }
}
