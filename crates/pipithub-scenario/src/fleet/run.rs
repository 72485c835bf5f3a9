//! Runs a fleet's day over real processes and has it judged.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pipithub_clock::{Clock, wall_ns};
use pipithub_conformance::fleet::{Breach, Claim, Disk, History, Run, check};
use pipithub_emulator::relay::{LinkConditions, Relay};
use pipithub_membership::{GenerationRecord, sender_identity};
use pipithub_membership_runtime::{DataFolder, Report};
use tracing::info;

use super::scenario::{FleetFault, FleetScenario};
use crate::outcome::InjectedFault;
use crate::process::Process;

#[cfg(test)]
mod tests;

const CLUSTER: &str = "drill";
const SAMPLE: Duration = Duration::from_millis(200);
/// A process that has not told where it listens by then did not start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// All that was seen.
    pub history: History,
    /// What went wrong when, in seconds from the start.
    pub faults: Vec<InjectedFault>,
    /// Where logs and data folders are.
    pub folder: PathBuf,
}

/// One place for a process: a member's, or a twin's.
struct Slot {
    name: String,
    zone: usize,
    /// The address that others know; nobody listens there, relays stand for it.
    advertise: SocketAddr,
    process: Option<Process>,
    run: Option<usize>,
    paused: Option<u64>,
    /// The run's report was seen, so relays lead to it.
    relayed: bool,
}

#[derive(Clone, Debug)]
enum Action {
    Kill(usize),
    Start(usize, Disk),
    Pause(usize, bool),
    Cut(usize, usize, bool),
    Hold(usize, usize, bool),
    Split(usize, bool),
    Slow(u64, u64),
    Loss(f64),
    DuplicateIdentity(usize, usize),
}

/// The words under which reports and logs name an act; readers of reports rely on them.
impl std::fmt::Display for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let disk_word = |disk: &Disk| match disk {
            Disk::Current => "Kept",
            Disk::Empty => "Empty",
            Disk::Stale => "Old",
        };
        match self {
            Action::Kill(member) => write!(f, "Kill({member})"),
            Action::Start(member, disk) => write!(f, "Start({member}, {})", disk_word(disk)),
            Action::Pause(member, paused) => write!(f, "Pause({member}, {paused})"),
            Action::Cut(from, to, cut) => write!(f, "Cut({from}, {to}, {cut})"),
            Action::Hold(from, to, held) => write!(f, "Hold({from}, {to}, {held})"),
            Action::Split(zone, cut) => write!(f, "Split({zone}, {cut})"),
            Action::Slow(delay, jitter) => write!(f, "Slow({delay}, {jitter})"),
            Action::Loss(share) => write!(f, "Loss({share:?})"),
            Action::DuplicateIdentity(slot, of) => write!(f, "Twin({slot}, {of})"),
        }
    }
}

/// Which run spoke under which generation, as relays saw it.
#[derive(Default)]
struct Spoken {
    /// The run that a boot number was first seen from.
    boots: BTreeMap<u64, usize>,
    spoken: BTreeMap<(usize, u64), u64>,
    /// The run that each slot has now.
    runs: Vec<Option<usize>>,
}

struct Cluster<'a> {
    scenario: &'a FleetScenario,
    binary: &'a Path,
    folder: PathBuf,
    slots: Vec<Slot>,
    relays: BTreeMap<(usize, usize), Relay>,
    spoken: Arc<Mutex<Spoken>>,
    history: History,
    faults: Vec<(u64, String)>,
}

