//! The members of a fleet as processes, and how actions change them and their links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pipithub_clock::wall_ns;
use pipithub_conformance::fleet::{Disk, History, Interval, Run, Time};
use pipithub_emulator::relay::{LinkConditions, Relay};
use pipithub_membership::GenerationRecord;

use super::action::{Action, Link};
use super::generations::GenerationObserver;
use crate::fleet::scenario::FleetScenario;
use crate::outcome::{FaultLog, InjectedFault};
use crate::process::Process;
use crate::units::milliseconds;

/// The name of the fleet in the settings of its members.
const CLUSTER_NAME: &str = "scenario";
/// The file in a data folder that holds the generation.
const GENERATION_FILE: &str = "generation";
/// The port of all advertised addresses.
const ADVERTISED_PORT: u16 = 7100;

/// The place for the processes of a member or of a duplicate, of which one runs at a time.
pub(super) struct Slot {
    name: String,
    zone: usize,
    /// The address that other members know. Relays receive the datagrams for it, so no process listens there.
    advertise: SocketAddr,
    pub(super) process: Option<Process>,
    /// The current run, as an index into [`History::runs`]; `None` while no process runs.
    pub(super) run: Option<usize>,
    pub(super) paused_since: Option<Time>,
    /// Whether the run has reported its address, so that relays forward to it.
    pub(super) reachable: bool,
}

/// All processes and links of a fleet.
pub(super) struct Cluster<'a> {
    pub(super) scenario: &'a FleetScenario,
    binary: &'a Path,
    folder: PathBuf,
    pub(super) slots: Vec<Slot>,
    pub(super) relays: BTreeMap<Link, Relay>,
    generations: GenerationObserver,
    pub(super) history: History,
    faults: FaultLog,
}

impl<'a> Cluster<'a> {
    /// Starts the relays of a number of slots, and no process.
    pub(super) async fn new(
        scenario: &'a FleetScenario,
        slots: usize,
        seed: u64,
        binary: &'a Path,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let generations = GenerationObserver::new(CLUSTER_NAME, slots);
        Ok(Cluster {
            scenario,
            binary,
            folder: folder.to_path_buf(),
            slots: (0..slots).map(|slot| new_slot(scenario, slot)).collect(),
            relays: start_relays(slots, seed, &generations).await?,
            generations,
            history: History::default(),
            faults: FaultLog::default(),
        })
    }

    /// The data folder of a slot.
    pub(super) fn data_folder(&self, slot: usize) -> PathBuf {
        self.folder.join(format!("data-{slot}"))
    }

    /// The faults injected so far, with their times since a time.
    pub(super) fn injected_faults(&self, since: Time) -> Vec<InjectedFault> {
        self.faults.since(since)
    }

    /// Ends all processes and returns the history. These ends are not part of the history: runs that last until now have no
    /// end there.
    pub(super) async fn shut_down(mut self) -> History {
        for slot in &mut self.slots {
            if let Some(process) = slot.process.take() {
                process.kill().await;
            }
        }
        self.history.generations_used = self.generations.take();
        self.history
    }

    /// The settings file of a slot.
    fn settings(&self, slot: usize) -> String {
        let own = &self.slots[slot];
        let seeds: String = (0..self.scenario.seeds)
            .map(|seed| format!("    seed \"{}\"\n", self.slots[seed].advertise))
            .collect();
        let outgoing = self.relays.iter().filter(|(link, _)| link.from == slot);
        let via: String = outgoing
            .map(|(link, relay)| {
                let (advertise, relay) = (self.slots[link.to].advertise, relay.address());
                format!("    via \"{advertise}\" to=\"{relay}\"\n")
            })
            .collect();
        format!(
            "front-end {:?} drain=\"0s\"\nclass \"view\" effect=\"safe\"\nworkers {{ worker \"127.0.0.1:1\"; }}\nfleet {CLUSTER_NAME:?} {{\n    \
             listen \"127.0.0.1:0\"\n    advertise \"{}\"\n    zone \"zone-{}\"\n    data {:?}\n    \
             probe-period \"{}ms\"\n    probe-wait \"{}ms\"\n{seeds}{via}}}\n",
            own.name,
            own.advertise,
            own.zone,
            self.data_folder(slot).display().to_string(),
            milliseconds(self.scenario.probe_period),
            milliseconds(self.scenario.probe_wait),
        )
    }

