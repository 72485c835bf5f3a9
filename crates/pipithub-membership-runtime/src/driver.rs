//! The task that runs the membership: it receives and sends datagrams, saves records, and writes the report.

use std::path::Path;

use pipithub_clock::{Clock, wall_ms};
use pipithub_membership::{Event, Input, Membership, Output, Time, View};
use pipithub_settings::FleetSettings;
use pipithub_storage::Saver;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tracing::{debug, info, warn};

use crate::data_folder::{DataFolder, DataFolderError};
use crate::event_text::reported_event;
use crate::report::{EventHistory, Report};

/// Time between two reports if an event occurred after the first one.
const MIN_REPORT_INTERVAL: Time = 200_000_000;
/// Time between two reports if no event occurred after the first one.
const MAX_REPORT_INTERVAL: Time = 1_000_000_000;
/// Size of the receive buffer, larger than any datagram of the protocol. Longer datagrams are truncated and then
/// rejected.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Owns the membership with its socket, files and clock.
pub(crate) struct Driver {
    config: FleetSettings,
    folder: DataFolder,
    membership: Membership,
    socket: UdpSocket,
    clock: Clock,
    view: watch::Sender<Option<View>>,
    events: EventHistory,
    generation_saver: Saver,
    last_report: Time,
    changed_since_report: bool,
    report_task: Option<JoinHandle<Result<(), DataFolderError>>>,
    outputs: Vec<Output>,
}

impl Driver {
    pub(crate) fn new(
        membership: Membership,
        config: FleetSettings,
        folder: DataFolder,
        socket: UdpSocket,
        generation_saver: Saver,
        view: watch::Sender<Option<View>>,
    ) -> Driver {
        Driver {
            config,
            folder,
            membership,
            socket,
            clock: Clock::default(),
            view,
            events: EventHistory::default(),
            generation_saver,
            last_report: 0,
            changed_since_report: true,
            report_task: None,
            outputs: Vec::new(),
        }
    }

    /// Runs until `stopped` becomes true, then leaves the cluster and writes a last report.
    pub(crate) async fn run(mut self, mut stopped: watch::Receiver<bool>) {
        info!(
            front_end = self.name(),
            cluster = self.config.membership.cluster,
            address = self.listen_address(),
            "membership started"
        );
        // Subscribed before the first record is saved, so that its confirmation is not missed.
        let mut saved = self.generation_saver.saved();
        self.membership.start(self.clock.now(), &mut self.outputs);
        self.apply_outputs().await;
        self.serve(&mut saved, &mut stopped).await;
        self.handle(Input::Leave);
        self.apply_outputs().await;
        self.last_report = 0;
        self.report_if_due().await;
        if let Some(task) = self.report_task.take() {
            let _ = task.await;
        }
        info!(front_end = self.name(), "membership stopped");
    }

    async fn serve(
        &mut self,
        saved: &mut watch::Receiver<Option<u64>>,
        stopped: &mut watch::Receiver<bool>,
    ) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let report_due = self.last_report + self.report_interval();
            let timer_due = self.membership.next_due();
            let due = timer_due.map_or(report_due, |due| due.min(report_due));
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((count, from)) => {
                        let bytes = &buffer[..count];
                        self.handle(Input::Datagram { from, bytes });
                    }
                    // The error means that an earlier datagram was sent to a closed port; this socket is not affected.
                    Err(error) => debug!(front_end = self.name(), %error, "failed to receive datagram"),
                },
                Ok(()) = saved.changed() => {
                    let generation = *saved.borrow_and_update();
                    if let Some(generation) = generation {
                        self.handle(Input::GenerationSaved(generation));
                    }
                }
                () = self.clock.sleep_until(Some(due)) => self.handle(Input::Tick),
                _ = stopped.wait_for(|stop| *stop) => break,
            }
            self.apply_outputs().await;
            self.report_if_due().await;
        }
    }

    fn name(&self) -> &str {
        &self.membership.identity().name
    }

    fn listen_address(&self) -> String {
        self.socket
            .local_addr()
            .map(|address| address.to_string())
            .unwrap_or_default()
    }

    fn handle(&mut self, input: Input<'_>) {
        self.membership
            .handle(self.clock.now(), input, &mut self.outputs);
    }

    async fn apply_outputs(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, bytes } => {
                    let to = self
                        .config
                        .address_overrides
                        .get(&to)
                        .copied()
                        .unwrap_or(to);
                    if let Err(error) = self.socket.send_to(&bytes, to).await {
                        debug!(front_end = self.name(), %to, %error, "failed to send datagram");
                    }
                }
                // Another task saves the record, with retries: a full disk keeps this process out of the cluster, but
                // does not block this loop.
                Output::SaveGeneration(record) => self
                    .generation_saver
                    .save(record.generation, record.encode().into_bytes()),
                Output::Event(event) => self.record_event(&event),
            }
        }
    }

    fn record_event(&mut self, event: &Event) {
        let reported = reported_event(event, self.name(), wall_ms(), self.clock.now());
        log_event(self.name(), event, &reported.member, &reported.description);
        self.events.push(reported);
        self.changed_since_report = true;
    }

    fn report_interval(&self) -> Time {
        if self.changed_since_report {
            MIN_REPORT_INTERVAL
        } else {
            MAX_REPORT_INTERVAL
        }
    }

    /// Publishes the view and starts to write the report, if both are due and no earlier report is still being written.
    async fn report_if_due(&mut self) {
        let now = self.clock.now();
        let due = self.last_report.saturating_add(self.report_interval());
        let still_writing = self
            .report_task
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if now < due || still_writing {
            return;
        }
        if let Some(task) = self.report_task.take()
            && let Ok(Err(error)) = task.await
        {
            debug!(front_end = self.name(), %error, "failed to write membership report");
        }
        self.last_report = now;
        self.changed_since_report = false;
        let view = self.membership.view(now);
        let cluster = &self.config.membership.cluster;
        let report = self
            .events
            .report(cluster, &self.listen_address(), &view, wall_ms());
        self.view.send_replace(Some(view));
        let folder = self.folder.path().to_path_buf();
        let write = move || write_report(&folder, &report);
        self.report_task = Some(tokio::task::spawn_blocking(write));
    }
}

fn log_event(front_end: &str, event: &Event, member: &str, description: &str) {
    match event {
        Event::Up(known) | Event::Suspected(known) | Event::Down { member: known, .. } => {
            let generation = known.identity.generation;
            info!(
                front_end,
                member, generation, description, "membership event"
            );
        }
        Event::Stalled { .. } | Event::StaleDisk { .. } | Event::MemberLimitReached(_) => {
            warn!(front_end, member, description, "membership event");
        }
        Event::Replaced { .. } | Event::JoinStateChanged(_) | Event::DatagramsRejected { .. } => {
            info!(front_end, member, description, "membership event");
        }
    }
}

fn write_report(folder: &Path, report: &Report) -> Result<(), DataFolderError> {
    let text = serde_json::to_vec(report).unwrap_or_default();
    DataFolder::save_report(folder, &text)
}
