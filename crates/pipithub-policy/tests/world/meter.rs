//! Plays a day into one front end and notes what each event cost it.

use std::time::Instant;

use pipithub_policy::api::{Action, Event, Settings, Time};
use pipithub_policy::{FrontEnd, work};

use super::{Day, MS, World};

/// From this on tokens name the housekeeping timer, not a call.
const CHORES_TOKEN: u64 = 1 << 62;

/// The module, or its plain reference.
pub(crate) trait Front {
    /// One that knows its settings alone.
    fn start(settings: Settings, seed: u64) -> Self;
    /// Hands over an event.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Front for FrontEnd {
    fn start(settings: Settings, seed: u64) -> Self {
        FrontEnd::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        FrontEnd::handle(self, now, event, actions);
    }
}

/// What one thing cost: nanoseconds, and workers looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Spent {
    /// Nanoseconds.
    pub time: f64,
    /// Workers looked at.
    pub looked: f64,
}

impl std::ops::AddAssign for Spent {
    fn add_assign(&mut self, other: Spent) {
        self.time += other.time;
        self.looked += other.looked;
    }
}

/// One front end in its world.
pub(crate) struct Play<F> {
    /// The world.
    pub world: World,
    front: F,
    actions: Vec<Action>,
    /// What each call cost: its arrival and all that came of calls until the next one, but no housekeeping.
    pub calls: Vec<Spent>,
    /// What each housekeeping timer cost.
    pub ticks: Vec<Spent>,
    /// What each list within the day cost, and the workers that it named.
    pub lists: Vec<(Spent, usize)>,
    /// What the first list cost, which named all.
    pub first: Spent,
}

impl<F: Front> Play<F> {
    /// A day of which the first list is told.
    pub(crate) fn new(day: Day) -> Self {
        let front = F::start(day.settings.clone(), day.seed);
        let world = World::new(day);
        let mut play = Play {
            world,
            front,
            actions: Vec::new(),
            calls: Vec::new(),
            ticks: Vec::new(),
            lists: Vec::new(),
            first: Spent::default(),
        };
        let all = play.world.complete();
        play.first = play.give(play.world.now(), all);
        play
    }

    /// Hands over an event; the world answers what is done about it.
    pub(crate) fn give(&mut self, at: Time, event: Event) -> Spent {
        self.actions.clear();
        work::taken();
        let began = Instant::now();
        self.front.handle(at, event, &mut self.actions);
        let time = began.elapsed().as_nanos() as f64;
        let spent = Spent {
            time,
            looked: work::taken() as f64,
        };
        self.world.answer(&self.actions);
        spent
    }

    /// The day's next event; false once it is over.
    pub(crate) fn step(&mut self) -> bool {
        let Some((at, event)) = self.world.step() else {
            return false;
        };
        let arrives = matches!(event, Event::Arrived(_));
        let chores = matches!(event, Event::Timer { token } if token >= CHORES_TOKEN);
        let list = if let Event::Endpoints {
            endpoints: entries, ..
        } = &event
        {
            Some(entries.len())
        } else {
            None
        };
        let spent = self.give(at, event);
        if let Some(named) = list {
            self.lists.push((spent, named));
        } else if chores {
            self.ticks.push(spent);
        } else if arrives {
            self.calls.push(spent);
        } else if let Some(last) = self.calls.last_mut() {
            *last += spent;
        }
        true
    }

    /// The means of the calls, so many at a time: an answer falls to the call that came last, so single calls
    /// say little. The first fifth is left out: there nothing is known yet.
    pub(crate) fn windows(&self, length: usize) -> Vec<Spent> {
        let mean = |calls: &[Spent]| {
            let mut sum = Spent::default();
            calls.iter().for_each(|c| sum += *c);
            Spent {
                time: sum.time / calls.len() as f64,
                looked: sum.looked / calls.len() as f64,
            }
        };
        self.calls[self.calls.len() / 5..]
            .chunks_exact(length.max(1))
            .map(mean)
            .collect()
    }

    /// So many housekeeping timers after the last call has ended.
    pub(crate) fn idle_ticks(&mut self, count: usize) -> Vec<Spent> {
        self.world.stop_calls(60_000 * MS);
        while !self.world.idle() && self.step() {}
        let before = self.ticks.len();
        while self.ticks.len() < before + count && self.step() {}
        self.ticks[before..].to_vec()
    }
}

/// The value in the middle; 0 of none.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