    /// Starts a run in a slot; `disk` is the state that its data folder is in.
    pub(super) fn start(&mut self, slot: usize, disk: Disk) -> std::io::Result<()> {
        let settings = self.folder.join(format!("front-{slot}.kdl"));
        std::fs::write(&settings, self.settings(slot))?;
        let arguments = [
            "serve".to_string(),
            "--config".into(),
            settings.display().to_string(),
        ];
        let log = self.folder.join(format!("front-{slot}.log"));
        let run = self.history.runs.len();
        let last_generation = read_generation(&self.data_folder(slot)).map_or(0, |r| r.generation);
        self.history.runs.push(Run {
            name: self.slots[slot].name.clone(),
            started: wall_ns(),
            ended: None,
            disk,
            expected_generation: last_generation + 1,
            paused: Vec::new(),
        });
        self.generations.set_run(slot, run);
        let process = Process::start_gateway(self.binary, &arguments, &log)?;
        let slot = &mut self.slots[slot];
        slot.process = Some(process);
        slot.run = Some(run);
        slot.reachable = false;
        slot.paused_since = None;
        Ok(())
    }

    /// Kills the process of a slot, if there is one.
    pub(super) async fn kill(&mut self, slot: usize) {
        self.set_paused(slot, false);
        let Some(process) = self.slots[slot].process.take() else {
            return;
        };
        process.kill().await;
        if let Some(run) = self.slots[slot].run.take() {
            self.history.runs[run].ended = Some(wall_ns());
        }
        self.point_relays_to(slot, None);
    }

    /// Points all relays to a slot to an address; `None` makes them forward nowhere.
    pub(super) fn point_relays_to(&self, slot: usize, address: Option<SocketAddr>) {
        let incoming = self.relays.iter().filter(|(link, _)| link.to == slot);
        incoming.for_each(|(_, relay)| relay.forward_to(address));
    }

