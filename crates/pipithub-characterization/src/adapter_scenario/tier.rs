//! The workers of a scenario and how each of them answers.

use std::collections::BTreeMap;

use super::settings::{MACHINE_KINDS, Settings, ZONES};
use super::{MILLISECOND, SECOND};
use crate::random::Random;

/// Requests that a worker holds before it turns others away.
const CAPACITY: u32 = 12;
/// Functions of which a worker holds copies at a time.
const MAX_COPIES: usize = 6;

/// The state that discovery tells of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listed {
    Live,
    Draining,
    Gone,
}

/// What a worker does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Sound,
    Slow,
    Failing,
    Full,
    /// Connections to it fail at once.
    Crashed,
    /// Nothing ever comes back.
    Silent,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) address: String,
    pub(super) zone: &'static str,
    pub(super) listed: Listed,
    pub(super) condition: Condition,
    pub(super) started: Option<u64>,
    /// Functions that it holds, with the time at which the copy is loaded.
    pub(super) copies: BTreeMap<u64, u64>,
    pub(super) held: u32,
    cell: u64,
    kind: &'static str,
    share: &'static str,
}

/// How an attempt ends.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) status: &'static str,
    pub(super) after: u64,
    pub(super) detail: u32,
}

impl Ending {
    fn new(status: &'static str, after: u64, detail: u32) -> Self {
        Ending { status, after, detail }
    }
}

impl Worker {
    pub(super) fn draw(random: &mut Random, number: u64) -> Self {
        Worker {
            address: format!(
                "10.{}.{}.{}:{}",
                number / 65_536,
                number / 256 % 256,
                number % 256,
                9_000 + number
            ),
            zone: random.pick(&ZONES),
            listed: Listed::Live,
            condition: random.pick(&[
                Condition::Sound,
                Condition::Sound,
                Condition::Sound,
                Condition::Sound,
                Condition::Sound,
                Condition::Sound,
                Condition::Slow,
                Condition::Failing,
            ]),
            started: None,
            copies: BTreeMap::new(),
            held: 0,
            cell: random.between(0, 3),
            kind: random.pick(&MACHINE_KINDS),
            share: random.pick(&["1", "1.5", "4"]),
        }
    }

    /// Its line in a list.
    pub(super) fn entry(&self) -> String {
        let state = match self.listed {
            Listed::Live => "live",
            Listed::Draining => "quiescing",
            Listed::Gone => "dead",
        };
        let started = self.started.map_or_else(|| "-".to_string(), |time| time.to_string());
        format!(
            "entry {} {} {state} {} {} {} {started}",
            self.share, self.address, self.zone, self.cell, self.kind
        )
    }

    /// A load report.
    pub(super) fn report(&self, random: &mut Random) -> String {
        let busy = random.between(0, 100).min(u64::from(self.held) * 12 + random.between(0, 20));
        format!(
            "rif:{},busy:0.{busy:02},x0:0.{:02},x1:{}",
            self.held,
            self.copies.len() * 9,
            random.between(0, 2)
        )
    }

    /// Makes the worker hold a function; when its copy will stand loaded.
    pub(super) fn load(&mut self, random: &mut Random, now: u64, function: u64) -> u64 {
        if let Some(ready) = self.copies.get(&function) {
            return *ready;
        }
        if self.copies.len() >= MAX_COPIES {
            let evicted = random.pick(&self.copies.keys().copied().collect::<Vec<_>>());
            self.copies.remove(&evicted);
        }
        let ready = now + random.between(50, 900) * MILLISECOND;
        self.copies.insert(function, ready);
        ready
    }

    /// How an attempt at a function ends here, but for time-outs.
    pub(super) fn attempt(
        &mut self,
        random: &mut Random,
        settings: &Settings,
        now: u64,
        function: u64,
        loads_fail: bool,
    ) -> Ending {
        let trip = random.between(1, 4) * MILLISECOND;
        match self.condition {
            Condition::Crashed => return Ending::new("C", trip, 0),
            Condition::Silent if random.per_mille(500) => {
                return Ending::new("C", settings.connect_timeout, 0);
            }
            Condition::Silent => return Ending::new("T", 3_600 * SECOND, 0),
            Condition::Failing if random.per_mille(700) => return Ending::new("E", trip, 0),
            Condition::Sound | Condition::Slow | Condition::Failing | Condition::Full => {}
        }
        let alike =
            if settings.counts_alike { 8 * random.between(0, 2).min(u64::from(self.held)) as u32 } else { 0 };
        let full = self.condition == Condition::Full && random.per_mille(800);
        if full || self.held >= CAPACITY || self.listed != Listed::Live {
            return Ending::new("F", trip, alike);
        }
        if random.per_mille(8) {
            return Ending::new("R", trip * 3, 0);
        }
        let loaded = self.copies.get(&function).copied();
        if loaded.is_none() && !settings.requests_load {
            return Ending::new("M", trip, 0);
        }
        let awaits_load = loaded.is_none_or(|ready| ready > now);
        if awaits_load && loads_fail {
            self.copies.remove(&function);
            let status = if settings.requests_load { "E" } else { "M" };
            return Ending::new(status, trip * 10, 4);
        }
        let ready = self.load(random, now, function);
        let note = match loaded {
            Some(ready) if ready <= now => 1,
            Some(_) => 3,
            None => 2,
        };
        let stretch = if self.condition == Condition::Slow { 8 } else { 1 };
        let run = random.between(5, 60) * MILLISECOND * stretch * u64::from(2 + self.held / 4) / 2;
        let detail = alike + if settings.marks_cold { note } else { 0 };
        Ending::new("S", trip + ready.saturating_sub(now) + run, detail)
    }
}
