//! Load reports of workers and polls for them.

use crate::api::{Action, LoadReport, Time, WorkerId};
use crate::front_end::{FrontEnd, MS};
use crate::state::{Node, Told};

/// Among more front ends than this, own sends tell too little of the queues.
const OWN_VIEW: u32 = 8;
/// Word of a worker's load, or an answer from it, is fresh for so long.
pub(crate) const FRESH: Time = 700 * MS;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
const HELD_GAIN: f64 = 0.5;
/// At a worker that tells of more calls than the average, this power of the average over its own is the share
/// of front ends that still begin there; the rest begin at one of so many next in the order. What it tells
/// sinks in by this weight and fades by half in this time: a crowd of functions lasts.
pub(crate) const HELD_AGE: Time = 20_000 * MS;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const ASK_TOKEN: u64 = 1 << 61;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const ASK_WAIT: Time = 30 * MS;
/// Marks the timers of calls that wait for a probe; how long they wait; how often for each call.
pub(crate) const ASKS_MOST: u32 = 3;
/// What asking first saves of a call's worth, as a multiple of the chance that one worker fails it and the
/// next does not.
const ASK_SAVES: f64 = 0.2;

impl FrontEnd {
    /// Notes what a worker tells of its load, the worst where it keeps silent; calls that waited to hear it
    /// are placed.
    pub(crate) fn told(
        &mut self,
        worker: &WorkerId,
        load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(mut node) = self.nodes.get_mut(worker) {
            let usual = match load.and_then(|l| l.in_flight).filter(|h| h.is_finite()) {
                Some(held) if node.told.at > 0 => {
                    let age = self.now.saturating_sub(node.told.at) as f64;
                    let before = node.told.usual * 0.5f64.powf(age / HELD_AGE as f64);
                    before + HELD_GAIN * (held - before)
                }
                held => held.unwrap_or(node.told.usual),
            };
            let load = load.unwrap_or(LoadReport {
                in_flight: Some(f64::INFINITY),
                ..LoadReport::default()
            });
            let (held, busy) = (
                load.in_flight.unwrap_or(0.0),
                load.cpu_utilization.unwrap_or(0.0),
            );
            node.told = Told {
                at: self.now,
                held,
                busy,
                usual,
            };
        }
        for id in self.asking.remove(worker).unwrap_or_default() {
            self.open.entry(id).and_modify(|o| o.asks = None);
            self.place(id, actions);
        }
    }

    /// Whether this front end's own sends are too small a part of the queues to tell of them.
    pub(crate) fn blind(&self) -> bool {
        self.s.front_ends > OWN_VIEW
    }

    /// Whether asking first pays. Trying a worker tells the same, and a call turned away proves that nothing
    /// ran; so only a part of what own sends lose can be saved, the less the more is lost at the next worker
    /// too. In a large tier each call met a worker that was not heard of lately, so that all asked for every
    /// call, whatever it cost. Harm: where asking is dear a silent worker is found by calls alone.
    pub(crate) fn asking_pays(&self) -> bool {
        self.s.limits.load_polls
            && self.lost * (1.0 - self.lost) * ASK_SAVES >= self.s.costs.load_poll
    }

    /// How far fresh word of a worker's load stretches a run there; an own answer since tells more.
    pub(crate) fn told_stretch(&self, node: &Node) -> f64 {
        let Told { at, held, .. } = node.told;
        if self.now > at + FRESH || node.heard >= at || !self.blind() {
            return 1.0;
        }
        let at_once = (self.held_seen.0 / self.held_seen.1.max(0.1)).max(1.0);
        (held + 1.0) / at_once
    }
}
