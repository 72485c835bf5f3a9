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

use super::day::{FleetDay, FleetTrouble};
use crate::process::Process;

const CLUSTER: &str = "drill";
const SAMPLE: Duration = Duration::from_millis(200);
/// A process that has not told where it listens by then did not start.
const START_MOST: Duration = Duration::from_secs(20);

/// What came of a day.
#[derive(Debug)]
pub struct Judged {
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// All that was seen.
    pub history: History,
    /// What went wrong when, in seconds from the start.
    pub faults: Vec<(f64, String)>,
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
    led: bool,
}

#[derive(Clone, Debug)]
enum Act {
    Kill(usize),
    Start(usize, Disk),
    Pause(usize, bool),
    Cut(usize, usize, bool),
    Hold(usize, usize, bool),
    Split(usize, bool),
    Slow(u64, u64),
    Loss(f64),
    Twin(usize, usize),
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

struct Stage<'a> {
    day: &'a FleetDay,
    binary: &'a Path,
    folder: PathBuf,
    slots: Vec<Slot>,
    relays: BTreeMap<(usize, usize), Relay>,
    spoken: Arc<Mutex<Spoken>>,
    history: History,
    faults: Vec<(u64, String)>,
}

/// The acts of a day by time, and how many twins it has.
fn acts(day: &FleetDay, seed: u64) -> (Vec<(u64, Act)>, usize) {
    let (mut acts, mut twins) = (Vec::new(), 0);
    for step in day.steps(seed) {
        let (at, end) = (step.at, step.at + step.length);
        let mut both = |from: Act, to: Act| acts.extend([(at, from), (end, to)]);
        match step.trouble {
            FleetTrouble::Kill { member, disk } => {
                both(Act::Kill(member), Act::Start(member, disk));
            }
            FleetTrouble::Pause { member } => {
                both(Act::Pause(member, true), Act::Pause(member, false));
            }
            FleetTrouble::Cut {
                from,
                to,
                both: ways,
            } => {
                both(Act::Cut(from, to, true), Act::Cut(from, to, false));
                if ways {
                    both(Act::Cut(to, from, true), Act::Cut(to, from, false));
                }
            }
            FleetTrouble::Flap { from, to, every } => {
                let (mut t, mut cut) = (at, true);
                while t < end {
                    acts.extend([(t, Act::Cut(from, to, cut)), (t, Act::Cut(to, from, cut))]);
                    (t, cut) = (t + every, !cut);
                }
                acts.extend([
                    (end, Act::Cut(from, to, false)),
                    (end, Act::Cut(to, from, false)),
                ]);
            }
            FleetTrouble::Hold { from, to } => {
                both(Act::Hold(from, to, true), Act::Hold(from, to, false));
            }
            FleetTrouble::Split { zone } => both(Act::Split(zone, true), Act::Split(zone, false)),
            FleetTrouble::Slow { delay, jitter } => both(Act::Slow(delay, jitter), Act::Slow(0, 0)),
            FleetTrouble::Loss { share } => both(Act::Loss(share), Act::Loss(0.0)),
            FleetTrouble::Twin { member } => {
                both(
                    Act::Twin(day.members + twins, member),
                    Act::Kill(day.members + twins),
                );
                twins += 1;
            }
        }
    }
    acts.sort_by_key(|(at, _)| *at);
    (acts, twins)
}