    /// Pauses or resumes the process of a slot by a signal.
    pub(super) fn set_paused(&mut self, slot: usize, paused: bool) {
        let slot = &mut self.slots[slot];
        let Some(id) = slot.process.as_ref().and_then(Process::id) else {
            return;
        };
        if paused == slot.paused_since.is_some() {
            return;
        }
        let signal = if paused {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        if let Ok(id) = i32::try_from(id) {
            // The signal fails only if the process has ended meanwhile.
            let _ = kill(Pid::from_raw(id), signal);
        }
        let now = wall_ns();
        let since = std::mem::replace(&mut slot.paused_since, paused.then_some(now));
        if let (Some(from), Some(run)) = (since, slot.run) {
            let pause = Interval { from, until: now };
            self.history.runs[run].paused.push(pause);
        }
    }

    /// Brings the data folder of a slot into a state.
    fn prepare_disk(&self, slot: usize, disk: Disk) -> std::io::Result<()> {
        let data = self.data_folder(slot);
        match disk {
            Disk::Current => Ok(()),
            Disk::Empty => std::fs::remove_dir_all(data),
            Disk::Stale => {
                let record = std::fs::read_to_string(data.join(GENERATION_FILE))?;
                let record = GenerationRecord::decode(&record).map_err(std::io::Error::other)?;
                write_previous_generation(&data, record)
            }
        }
    }

    /// Changes how links carry datagrams.
    fn change_links(&self, change: impl Fn(Link, &mut LinkConditions)) {
        for (link, relay) in &self.relays {
            relay.change(|conditions| change(*link, conditions));
        }
    }

    /// Ends all disturbances of links.
    pub(super) fn restore_links(&self) {
        self.change_links(|_, conditions| *conditions = LinkConditions::default());
    }

    /// Carries out an action and records it for the report.
    pub(super) async fn apply(&mut self, action: Action) -> std::io::Result<()> {
        self.faults.record(action.code(), action.to_string());
        match action {
            Action::Kill { slot } => self.kill(slot).await,
            Action::Start { slot, disk } => {
                if self.slots[slot].process.is_none() {
                    self.prepare_disk(slot, disk)?;
                    self.start(slot, disk)?;
                }
            }
            Action::Pause { slot, paused } => self.set_paused(slot, paused),
            Action::StartDuplicate { slot, of } => self.start_duplicate(slot, of)?,
            Action::Cut { link, cut } => self.change_links(|l, conditions| {
                if l == link {
                    conditions.cut = cut;
                }
            }),
            Action::Hold { link, held } => self.change_links(|l, conditions| {
                if l == link {
                    conditions.paused = held;
                }
            }),
            Action::Split { zone, cut } => self.change_links(|link, conditions| {
                let is_inside = |slot: usize| self.slots[slot].zone == zone;
                if is_inside(link.from) != is_inside(link.to) {
                    conditions.cut = cut;
                }
            }),
            Action::Slow { delay, jitter } => self.change_links(|_, conditions| {
                conditions.delay = Duration::from_nanos(delay);
                conditions.jitter = Duration::from_nanos(jitter);
            }),
            Action::Loss { share } => self.change_links(|_, conditions| {
                conditions.loss = share;
                conditions.duplication = share / 2.0;
            }),
        }
        Ok(())
    }

    /// Starts a process under the name of another slot, from a copy of the data folder of that slot.
    fn start_duplicate(&mut self, slot: usize, of: usize) -> std::io::Result<()> {
        let copy = self.data_folder(slot);
        std::fs::create_dir_all(&copy)?;
        // The copy is as if made before the other process started, so both processes count up from the same generation.
        if let Some(record) = read_generation(&self.data_folder(of)) {
            write_previous_generation(&copy, record)?;
        }
        let name = self.slots[of].name.clone();
        self.slots[slot].name = name;
        self.start(slot, Disk::Stale)
    }
}

fn new_slot(scenario: &FleetScenario, slot: usize) -> Slot {
    Slot {
        name: format!("front-{slot}"),
        zone: slot % scenario.zones,
        // An address of the loopback range on which nothing listens.
        advertise: SocketAddr::from(([127, 0, 100, slot as u8 + 1], ADVERTISED_PORT)),
        process: None,
        run: None,
        paused_since: None,
        reachable: false,
    }
}

/// Starts a relay for each direction between two slots.
async fn start_relays(
    slots: usize,
    seed: u64,
    generations: &GenerationObserver,
) -> std::io::Result<BTreeMap<Link, Relay>> {
    let mut relays = BTreeMap::new();
    for from in 0..slots {
        for to in (0..slots).filter(|to| *to != from) {
            let observer = generations.clone();
            let observe = move |datagram: &[u8]| observer.observe(from, datagram);
            let seed = seed.wrapping_mul(1_000_003) ^ ((from as u64) << 16) ^ to as u64;
            relays.insert(Link { from, to }, Relay::start(seed, observe).await?);
        }
    }
    Ok(relays)
}

/// The generation record of a data folder; `None` if it has no valid one.
fn read_generation(data: &Path) -> Option<GenerationRecord> {
    let text = std::fs::read_to_string(data.join(GENERATION_FILE)).ok()?;
    GenerationRecord::decode(&text).ok()
}

/// Writes a record with the generation before that of `record`.
fn write_previous_generation(data: &Path, record: GenerationRecord) -> std::io::Result<()> {
    let generation = record.generation.saturating_sub(1);
    let record = GenerationRecord {
        generation,
        ..record
    };
    std::fs::write(data.join(GENERATION_FILE), record.encode())
}
