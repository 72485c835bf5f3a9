//! Outlier detection: a worker that leaves attempts overdue, answers with errors or refuses
//! connections is ejected for a while.
//!
//! A worker is ejected for a class whose attempts it leaves overdue or answers with errors, and for
//! all classes when connections to it fail. After the ejection time, which doubles with each
//! ejection, it is probed with one attempt at a time. `docs/design.md`, "Exceptions, and when each
//! acts", states when each rule applies.

use crate::api::{FunctionId, RequestId, Time};
use crate::attempt::Attempt;
use crate::ejection::Ejection;
use crate::responses::Responses;

/// An attempt is overdue at this multiple of the time that it was predicted to take.
const OVERDUE_FACTOR: f64 = 3.0;
/// The number of overdue attempts from which a worker or zone counts as silent; one is enough while an
/// earlier ejection is not recovered. A worker must also have answered fewer attempts since the first
/// of them was sent; for a zone only attempts sent after its last response count.
pub(crate) const MIN_OVERDUE_ATTEMPTS: usize = 3;
/// The number of consecutive connect failures after which a worker is ejected. After a further one its
/// replicas count as lost.
const MAX_CONNECT_FAILURES: u32 = 2;
/// The weight of a new sample in an error rate: about the last seven attempts count.
const ERROR_RATE_GAIN: f64 = 0.15;
/// A worker is an outlier when more than this share of its last attempts ended in errors ...
const MAX_ERROR_RATE: f64 = 0.35;
/// ... and more than this multiple of the error rate of the other workers.
const MAX_RELATIVE_ERROR_RATE: f64 = 2.0;

/// An attempt that waits at a silent worker or zone and is to be cancelled, so that its request can
/// be retried elsewhere.
pub(crate) struct StalledAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// The failures of one worker, and the ejections that follow from them.
#[derive(Debug)]
pub(crate) struct OutlierDetection {
    /// The health for each class: a backend of the worker may fail for one class alone.
    classes: Vec<ClassHealth>,
    /// The number of failed or lost connections since the last answer.
    connect_failures: u32,
}

/// The health of a worker for one class of requests.
#[derive(Clone, Debug, Default)]
struct ClassHealth {
    ejection: Ejection,
    /// The share of errors among the last attempts.
    error_rate: f64,
    /// The function of the last error.
    last_error_function: Option<FunctionId>,
}

impl ClassHealth {
    fn record_success(&mut self) {
        self.ejection.record_success();
        self.error_rate -= ERROR_RATE_GAIN * self.error_rate;
    }

    fn record_error(&mut self, function: FunctionId, max_error_rate: f64, now: Time) {
        let last = self.last_error_function.replace(function);
        if last != Some(function) || !self.ejection.is_recovered() {
            self.error_rate += ERROR_RATE_GAIN * (1.0 - self.error_rate);
        }
        if self.error_rate > max_error_rate && self.ejection.is_over(now) {
            self.ejection.eject(now);
        }
    }
}

impl OutlierDetection {
    /// A worker without any failure.
    pub(crate) fn new(classes: usize) -> Self {
        OutlierDetection {
            classes: vec![ClassHealth::default(); classes],
            connect_failures: 0,
        }
    }

    /// Forgets all failures, as the worker has restarted.
    pub(crate) fn reset(&mut self) {
        *self = OutlierDetection::new(self.classes.len());
    }

