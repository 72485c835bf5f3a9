//! Cron timers as a source of calls. They are kept in memory, and each front end fires its own.
//!
//! [`Schedule`] decides which timer fires when, also when the wall clock is stepped.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chrono::{DateTime, Utc};
use croner::Cron;
use pipithub_clock::wall_ms;
use pipithub_engine::{Call, Input, Reply, SourceId, Ticket, Trigger, Verdict};
use pipithub_settings::CronConfig;
use tokio::sync::mpsc;
use tracing::{error, info, warn};

use crate::front_end::{SourceCommand, SourceHandle};
use crate::schedule::{Occurrence, Schedule};

/// The front end's timers as a source of calls.
pub(crate) struct CronSource {
    /// The configuration of each timer of the schedule, in the schedule's order.
    configs: Vec<CronConfig>,
    schedule: Schedule,
    source: SourceId,
    handle: SourceHandle,
    inputs: mpsc::Sender<Input>,
    /// The number of tickets issued so far; the last ticket has this number.
    tickets: u64,
}

impl CronSource {
    /// Starts the timers from the present wall time. A timer whose schedule cannot be parsed is logged and left out.
    pub(crate) fn new(
        configs: Vec<CronConfig>,
        source: SourceId,
        handle: SourceHandle,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let (configs, patterns): (Vec<_>, Vec<_>) =
            configs.into_iter().filter_map(with_pattern).unzip();
        let schedule = Schedule::new(patterns, wall_time());
        CronSource {
            configs,
            schedule,
            source,
            handle,
            inputs,
            tickets: 0,
        }
    }

    /// Fires timers until the front end has ended and closed its channels.
    pub(crate) async fn run(mut self) {
        loop {
            let next_check = self.schedule.time_until_check(wall_time());
            tokio::select! {
                () = wait(next_check) => {
                    if !self.fire_due().await {
                        return;
                    }
                }
                command = self.handle.commands.recv() => {
                    let Some(command) = command else { return };
                    self.handle_command(command).await;
                }
            }
        }
    }

    async fn handle_command(&mut self, command: SourceCommand) {
        match command {
            SourceCommand::Answer(ticket, reply) => {
                log_answer(ticket, &reply);
                self.settle(ticket).await;
            }
            SourceCommand::Shutdown => self.schedule.stop(),
        }
    }

    async fn settle(&self, ticket: Ticket) {
        // Sending fails only if the front end has ended, and then nobody needs the settlement.
        let _ = self.inputs.send(Input::Settled(ticket)).await;
    }

    /// Fires the timers that are due. Returns false if the front end has ended.
    async fn fire_due(&mut self) -> bool {
        for Occurrence { timer, planned } in self.schedule.due(wall_time()) {
            self.tickets += 1;
            let ticket = Ticket {
                source: self.source,
                number: self.tickets,
            };
            let config = &self.configs[timer];
            info!(timer = config.name, %planned, ticket = ticket.number, "timer fired");
            let trigger = trigger(config, planned, ticket);
            if self.inputs.send(Input::Trigger(trigger)).await.is_err() {
                return false;
            }
        }
        true
    }
}

/// Sleeps for a duration; `None` never completes.
async fn wait(duration: Option<Duration>) {
    match duration {
        Some(duration) => tokio::time::sleep(duration).await,
        None => std::future::pending().await,
    }
}

fn wall_time() -> DateTime<Utc> {
    let millis = i64::try_from(wall_ms()).unwrap_or(i64::MAX);
    DateTime::from_timestamp_millis(millis).unwrap_or(DateTime::<Utc>::MAX_UTC)
}

fn with_pattern(config: CronConfig) -> Option<(CronConfig, Cron)> {
    match Cron::from_str(&config.schedule) {
        Ok(pattern) => Some((config, pattern)),
        Err(error) => {
            error!(timer = config.name, %error, "failed to parse cron schedule; timer is disabled");
            None
        }
    }
}

fn log_answer(ticket: Ticket, reply: &Reply) {
    let (verdict, cause) = (reply.verdict.as_str(), reply.cause.as_str());
    if reply.verdict == Verdict::Served {
        info!(
            ticket = ticket.number,
            verdict, cause, "call of timer finished"
        );
    } else {
        warn!(
            ticket = ticket.number,
            verdict, cause, "call of timer finished"
        );
    }
}

fn trigger(config: &CronConfig, planned: DateTime<Utc>, ticket: Ticket) -> Trigger {
    let name: Arc<str> = format!("{}@{}", config.name, planned.timestamp()).into();
    let route = &config.route;
    let call = Call {
        function: route.function.clone().unwrap_or_default(),
        class: route.class.unwrap_or_default(),
        timeout: route.client_timeout,
        waited: 0,
        age: None,
        expected_work: route.expected_work,
        memory_mb: route.memory_mb,
        replica_concurrency: route.replica_concurrency.max(1),
        load_time: route.load_time,
        message_id: Some(name.clone()),
        idempotency_key: Some(name),
        content_type: Some("application/json".into()),
        body: Bytes::from(config.body.clone()),
        tenant: route.tenant,
        user: None,
        person: 0,
    };
    Trigger {
        ticket,
        // A timer has no connection that could be lost, so it never delivers a trigger again.
        identity: None,
        redelivered: false,
        deliveries: 0,
        call,
    }
}
