//! Counts served, rejected, failed and late requests by time window.
//!
//! The names of the fields are the keys of the JSON report.

use serde::Serialize;

use crate::record::Record;
use crate::rules::{Answer, ClassRules, RequestTrace, RuleConfig, request_traces};

/// Nanoseconds of a millisecond.
const NANOS_PER_MS: f64 = 1e6;
/// Nanoseconds of a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// The outcomes of the requests that were published within a window, or of all requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Seconds from the first request to the start of the window.
    pub from_s: f64,
    /// The number of published requests.
    pub calls: usize,
    /// Requests served within their latency objective.
    pub in_time: usize,
    /// Requests served after their latency objective.
    pub late: usize,
    /// Requests that were rejected.
    pub refused: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests without an answer.
    pub unanswered: usize,
    /// The part of the requests that was served within the latency objective, weighted by class, from 0 to 1; 1 if the
    /// window has no requests or their weights are 0.
    pub service: f64,
}

/// The outcomes of all requests, in total and by window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The totals over all requests.
    pub whole: Window,
    /// The windows, by time.
    pub windows: Vec<Window>,
    /// Milliseconds from publication to answer, of served requests: p50, p99 and p99.9; 0 if none was served.
    pub latency_ms: [f64; 3],
    /// The mean number of attempts per published request that reached workers.
    pub attempts: f64,
}

/// Computes a report with windows of the given width in nanoseconds. Without requests the report has no windows.
pub fn report(records: &[Record], config: &RuleConfig, window: u64) -> Report {
    let traces = request_traces(records, config);
    let published = || traces.values().map(|trace| trace.published);
    let (Some(first), Some(last)) = (published().min(), published().max()) else {
        return Report::default();
    };
    let index_of = |at: u64| ((at - first) / window.max(1)) as usize;
    let mut windows = vec![WindowBuilder::default(); index_of(last) + 1];
    let mut whole = WindowBuilder::default();
    for trace in traces.values() {
        let class = config.classes.get(&trace.class);
        windows[index_of(trace.published)].add(trace, class);
        whole.add(trace, class);
    }
    let attempts: usize = traces.values().map(|trace| trace.attempts.len()).sum();
    Report {
        whole: whole.finish(0.0),
        windows: windows
            .into_iter()
            .enumerate()
            .map(|(index, builder)| builder.finish(index as f64 * window as f64 / NANOS_PER_SECOND))
            .collect(),
        latency_ms: latency_quantiles(traces.values()),
        attempts: attempts as f64 / traces.len().max(1) as f64,
    }
}

/// A window that is being filled.
#[derive(Clone, Default)]
struct WindowBuilder {
    window: Window,
    /// The sum of the weights of all requests.
    total_weight: f64,
    /// The sum of the weights of the requests served within the latency objective.
    served_weight: f64,
}

impl WindowBuilder {
    fn add(&mut self, trace: &RequestTrace, class: Option<&ClassRules>) {
        let weight = class.map_or(1.0, |class| class.priority_weight);
        let window = &mut self.window;
        window.calls += 1;
        self.total_weight += weight;
        match trace.answers.first() {
            Some(answer) if is_served(answer) => {
                let is_in_time =
                    |class: &ClassRules| answer.at <= trace.published + class.latency_objective;
                if class.is_none_or(is_in_time) {
                    window.in_time += 1;
                    self.served_weight += weight;
                } else {
                    window.late += 1;
                }
            }
            Some(answer) if answer.verdict == "refused" => window.refused += 1,
            Some(_) => window.failed += 1,
            None => window.unanswered += 1,
        }
    }

    fn finish(self, from_s: f64) -> Window {
        let service = if self.total_weight > 0.0 {
            self.served_weight / self.total_weight
        } else {
            1.0
        };
        Window {
            from_s,
            service,
            ..self.window
        }
    }
}

fn is_served(answer: &Answer) -> bool {
    answer.verdict == "served"
}

/// The p50, p99 and p99.9 of the latencies of served requests, in milliseconds; 0 if none was served.
fn latency_quantiles<'a>(traces: impl Iterator<Item = &'a RequestTrace>) -> [f64; 3] {
    let latency = |trace: &RequestTrace| {
        let answer = trace.answers.first().filter(|answer| is_served(answer))?;
        Some((answer.at - trace.published) as f64 / NANOS_PER_MS)
    };
    let mut latencies: Vec<f64> = traces.filter_map(latency).collect();
    latencies.sort_by(f64::total_cmp);
    [0.5, 0.99, 0.999].map(|quantile| {
        let rank = (latencies.len() as f64 * quantile).ceil() as usize;
        let index = rank.clamp(1, latencies.len().max(1)) - 1;
        latencies.get(index).copied().unwrap_or(0.0)
    })
}