impl Stage<'_> {
    fn data(&self, slot: usize) -> PathBuf {
        self.folder.join(format!("data-{slot}"))
    }

    fn settings(&self, slot: usize) -> String {
        let s = &self.slots[slot];
        let ms = |ns: u64| ns as f64 / 1e6;
        let seeds: String = (0..self.day.seeds)
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
            ms(self.day.probe_period),
            ms(self.day.probe_wait),
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
        let number = record
            .and_then(|text| GenerationRecord::decode(&text).ok())
            .map_or(0, |r| r.generation)
            + 1;
        self.history.runs.push(Run {
            name,
            started: wall_ns(),
            ended: None,
            disk,
            number,
            paused: Vec::new(),
        });
        self.spoken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .runs[slot] = Some(run);
        let process = Process::gateway(self.binary, &arguments, &log)?;
        let s = &mut self.slots[slot];
        (s.process, s.run, s.led, s.paused) = (Some(process), Some(run), false, None);
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
            Disk::Kept => Ok(()),
            Disk::Empty => std::fs::remove_dir_all(self.data(slot)),
            Disk::Old => {
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

    async fn act(&mut self, act: Act) -> std::io::Result<()> {
        info!(act = format!("{act:?}"), "drill");
        self.faults.push((wall_ns(), format!("{act:?}")));
        match act {
            Act::Kill(slot) => self.kill(slot).await,
            Act::Start(slot, disk) => {
                if self.slots[slot].process.is_none() {
                    self.spoil(slot, disk)?;
                    self.start(slot, disk)?;
                }
            }
            Act::Pause(slot, paused) => self.pause(slot, paused),
            Act::Cut(a, b, cut) => self.links(|f, t, w| {
                if (f, t) == (a, b) {
                    w.cut = cut;
                }
            }),
            Act::Hold(a, b, held) => self.links(|f, t, w| {
                if (f, t) == (a, b) {
                    w.paused = held;
                }
            }),
            Act::Split(zone, cut) => {
                let zones: Vec<usize> = self.slots.iter().map(|s| s.zone).collect();
                self.links(|f, t, w| {
                    if (zones[f] == zone) != (zones[t] == zone) {
                        w.cut = cut;
                    }
                });
            }
            Act::Slow(delay, jitter) => self.links(|_, _, w| {
                (w.delay, w.jitter) = (Duration::from_nanos(delay), Duration::from_nanos(jitter));
            }),
            Act::Loss(share) => {
                self.links(|_, _, w| (w.loss, w.duplication) = (share, share / 2.0))
            }
            Act::Twin(slot, of) => {
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
                self.start(slot, Disk::Old)?;
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
            if !s.led {
                s.led = true;
                let to = report.listen.parse().ok();
                let led = self.relays.iter().filter(|((_, t), _)| *t == slot);
                led.for_each(|(_, relay)| relay.forward_to(to));
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
fn unrest(acts: &[(u64, Act)], begin: u64, length: u64) -> Vec<(u64, u64)> {
    let spoils = |act: &Act| match act {
        Act::Cut(_, _, on) | Act::Hold(_, _, on) | Act::Split(_, on) => *on,
        Act::Slow(delay, jitter) => delay + jitter > 0,
        Act::Loss(share) => *share > 0.0,
        _ => false,
    };
    // From each spoiling to the last mending after it: links overlap, and one interval too wide only judges less.
    let mut unrest: Vec<(u64, u64)> = Vec::new();
    for (at, act) in acts.iter().filter(|(_, a)| spoils(a)) {
        let same = |b: &Act| match (act, b) {
            (Act::Cut(a, b, _), Act::Cut(c, d, on)) | (Act::Hold(a, b, _), Act::Hold(c, d, on)) => {
                (a, b) == (c, d) && !on
            }
            (Act::Split(a, _), Act::Split(b, on)) => a == b && !on,
            (Act::Slow(..), Act::Slow(d, j)) => d + j == 0,
            (Act::Loss(_), Act::Loss(s)) => *s == 0.0,
            _ => false,
        };
        let end = acts
            .iter()
            .rfind(|(t, b)| t >= at && same(b))
            .map_or(length, |(t, _)| *t);
        unrest.push((begin + at, begin + end));
    }
    unrest
}

/// Runs a day from a seed.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub async fn run(
    day: &FleetDay,
    seed: u64,
    binary: &Path,
    folder: &Path,
) -> Result<Judged, Box<dyn std::error::Error + Send + Sync>> {
    std::fs::create_dir_all(folder)?;
    let (acts, twins) = acts(day, seed);
    let size = day.members + twins;
    let slot = |n: usize| Slot {
        name: format!("front-{n}"),
        zone: n % day.zones,
        // In the loopback range, and nobody's: only relays stand for it.
        advertise: SocketAddr::from(([127, 0, 100, n as u8 + 1], 7100)),
        process: None,
        run: None,
        paused: None,
        led: false,
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
    let mut stage = Stage {
        day,
        binary,
        folder: folder.to_path_buf(),
        slots: (0..size).map(slot).collect(),
        relays,
        spoken,
        history: History::default(),
        faults: Vec::new(),
    };
    for n in 0..day.members {
        stage.start(n, Disk::Kept)?;
    }
    let clock = Clock::default();
    let waited = tokio::time::Instant::now();
    while stage.slots[..day.members].iter().any(|s| !s.led) {
        if waited.elapsed() > START_MOST {
            return Err("not all members told where they listen".into());
        }
        tokio::time::sleep(SAMPLE / 4).await;
        stage.sample();
    }
    // The fleet has its time to come together before anything goes wrong.
    let (begin, first) = (wall_ns(), clock.now());
    let offset = day.bounds.settle / 2;
    let mut left = acts
        .iter()
        .map(|(at, act)| (first + offset + at, act.clone()))
        .collect::<Vec<_>>()
        .into_iter()
        .peekable();
    stage.history.unrest = unrest(&acts, begin + offset, day.length);
    let mended = first + offset + day.length;
    loop {
        let due = left.peek().map_or(mended, |(at, _)| (*at).min(mended));
        tokio::select! {
            () = clock.sleep_until(Some(due)) => {}
            () = tokio::time::sleep(SAMPLE) => {}
        }
        while let Some((_, act)) = left.next_if(|(at, _)| *at <= clock.now()) {
            stage.act(act).await?;
        }
        stage.sample();
        if clock.now() >= mended {
            break;
        }
    }
    stage.links(|_, _, way| *way = LinkConditions::default());
    for n in 0..size {
        stage.pause(n, false);
        if n >= day.members {
            stage.kill(n).await;
        } else if stage.slots[n].process.is_none() {
            stage.start(n, Disk::Kept)?;
        }
    }
    let end = clock.now() + day.bounds.settle;
    while clock.now() < end {
        tokio::time::sleep(SAMPLE).await;
        stage.sample();
    }
    stage.history.end = wall_ns();
    let claimed = |stage: &Stage<'_>| {
        let end = stage.history.end;
        (0..day.members).all(|n| {
            stage
                .history
                .claims
                .iter()
                .any(|c| Some(c.run) == stage.slots[n].run && c.at >= end)
        })
    };
    let waited = tokio::time::Instant::now();
    while !claimed(&stage) && waited.elapsed() < START_MOST {
        tokio::time::sleep(SAMPLE).await;
        stage.sample();
    }
    for n in 0..size {
        // Not an end within the day: what runs to its end has none.
        if let Some(process) = stage.slots[n].process.take() {
            process.kill().await;
        }
    }
    let spoken = std::mem::take(
        &mut stage
            .spoken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .spoken,
    );
    stage.history.spoken = spoken
        .into_iter()
        .map(|((run, g), at)| (run, g, at))
        .collect();
    let breaches = check(&stage.history, day.bounds);
    let faults = stage
        .faults
        .iter()
        .map(|(at, what)| (at.saturating_sub(begin) as f64 / 1e9, what.clone()));
    Ok(Judged {
        breaches,
        faults: faults.collect(),
        history: stage.history,
        folder: stage.folder,
    })
}
