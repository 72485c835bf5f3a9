//! Load reports in the ORCA header `endpoint-load-metrics`, in the formats `TEXT` and `JSON` (xDS `OrcaLoadReport`).
//! The format `BIN` is not supported.

use std::collections::BTreeMap;
use std::fmt::Write;

use winnow::ascii::space0;
use winnow::combinator::{delimited, separated, separated_pair};
use winnow::error::EmptyError;
use winnow::token::take_while;
use winnow::{Parser, Result};

/// The maximum number of metrics in a report.
const MAX_METRICS: usize = 64;

/// The text is not a load report in a supported format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the load report is not in a supported format")]
pub struct InvalidReport;

/// A load report: the values of metrics by their full names, such as `named_metrics.inflight`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report(BTreeMap<String, f64>);

#[derive(Clone, Copy, Debug)]
struct Metric<'a> {
    name: &'a str,
    value: f64,
}

fn metric<'a>(input: &mut &'a str) -> Result<Metric<'a>, EmptyError> {
    let name = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "._-".contains(c)
    });
    let number = take_while(1.., |c: char| c.is_ascii_digit() || "+-.eE".contains(c))
        .try_map(str::parse::<f64>);
    separated_pair(name, delimited(space0, '=', space0), number)
        .map(|(name, value)| Metric { name, value })
        .parse_next(input)
}

fn text_metrics(input: &str) -> Option<Vec<Metric<'_>>> {
    let comma = delimited(space0, ',', space0);
    let parsed: Result<Vec<Metric<'_>>, _> =
        delimited(space0, separated(0..=MAX_METRICS, metric, comma), space0)
            .parse(input)
            .map_err(|_| InvalidReport);
    parsed.ok()
}

impl Report {
    /// The value of a metric; `None` if it is missing, not finite or negative.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0
            .get(name)
            .copied()
            .filter(|v| v.is_finite() && *v >= 0.0)
    }

    /// Sets the value of a metric, replacing an earlier one.
    pub fn set(&mut self, name: &str, value: f64) {
        self.0.insert(name.to_string(), value);
    }

    /// Parses the value of the header.
    ///
    /// # Errors
    ///
    /// Fails if the format is not supported, the text does not follow it, or there are too many metrics.
    pub fn parse(value: &str) -> std::result::Result<Self, InvalidReport> {
        let (format, rest) = value.trim().split_once(' ').unwrap_or((value.trim(), ""));
        match format {
            "TEXT" => Self::parse_text(rest),
            "JSON" => Self::parse_json(rest),
            _ => Err(InvalidReport),
        }
    }

    fn parse_text(text: &str) -> std::result::Result<Self, InvalidReport> {
        let metrics = text_metrics(text).ok_or(InvalidReport)?;
        let metrics = metrics.into_iter();
        Ok(Report(
            metrics
                .map(|metric| (metric.name.to_string(), metric.value))
                .collect(),
        ))
    }

    fn parse_json(text: &str) -> std::result::Result<Self, InvalidReport> {
        let members: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(text).map_err(|_| InvalidReport)?;
        let mut report = Report::default();
        for (name, value) in members {
            report.add_member(name, &value)?;
            if report.0.len() > MAX_METRICS {
                return Err(InvalidReport);
            }
        }
        Ok(report)
    }

    /// Adds a number, or the numbers in an object, each under the name of the object, a dot and its own name. Other
    /// values are ignored.
    fn add_member(
        &mut self,
        name: String,
        value: &serde_json::Value,
    ) -> std::result::Result<(), InvalidReport> {
        match value {
            serde_json::Value::Number(number) => {
                self.0.insert(name, number.as_f64().ok_or(InvalidReport)?);
            }
            serde_json::Value::Object(inner) => {
                for (key, value) in inner {
                    if let Some(number) = value.as_f64() {
                        self.0.insert(format!("{name}.{key}"), number);
                    }
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// The value of the header, in the format `TEXT`.
    pub fn to_text(&self) -> String {
        let mut out = String::from("TEXT ");
        for (n, (name, value)) in self.0.iter().enumerate() {
            let comma = if n > 0 { "," } else { "" };
            let _ = write!(out, "{comma}{name}={value}");
        }
        out
    }
}