    /// How many classes there are.
    pub(crate) fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// The share of errors among the last attempts of a class; 0 for an unknown class.
    pub(crate) fn error_rate(&self, class: usize) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |health| health.error_rate)
    }

    /// Whether fewer consecutive connections have failed than eject the worker.
    pub(crate) fn is_reachable(&self) -> bool {
        self.connect_failures < MAX_CONNECT_FAILURES
    }

    /// Whether the worker may get an attempt of a class beside those in flight: it is not ejected,
    /// or its ejection time is over and no attempt probes it yet.
    pub(crate) fn accepts(&self, class: usize, in_flight: &[Attempt], now: Time) -> bool {
        let ejection = &self.classes[class].ejection;
        let is_probed = || {
            in_flight
                .iter()
                .any(|attempt| attempt.class == class && ejection.is_probe(attempt.sent_at))
        };
        ejection.is_recovered() || ejection.is_over(now) && !is_probed()
    }

    /// Records an answer to an attempt of a class.
    pub(crate) fn record_answer(&mut self, class: usize) {
        self.classes[class].record_success();
        self.connect_failures = 0;
    }

    /// Records an error; `mean_of_others` is the mean error rate of the class at the other workers.
    ///
    /// A worker whose requests mostly fail, because of a broken disk, a bad release or a lost secret,
    /// answers fast, so that it looks idle and attracts more requests. It is ejected as long as it has
    /// a higher error rate than the others. Errors that occur at all workers alike, caused by a
    /// function or a client, eject no worker: of consecutive errors of one function only one counts.
    /// The drawback: if only the ejected worker can run a function, its requests are rejected.
    pub(crate) fn record_error(&mut self, attempt: &Attempt, mean_of_others: f64, now: Time) {
        let max_error_rate = MAX_ERROR_RATE.max(mean_of_others * MAX_RELATIVE_ERROR_RATE);
        self.classes[attempt.class].record_error(attempt.function, max_error_rate, now);
    }

    /// Records a failed or lost connection; returns `true` if the worker's replicas count as lost.
    ///
    /// One failure does not mean that the process has ended: if every worker resets a few
    /// connections, ejecting on a single failure would eject all workers.
    pub(crate) fn record_connect_failure(&mut self, now: Time) -> bool {
        self.connect_failures += 1;
        if self.connect_failures >= MAX_CONNECT_FAILURES {
            for health in &mut self.classes {
                if health.ejection.is_over(now) {
                    health.ejection.eject(now);
                }
            }
        }
        self.connect_failures > MAX_CONNECT_FAILURES
    }

    /// Ejects the worker for each class for which it is silent, and adds the waiting attempts of that
    /// class to `stalled`.
    ///
    /// Overdue attempts are counted for each class, because a fault behind the workers may leave the
    /// requests of one class unanswered while others are answered. Slow loads may look the same.
    pub(crate) fn eject_if_silent(
        &mut self,
        in_flight: &[Attempt],
        responses: &Responses,
        now: Time,
        stalled: &mut Vec<StalledAttempt>,
    ) {
        for (class, health) in self.classes.iter_mut().enumerate() {
            if !is_silent(class, &health.ejection, in_flight, responses, now) {
                continue;
            }
            health.ejection.eject(now);
            let waiting = in_flight
                .iter()
                .filter(|attempt| attempt.class == class && !attempt.cancelled);
            stalled.extend(waiting.map(Attempt::as_stalled));
        }
    }
}

/// Whether a worker leaves attempts of a class overdue, and more than it has answered since the
/// first of them was sent.
fn is_silent(
    class: usize,
    ejection: &Ejection,
    in_flight: &[Attempt],
    responses: &Responses,
    now: Time,
) -> bool {
    let overdue = || {
        in_flight
            .iter()
            .filter(|attempt| attempt.class == class && attempt.is_overdue(now))
    };
    let count = overdue().count();
    let first = overdue()
        .map(|attempt| attempt.sent_at)
        .min()
        .unwrap_or(now);
    let answers = responses.answers_after(class, first);
    let needed = if ejection.is_recovered() {
        MIN_OVERDUE_ATTEMPTS
    } else {
        1
    };
    ejection.is_over(now) && count >= needed && count > answers
}

impl Attempt {
    /// Whether the answer is so late that the attempt counts as evidence of silence.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        let predicted_time = self.expected.finish.saturating_sub(self.sent_at);
        // The predicted finish of an attempt that waits for a load command is not known but far in the
        // future: the sum must not overflow.
        now > self
            .sent_at
            .saturating_add((predicted_time as f64 * OVERDUE_FACTOR) as Time)
    }

    /// Identifies this attempt as one to be cancelled.
    pub(crate) fn as_stalled(&self) -> StalledAttempt {
        StalledAttempt {
            request: self.id.request,
            attempt: self.id.number,
        }
    }
}
