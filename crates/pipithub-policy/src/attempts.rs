//! The end of an attempt and what is learnt from it.

use crate::api::{AttemptFinished, Outcome, ReplicaStatus, Time};
use crate::estimates::{MAX_SAMPLE, RUN_TIME_GAIN, SLOWDOWN_GAIN};
use crate::front_end::{FrontEnd, MAX_DURATION};
use crate::load_reports::REPORT_LIFETIME;
use crate::outlier::MAX_CONSECUTIVE_FAILURES;
use crate::state::{Health, ReportedLoad};

/// Weight of a new sample in the number of homes that a function needs in a large tier.
const PREFERRED_WORKERS_GAIN: f64 = 0.3;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const CONCURRENCY_DECREASE: f64 = 0.7;
/// A worker that turns a call away is held to this share of its own sends; each answer gives back so much.
const CONCURRENCY_INCREASE: f64 = 0.1;
/// Weight of a new sample in a function's run time: about its last twenty answers; and, in a large tier, of
/// one above the mean beside one below it.
const UNREPORTED_RISE: f64 = 0.2;

impl FrontEnd {
    /// Takes an ended attempt out of the worker's queue and learns from it; tells when it was sent and where.
    #[expect(
        clippy::cognitive_complexity,
        clippy::too_many_lines,
        reason = "not split yet; see the roadmap"
    )]
    pub(crate) fn record_attempt(&mut self, end: &AttemptFinished) -> Option<(Time, String, u64)> {
        let (now, blind) = (self.now, self.relies_on_load_reports());
        let failed = end.replica_status == Some(ReplicaStatus::LoadFailed);
        if failed || end.replica_status == Some(ReplicaStatus::LoadStarted) {
            self.record_load_outcome(failed);
        }
        let mut node = self.workers.get_mut(&end.worker)?;
        let at = node
            .in_flight
            .iter()
            .position(|s| s.request == end.request && s.attempt == end.attempt)?;
        // Withdrawn work may go on unseen: the replay holds it until its foreseen end.
        let sent = if end.outcome == Outcome::Cancelled && node.in_flight[at].predicted_finish > now
        {
            node.in_flight[at].cancelled = true;
            node.in_flight[at].clone()
        } else {
            node.in_flight.remove(at)
        };
        let ran = Some((sent.sent_at, node.endpoint.zone.clone(), node.endpoint.cell));
        if !end.outcome.never_ran() {
            let late = if now > sent.latency_objective {
                1.0 - self.settings.classes[sent.class].late_answer_weight
            } else {
                0.0
            };
            let lost = if end.outcome == Outcome::Served {
                late
            } else {
                1.0
            };
            self.mean_lost_value += RUN_TIME_GAIN * (lost - self.mean_lost_value);
        }
        // A try of a zone that brought no word is as good as overdue.
        let silent = matches!(
            end.outcome,
            Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut
        );
        let tried = |z: &&mut Health| silent && sent.sent_at >= z.ejected_until;
        if let Some(zone) = self.silent_zones.get_mut(&node.endpoint.zone).filter(tried) {
            zone.eject(now);
        }
        // The function's calls that stood there, at each of its homes alike, over the lanes of a copy: so
        // many homes does it need. A worker adds copies by itself too, but no cores to run them.
        let alike = end
            .function_concurrency
            .filter(|_| self.settings.loading.reports_concurrency)
            .map(|a| a.min(1_000));
        let told = alike.map(|a| (a, (f64::from(a) + 1.0 - sent.function_concurrency).max(0.0)));
        let program = self.functions.get_mut(&sent.function).filter(|_| blind);
        if let Some(((_, others), program)) = told.zip(program) {
            let homes = program.preferred_workers.max(1.0);
            let wanted = others * homes / f64::from(program.replica_concurrency.max(1));
            program.preferred_workers =
                homes + PREFERRED_WORKERS_GAIN * (wanted.clamp(1.0, 64.0) - homes);
        }
        // An attempt of an earlier process tells nothing of the present one.
        let same_process = node.endpoint.started_at.is_none_or(|t| t <= sent.sent_at);
        let took = end.elapsed.min(MAX_DURATION) as f64;
        let ratio = (took / sent.run_time.max(1.0)).clamp(0.1, MAX_SAMPLE);
        match end.outcome {
            Outcome::Served if same_process => {
                let health = &mut node.health[sent.class];
                health.consecutive_errors = health.consecutive_errors.saturating_sub(1);
                health.error_rate -= SLOWDOWN_GAIN * health.error_rate;
                (node.last_response_at, node.consecutive_connect_failures) = (now, 0);
                node.concurrency_limit += CONCURRENCY_INCREASE;
                node.recent_answers.push_back((now, sent.class));
                let copies = node.replicas_of(sent.function);
                copies.ready_at = if copies.confirmed {
                    copies.ready_at
                } else {
                    now
                };
                (copies.count, copies.confirmed, copies.last_used_at) =
                    (copies.count.max(1), true, now);
                if let Some((alike, others)) = told {
                    // What others had there, beside our own; and copies enough for all of them at once.
                    copies.others_in_flight += SLOWDOWN_GAIN * (others - copies.others_in_flight);
                    let lanes = self
                        .functions
                        .get(&sent.function)
                        .map_or(1, |p| p.replica_concurrency.max(1));
                    if end.replica_status == Some(ReplicaStatus::Warm) {
                        copies.count = copies.count.max((alike + 1).div_ceil(lanes));
                    }
                }
                let expected = sent.run_time * node.slowdown.max(0.1);
                let loaded = match end.replica_status {
                    Some(ReplicaStatus::Warm) => false,
                    Some(_) => true,
                    None => (sent.cold_start || sent.unconfirmed) && took > expected * MAX_SAMPLE,
                };
                if loaded {
                    drop(node);
                    if end.replica_status != Some(ReplicaStatus::LoadAwaited) {
                        self.record_load_time(sent.function, (took - expected).max(0.0));
                    }
                    return ran;
                }
                let ReportedLoad {
                    received_at: at,
                    in_flight: held,
                    ..
                } = node.load_report;
                if held > 2.0 && held.is_finite() && at + REPORT_LIFETIME > sent.sent_at {
                    let (mean, ratios) = &mut self.reported_queues;
                    *mean += RUN_TIME_GAIN * (held - *mean);
                    *ratios += RUN_TIME_GAIN * (ratio.max(1.0) - *ratios);
                }
                node.record_slowdown(ratio, sent.concurrency);
                // Answers from an uncrowded worker, also as told, tell the run itself; the rest is its pace.
                let held = end.load_report.in_flight.unwrap_or(0.0);
                let gain =
                    RUN_TIME_GAIN * (2.0 / sent.concurrency.max(held / 2.0)).min(1.0).powi(2);
                // Where that is not told, a long answer is rather the queue of the others than a long run.
                let rise = if blind && end.load_report.in_flight.is_none() {
                    UNREPORTED_RISE
                } else {
                    1.0
                };
                let learn = |mean: &mut f64| {
                    let sample = took.min(*mean * MAX_SAMPLE);
                    *mean += gain * (sample - *mean) * if sample > *mean { rise } else { 1.0 };
                };
                learn(self.class_run_times[sent.class].get_or_insert(took));
                if let Some(program) = self.functions.get_mut(&sent.function) {
                    learn(program.run_time.get_or_insert(sent.run_time));
                }
            }
            Outcome::Unreachable | Outcome::ConnectionLost if same_process => {
                // One broken connection is no dead process: where every worker resets a few, acting on it
                // would bring all down by itself.
                node.consecutive_connect_failures += 1;
                if node.consecutive_connect_failures >= MAX_CONSECUTIVE_FAILURES {
                    node.health
                        .iter_mut()
                        .filter(|h| now >= h.ejected_until)
                        .for_each(|h| h.eject(now));
                }
                if node.consecutive_connect_failures > MAX_CONSECUTIVE_FAILURES {
                    node.replicas.clear();
                }
            }
            // Withdrawn, it has taken so long at the least: else only the quick answers would teach.
            Outcome::Cancelled
                if same_process
                    && !sent.cold_start
                    && !sent.unconfirmed
                    && ratio > node.slowdown =>
            {
                node.record_slowdown(ratio, sent.concurrency);
                node.last_response_at = now;
            }
            // What failed to load does not stand: believed, it would draw the next call.
            Outcome::NotLoaded | Outcome::Error
                if same_process && (failed || end.outcome == Outcome::NotLoaded) =>
            {
                node.replicas.remove(&sent.function);
            }
            Outcome::Error if same_process => node.record_error(now, &sent),
            Outcome::Rejected if same_process => {
                node.concurrency_limit = (sent.concurrency * CONCURRENCY_DECREASE).max(1.0);
                node.last_response_at = now;
            }
            _ => {}
        }
        ran
    }
}
