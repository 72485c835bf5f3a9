//! Service, refusals, failures and lateness by window of time.

use serde::Serialize;

use crate::record::Record;
use crate::rules::{RuleConfig, request_traces};

/// What came of the calls of a window, or of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Window {
    /// Seconds from the first call to its beginning.
    pub from_s: f64,
    /// Calls published.
    pub calls: usize,
    /// Served within the wanted time.
    pub in_time: usize,
    /// Served after it.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Without an answer.
    pub unanswered: usize,
    /// Worth answered within the wanted time over the worth asked for.
    pub service: f64,
}

/// All windows and the whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// All calls.
    pub whole: Window,
    /// By window.
    pub windows: Vec<Window>,
    /// Milliseconds from publish to answer, of served calls: p50, p99, p99.9.
    pub latency_ms: [f64; 3],
    /// Calls that reached workers, for each call published.
    pub attempts: f64,
}

/// Works out a report in windows of so many nanoseconds.
pub fn report(records: &[Record], config: &RuleConfig, window: u64) -> Report {
    let request_traces = request_traces(records, config);
    let Some(first) = request_traces.values().map(|s| s.published).min() else {
        return Report::default();
    };
    let last = request_traces
        .values()
        .map(|s| s.published)
        .max()
        .unwrap_or(first);
    let count = ((last - first) / window.max(1) + 1) as usize;
    let mut windows = vec![(Window::default(), 0.0, 0.0); count];
    let mut whole = (Window::default(), 0.0, 0.0);
    let mut latencies = Vec::new();
    let mut attempts = 0;
    for trace in request_traces.values() {
        let n = ((trace.published - first) / window.max(1)) as usize;
        let class = config.classes.get(&trace.class);
        let priority_weight = class.map_or(1.0, |c| c.priority_weight);
        attempts += trace.calls.len();
        for (w, asked, earned) in [&mut windows[n], &mut whole] {
            w.calls += 1;
            *asked += priority_weight;
            match trace.answers.first() {
                Some((at, verdict)) if verdict == "served" => {
                    if class.is_none_or(|c| *at <= trace.published + c.latency_objective) {
                        w.in_time += 1;
                        *earned += priority_weight;
                    } else {
                        w.late += 1;
                    }
                }
                Some((_, verdict)) if verdict == "refused" => w.refused += 1,
                Some(_) => w.failed += 1,
                None => w.unanswered += 1,
            }
        }
        if let Some((at, _)) = trace.answers.first().filter(|a| a.1 == "served") {
            latencies.push((at - trace.published) as f64 / 1e6);
        }
    }
    latencies.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        let at =
            ((latencies.len() as f64 * q).ceil() as usize).clamp(1, latencies.len().max(1)) - 1;
        latencies.get(at).copied().unwrap_or(0.0)
    };
    let finish = |(mut w, asked, earned): (Window, f64, f64), n: usize| {
        w.from_s = n as f64 * window as f64 / 1e9;
        w.service = if asked > 0.0 { earned / asked } else { 1.0 };
        w
    };
    Report {
        whole: finish(whole, 0),
        windows: windows
            .into_iter()
            .enumerate()
            .map(|(n, w)| finish(w, n))
            .collect(),
        latency_ms: [quantile(0.5), quantile(0.99), quantile(0.999)],
        attempts: attempts as f64 / request_traces.len().max(1) as f64,
    }
}
