//! The end of an attempt and what is learnt from it.

use crate::api::{AttemptFinished, Outcome, ReplicaStatus, Time};
use crate::estimates::{PACE_GAIN, RUN_GAIN, SAMPLE_CAP};
use crate::front_end::{FrontEnd, LONGEST};
use crate::load_reports::FRESH;
use crate::outlier::STRIKES;
use crate::state::{Health, Told};

/// Weight of a new sample in the number of homes that a function needs in a large tier.
const SPREAD_GAIN: f64 = 0.3;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const ROOM_CUT: f64 = 0.7;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const ROOM_RISE: f64 = 0.1;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
const DOUBT: f64 = 0.2;

impl FrontEnd {
    /// Takes an ended attempt out of the worker's queue and learns from it; tells when it was sent and where.
    #[expect(
        clippy::cognitive_complexity,
        clippy::too_many_lines,
        reason = "not split yet; see the roadmap"
    )]
    pub(crate) fn attempt_over(&mut self, end: &AttemptFinished) -> Option<(Time, String, u64)> {
        let (now, blind) = (self.now, self.blind());
        let failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.store_heard(failed);
        }
        let mut node = self.nodes.get_mut(&end.worker)?;
        let at = node
            .out
            .iter()
            .position(|s| s.request == end.request && s.attempt == end.attempt)?;
        // Withdrawn work may go on unseen: the replay holds it until its foreseen end.
        let sent = if end.outcome == Outcome::Cancelled && node.out[at].due > now {
            node.out[at].withdrawn = true;
            node.out[at].clone()
        } else {
            node.out.remove(at)
        };
        let ran = Some((sent.at, node.entry.zone.clone(), node.entry.cell));
        if !end.outcome.never_ran() {
            let late = if now > sent.aim {
                1.0 - self.s.classes[sent.class].late_answer_weight
            } else {
                0.0
            };
            let lost = if end.outcome == Outcome::Served {
                late
            } else {
                1.0
            };
            self.lost += RUN_GAIN * (lost - self.lost);
        }
        // A try of a zone that brought no word is as good as overdue.
        let silent = matches!(
            end.outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        let tried = |z: &&mut Health| silent && sent.at >= z.shut_until;
        if let Some(zone) = self.zones.get_mut(&node.entry.zone).filter(tried) {
            zone.shut(now);
        }
        // The function's calls that stood there, at each of its homes alike, over the lanes of a copy: so
        // many homes does it need. A worker adds copies by itself too, but no cores to run them.
        let alike = end
            .function_concurrency
            .filter(|_| self.s.loading.reports_concurrency)
            .map(|a| a.min(1_000));
        let told = alike.map(|a| (a, (f64::from(a) + 1.0 - sent.same).max(0.0)));
        let program = self.programs.get_mut(&sent.function).filter(|_| blind);
        if let Some(((_, others), program)) = told.zip(program) {
            let homes = program.homes.max(1.0);
            let wanted = others * homes / f64::from(program.lanes.max(1));
            program.homes = homes + SPREAD_GAIN * (wanted.clamp(1.0, 64.0) - homes);
        }
        // An attempt of an earlier process tells nothing of the present one.
        let same_process = node.entry.started_at.is_none_or(|t| t <= sent.at);
        let took = end.elapsed.min(LONGEST) as f64;
        let ratio = (took / sent.run.max(1.0)).clamp(0.1, SAMPLE_CAP);
        match end.outcome {
            Outcome::Served if same_process => {
                let health = &mut node.health[sent.class];
                health.bad = health.bad.saturating_sub(1);
                health.errors -= PACE_GAIN * health.errors;
                (node.heard, node.strikes) = (now, 0);
                node.room += ROOM_RISE;
                node.served.push_back((now, sent.class));
                let copies = node.copies_of(sent.function);
                copies.ready = if copies.proven { copies.ready } else { now };
                (copies.count, copies.proven, copies.used) = (copies.count.max(1), true, now);
                if let Some((alike, others)) = told {
                    // What others had there, beside our own; and copies enough for all of them at once.
                    copies.others += PACE_GAIN * (others - copies.others);
                    let lanes = self
                        .programs
                        .get(&sent.function)
                        .map_or(1, |p| p.lanes.max(1));
                    if end.replica_status == Some(ReplicaStatus::Warm) {
                        copies.count = copies.count.max((alike + 1).div_ceil(lanes));
                    }
                }
                let expected = sent.run * node.pace.max(0.1);
                let loaded = match end.replica_status {
                    Some(ReplicaStatus::Warm) => false,
                    Some(_) => true,
                    None => (sent.cold || sent.unproven) && took > expected * SAMPLE_CAP,
                };
                if loaded {
                    drop(node);
                    if end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                        self.learn_load(sent.function, (took - expected).max(0.0));
                    }
                    return ran;
                }
                let Told { at, held, .. } = node.told;
                if held > 2.0 && held.is_finite() && at + FRESH > sent.at {
                    let (mean, ratios) = &mut self.held_seen;
                    *mean += RUN_GAIN * (held - *mean);
                    *ratios += RUN_GAIN * (ratio.max(1.0) - *ratios);
                }
                node.learn_pace(ratio, sent.crowd);
                // Answers from an uncrowded worker, also as told, tell the run itself; the rest is its pace.
                let held = end.load_report.in_flight.unwrap_or(0.0);
                let gain = RUN_GAIN * (2.0 / sent.crowd.max(held / 2.0)).min(1.0).powi(2);
                // Where that is not told, a long answer is rather the queue of the others than a long run.
                let rise = if blind && end.load_report.in_flight.is_none() {
                    DOUBT
                } else {
                    1.0
                };
                let learn = |mean: &mut f64| {
                    let sample = took.min(*mean * SAMPLE_CAP);
                    *mean += gain * (sample - *mean) * if sample > *mean { rise } else { 1.0 };
                };
                learn(self.class_run[sent.class].get_or_insert(took));
                if let Some(program) = self.programs.get_mut(&sent.function) {
                    learn(program.run.get_or_insert(sent.run));
                }
            }
            Outcome::Unreachable | Outcome::ConnectionLost if same_process => {
                // One broken connection is no dead process: where every worker resets a few, acting on it
                // would bring all down by itself.
                node.strikes += 1;
                if node.strikes >= STRIKES {
                    node.health
                        .iter_mut()
                        .filter(|h| now >= h.shut_until)
                        .for_each(|h| h.shut(now));
                }
                if node.strikes > STRIKES {
                    node.copies.clear();
                }
            }
            // Withdrawn, it has taken so long at the least: else only the quick answers would teach.
            Outcome::Cancelled
                if same_process && !sent.cold && !sent.unproven && ratio > node.pace =>
            {
                node.learn_pace(ratio, sent.crowd);
                node.heard = now;
            }
            // What failed to load does not stand: believed, it would draw the next call.
            Outcome::NotLoaded | Outcome::Error
                if same_process && (failed || end.outcome == Outcome::NotLoaded) =>
            {
                node.copies.remove(&sent.function);
            }
            Outcome::Error if same_process => node.erred(now, &sent),
            Outcome::Rejected if same_process => {
                node.room = (sent.crowd * ROOM_CUT).max(1.0);
                node.heard = now;
            }
            _ => {}
        }
        ran
    }
}