/// The acts of a day by time, and how many twins it has.
fn actions(scenario: &FleetScenario, seed: u64) -> (Vec<(u64, Action)>, usize) {
    let (mut actions, mut duplicates) = (Vec::new(), 0);
    for scheduled in scenario.faults_for_seed(seed) {
        let (at, end) = (scheduled.at, scheduled.at + scheduled.duration);
        let mut both = |from: Action, to: Action| actions.extend([(at, from), (end, to)]);
        match scheduled.fault {
            FleetFault::Kill { member, disk } => {
                both(Action::Kill(member), Action::Start(member, disk));
            }
            FleetFault::Pause { member } => {
                both(Action::Pause(member, true), Action::Pause(member, false));
            }
            FleetFault::Cut {
                from,
                to,
                both: ways,
            } => {
                both(Action::Cut(from, to, true), Action::Cut(from, to, false));
                if ways {
                    both(Action::Cut(to, from, true), Action::Cut(to, from, false));
                }
            }
            FleetFault::Flap { from, to, every } => {
                let (mut t, mut cut) = (at, true);
                while t < end {
                    actions.extend([
                        (t, Action::Cut(from, to, cut)),
                        (t, Action::Cut(to, from, cut)),
                    ]);
                    (t, cut) = (t + every, !cut);
                }
                actions.extend([
                    (end, Action::Cut(from, to, false)),
                    (end, Action::Cut(to, from, false)),
                ]);
            }
            FleetFault::Hold { from, to } => {
                both(Action::Hold(from, to, true), Action::Hold(from, to, false));
            }
            FleetFault::Split { zone } => {
                both(Action::Split(zone, true), Action::Split(zone, false));
            }
            FleetFault::Slow { delay, jitter } => {
                both(Action::Slow(delay, jitter), Action::Slow(0, 0));
            }
            FleetFault::Loss { share } => both(Action::Loss(share), Action::Loss(0.0)),
            FleetFault::DuplicateIdentity { member } => {
                both(
                    Action::DuplicateIdentity(scenario.members + duplicates, member),
                    Action::Kill(scenario.members + duplicates),
                );
                duplicates += 1;
            }
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    (actions, duplicates)
}

impl Cluster<'_> {
    fn data(&self, slot: usize) -> PathBuf {
        self.folder.join(format!("data-{slot}"))
    }

    fn settings(&self, slot: usize) -> String {
        let s = &self.slots[slot];
        let ms = |ns: u64| ns as f64 / 1e6;
        let seeds: String = (0..self.scenario.seeds)
            .map(|n| format!("    seed \"{}\"\n", self.slots[n].advertise))
            .collect();
        let via: String = self
            .relays
            .iter()
            .filter(|((from, _), _)| *from == slot)
            .map(|((_, to), r)| {
                format!(
                    "    via \"{}\" to=\"{}\"\n",
                    self.slots[*to].advertise,
                    r.address()
                )
            })
            .collect();
        format!(
            "front-end {:?} drain=\"0s\"\nclass \"view\" effect=\"safe\"\nworkers {{ worker \"127.0.0.1:1\"; }}\nfleet {CLUSTER:?} {{\n    \
             listen \"127.0.0.1:0\"\n    advertise \"{}\"\n    zone \"zone-{}\"\n    data {:?}\n    \
             probe-period \"{}ms\"\n    probe-wait \"{}ms\"\n{seeds}{via}}}\n",
            s.name,
            s.advertise,
            s.zone,
            self.data(slot).display().to_string(),
            ms(self.scenario.probe_period),
            ms(self.scenario.probe_wait),
        )
    }

    fn start(&mut self, slot: usize, disk: Disk) -> std::io::Result<()> {
        let file = self.folder.join(format!("front-{slot}.kdl"));
        std::fs::write(&file, self.settings(slot))?;
        let arguments = [
            "serve".to_string(),
            "--config".into(),
            file.display().to_string(),
        ];
        let log = self.folder.join(format!("front-{slot}.log"));
        let run = self.history.runs.len();
        let name = self.slots[slot].name.clone();
        let record = std::fs::read_to_string(self.data(slot).join("generation")).ok();
        let expected_generation = record
            .and_then(|text| GenerationRecord::decode(&text).ok())
            .map_or(0, |r| r.generation)
            + 1;
        self.history.runs.push(Run {
            name,
            started: wall_ns(),
            ended: None,
            disk,
            expected_generation,
            paused: Vec::new(),
        });
        self.spoken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .runs[slot] = Some(run);
        let process = Process::start_gateway(self.binary, &arguments, &log)?;
        let s = &mut self.slots[slot];
        (s.process, s.run, s.relayed, s.paused) = (Some(process), Some(run), false, None);
        Ok(())
    }

    async fn kill(&mut self, slot: usize) {
        self.pause(slot, false);
        let Some(process) = self.slots[slot].process.take() else {
            return;
        };
        process.kill().await;
        if let Some(run) = self.slots[slot].run.take() {
            self.history.runs[run].ended = Some(wall_ns());
        }
        for ((_, to), relay) in &self.relays {
            if *to == slot {
                relay.forward_to(None);
            }
        }
    }

    fn pause(&mut self, slot: usize, paused: bool) {
        let s = &mut self.slots[slot];
        let Some(id) = s.process.as_ref().and_then(Process::id) else {
            return;
        };
        if paused == s.paused.is_some() {
            return;
        }
        let signal = if paused {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        if let Ok(id) = i32::try_from(id) {
            let _ = kill(Pid::from_raw(id), signal);
        }
        match (paused, s.paused.take(), s.run) {
            (true, _, _) => s.paused = Some(wall_ns()),
            (false, Some(since), Some(run)) => {
                self.history.runs[run].paused.push((since, wall_ns()));
            }
            _ => {}
        }
    }

    /// Puts an older copy of a disk in place, or none.
    fn spoil(&self, slot: usize, disk: Disk) -> std::io::Result<()> {
        let path = self.data(slot).join("generation");
        match disk {
            Disk::Current => Ok(()),
            Disk::Empty => std::fs::remove_dir_all(self.data(slot)),
            Disk::Stale => {
                let text = std::fs::read_to_string(&path)?;
                let record = GenerationRecord::decode(&text).map_err(std::io::Error::other)?;
                let generation = record.generation.saturating_sub(1);
                std::fs::write(
                    &path,
                    GenerationRecord {
                        generation,
                        ..record
                    }
                    .encode(),
                )
            }
        }
    }

    /// Changes what is done on each link.
    fn links(&mut self, change: impl Fn(usize, usize, &mut LinkConditions)) {
        for ((from, to), relay) in &self.relays {
            relay.change(|way| change(*from, *to, way));
        }
    }

    async fn apply(&mut self, action: Action) -> std::io::Result<()> {
        info!(act = action.to_string(), "drill");
        self.faults.push((wall_ns(), action.to_string()));
        match action {
            Action::Kill(slot) => self.kill(slot).await,
            Action::Start(slot, disk) => {
                if self.slots[slot].process.is_none() {
                    self.spoil(slot, disk)?;
                    self.start(slot, disk)?;
                }
            }
            Action::Pause(slot, paused) => self.pause(slot, paused),
            Action::Cut(a, b, cut) => self.links(|f, t, w| {
                if (f, t) == (a, b) {
                    w.cut = cut;
                }
            }),
            Action::Hold(a, b, held) => self.links(|f, t, w| {
                if (f, t) == (a, b) {
                    w.paused = held;
                }
            }),
            Action::Split(zone, cut) => {
                let zones: Vec<usize> = self.slots.iter().map(|s| s.zone).collect();
                self.links(|f, t, w| {
                    if (zones[f] == zone) != (zones[t] == zone) {
                        w.cut = cut;
                    }
                });
            }
            Action::Slow(delay, jitter) => self.links(|_, _, w| {
                (w.delay, w.jitter) = (Duration::from_nanos(delay), Duration::from_nanos(jitter));
            }),
            Action::Loss(share) => self.links(|_, _, w| {
                (w.loss, w.duplication) = (share, share / 2.0);
            }),
            Action::DuplicateIdentity(slot, of) => {
                let (from, to) = (self.data(of).join("generation"), self.data(slot));
                std::fs::create_dir_all(&to)?;
                // The copy of a folder whose process is under way: both count on from the same number.
                let text = std::fs::read_to_string(from).unwrap_or_default();
                if let Ok(record) = GenerationRecord::decode(&text) {
                    let generation = record.generation.saturating_sub(1);
                    std::fs::write(
                        to.join("generation"),
                        GenerationRecord {
                            generation,
                            ..record
                        }
                        .encode(),
                    )?;
                }
                self.slots[slot].name = self.slots[of].name.clone();
                self.start(slot, Disk::Stale)?;
            }
        }
        Ok(())
    }

    /// Reads what running members claim.
    fn sample(&mut self) {
        for slot in 0..self.slots.len() {
            let data = self.data(slot);
            let s = &mut self.slots[slot];
            let (Some(process), Some(run), None) = (&s.process, s.run, s.paused) else {
                continue;
            };
            let Ok(bytes) = DataFolder::read_report(&data) else {
                continue;
            };
            let Ok(report) = serde_json::from_slice::<Report>(&bytes) else {
                continue;
            };
            if process.id() != Some(report.process) {
                continue;
            }
            if !s.relayed {
                s.relayed = true;
                let to = report.listen.parse().ok();
                let relayed = self.relays.iter().filter(|((_, t), _)| *t == slot);
                relayed.for_each(|(_, relay)| relay.forward_to(to));
            }
            let at = report.at_ms * 1_000_000;
            if self
                .history
                .claims
                .iter()
                .rfind(|c| c.run == run)
                .is_some_and(|c| c.at >= at)
            {
                continue;
            }
            self.history.claims.push(Claim {
                at,
                run,
                joined: report.me.state == "joined",
                generation: report.me.generation,
                disk: report.me.disk,
                others: report
                    .members
                    .into_iter()
                    .map(|m| (m.name, m.state == "down"))
                    .collect(),
            });
        }
    }
}

/// Times at which links were spoilt, from the acts.
fn disturbances(actions: &[(u64, Action)], begin: u64, duration: u64) -> Vec<(u64, u64)> {
    let spoils = |action: &Action| match action {
        Action::Cut(_, _, on) | Action::Hold(_, _, on) | Action::Split(_, on) => *on,
        Action::Slow(delay, jitter) => delay + jitter > 0,
        Action::Loss(share) => *share > 0.0,
        _ => false,
    };
    // From each spoiling to the last mending after it: links overlap, and one interval too wide only judges less.
    let mut disturbances: Vec<(u64, u64)> = Vec::new();
    for (at, action) in actions.iter().filter(|(_, a)| spoils(a)) {
        let same = |b: &Action| match (action, b) {
            (Action::Cut(a, b, _), Action::Cut(c, d, on))
            | (Action::Hold(a, b, _), Action::Hold(c, d, on)) => (a, b) == (c, d) && !on,
            (Action::Split(a, _), Action::Split(b, on)) => a == b && !on,
            (Action::Slow(..), Action::Slow(d, j)) => d + j == 0,
            (Action::Loss(_), Action::Loss(s)) => *s == 0.0,
            _ => false,
        };
        let end = actions
            .iter()
            .rfind(|(t, b)| t >= at && same(b))
            .map_or(duration, |(t, _)| *t);
        disturbances.push((begin + at, begin + end));
    }
    disturbances
}

/// Runs a day from a seed.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub async fn run(
    scenario: &FleetScenario,
    seed: u64,
    binary: &Path,
    folder: &Path,
) -> Result<Outcome, Box<dyn std::error::Error + Send + Sync>> {
    std::fs::create_dir_all(folder)?;
    let (actions, duplicates) = actions(scenario, seed);
    let size = scenario.members + duplicates;
    let slot = |n: usize| Slot {
        name: format!("front-{n}"),
        zone: n % scenario.zones,
        // In the loopback range, and nobody's: only relays stand for it.
        advertise: SocketAddr::from(([127, 0, 100, n as u8 + 1], 7100)),
        process: None,
        run: None,
        paused: None,
        relayed: false,
    };
    let spoken = Arc::new(Mutex::new(Spoken {
        runs: vec![None; size],
        ..Spoken::default()
    }));
    let mut relays = BTreeMap::new();
    for (from, to) in (0..size)
        .flat_map(|a| (0..size).map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        let spoken = spoken.clone();
        let seen = move |bytes: &[u8]| {
            let Some(me) = sender_identity(bytes, CLUSTER) else {
                return;
            };
            let mut spoken = spoken.lock().unwrap_or_else(PoisonError::into_inner);
            // What still lay in a buffer belongs to the run that drew this number.
            let Some(run) = spoken.boots.get(&me.boot_id).copied().or(spoken.runs[from]) else {
                return;
            };
            spoken.boots.insert(me.boot_id, run);
            spoken
                .spoken
                .entry((run, me.generation))
                .or_insert_with(wall_ns);
        };
        let seed = seed.wrapping_mul(1_000_003) ^ ((from as u64) << 16) ^ to as u64;
        relays.insert((from, to), Relay::start(seed, seen).await?);
    }
    let mut cluster = Cluster {
        scenario,
        binary,
        folder: folder.to_path_buf(),
        slots: (0..size).map(slot).collect(),
        relays,
        spoken,
        history: History::default(),
        faults: Vec::new(),
    };
    for n in 0..scenario.members {
        cluster.start(n, Disk::Current)?;
    }
    let clock = Clock::default();
    let waited = tokio::time::Instant::now();
    while cluster.slots[..scenario.members].iter().any(|s| !s.relayed) {
        if waited.elapsed() > START_TIMEOUT {
            return Err("not all members told where they listen".into());
        }
        tokio::time::sleep(SAMPLE / 4).await;
        cluster.sample();
    }
    // The fleet has its time to come together before anything goes wrong.
    let (begin, first) = (wall_ns(), clock.now());
    let offset = scenario.bounds.convergence / 2;
    let mut left = actions
        .iter()
        .map(|(at, action)| (first + offset + at, action.clone()))
        .collect::<Vec<_>>()
        .into_iter()
        .peekable();
    cluster.history.disturbances = disturbances(&actions, begin + offset, scenario.duration);
    let mended = first + offset + scenario.duration;
    loop {
        let due = left.peek().map_or(mended, |(at, _)| (*at).min(mended));
        tokio::select! {
            () = clock.sleep_until(Some(due)) => {}
            () = tokio::time::sleep(SAMPLE) => {}
        }
        while let Some((_, action)) = left.next_if(|(at, _)| *at <= clock.now()) {
            cluster.apply(action).await?;
        }
        cluster.sample();
        if clock.now() >= mended {
            break;
        }
    }
    cluster.links(|_, _, way| *way = LinkConditions::default());
    for n in 0..size {
        cluster.pause(n, false);
        if n >= scenario.members {
            cluster.kill(n).await;
        } else if cluster.slots[n].process.is_none() {
            cluster.start(n, Disk::Current)?;
        }
    }
    let end = clock.now() + scenario.bounds.convergence;
    while clock.now() < end {
        tokio::time::sleep(SAMPLE).await;
        cluster.sample();
    }
    cluster.history.end = wall_ns();
    let claimed = |cluster: &Cluster<'_>| {
        let end = cluster.history.end;
        (0..scenario.members).all(|n| {
            cluster
                .history
                .claims
                .iter()
                .any(|c| Some(c.run) == cluster.slots[n].run && c.at >= end)
        })
    };
    let waited = tokio::time::Instant::now();
    while !claimed(&cluster) && waited.elapsed() < START_TIMEOUT {
        tokio::time::sleep(SAMPLE).await;
        cluster.sample();
    }
    for n in 0..size {
        // Not an end within the day: what runs to its end has none.
        if let Some(process) = cluster.slots[n].process.take() {
            process.kill().await;
        }
    }
    let spoken = std::mem::take(
        &mut cluster
            .spoken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .spoken,
    );
    cluster.history.generations_used = spoken
        .into_iter()
        .map(|((run, g), at)| (run, g, at))
        .collect();
    let breaches = check(&cluster.history, scenario.bounds);
    let faults = cluster
        .faults
        .iter()
        .map(|(at, description)| InjectedFault {
            at_s: at.saturating_sub(begin) as f64 / 1e9,
            description: description.clone(),
        });
    Ok(Outcome {
        breaches,
        faults: faults.collect(),
        history: cluster.history,
        folder: cluster.folder,
    })
}
