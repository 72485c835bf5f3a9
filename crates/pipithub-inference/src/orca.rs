//! Load reports in ORCA's `endpoint-load-metrics` header: `TEXT` and `JSON` (xDS `OrcaLoadReport`); `BIN` is not
//! offered.

use std::collections::BTreeMap;
use std::fmt::Write;

use winnow::ascii::space0;
use winnow::combinator::{delimited, separated, separated_pair};
use winnow::error::EmptyError;
use winnow::token::take_while;
use winnow::{Parser, Result};

/// More metrics than this are not read.
const MOST: usize = 64;

/// A report cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// A report: numbers by their full names, as `named_metrics.inflight`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report(BTreeMap<String, f64>);

fn pair<'a>(input: &mut &'a str) -> Result<(&'a str, f64), EmptyError> {
    let name = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "._-".contains(c)
    });
    let number = take_while(1.., |c: char| c.is_ascii_digit() || "+-.eE".contains(c))
        .try_map(str::parse::<f64>);
    separated_pair(name, delimited(space0, '=', space0), number).parse_next(input)
}

fn text(input: &str) -> Option<Vec<(&str, f64)>> {
    let comma = delimited(space0, ',', space0);
    let parsed: Result<Vec<(&str, f64)>, _> =
        delimited(space0, separated(0..=MOST, pair, comma), space0)
            .parse(input)
            .map_err(|_| Unreadable);
    parsed.ok()
}

impl Report {
    /// A metric, where it is a finite number that is not negative.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0
            .get(name)
            .copied()
            .filter(|v| v.is_finite() && *v >= 0.0)
    }

    /// Sets a metric.
    pub fn set(&mut self, name: &str, value: f64) {
        self.0.insert(name.to_string(), value);
    }

    /// Reads the header's value.
    pub fn parse(value: &str) -> std::result::Result<Self, Unreadable> {
        let (format, rest) = value.trim().split_once(' ').unwrap_or((value.trim(), ""));
        match format {
            "TEXT" => {
                let pairs = text(rest).ok_or(Unreadable)?;
                Ok(Report(
                    pairs.into_iter().map(|(n, v)| (n.to_string(), v)).collect(),
                ))
            }
            "JSON" => {
                let all: serde_json::Map<String, serde_json::Value> =
                    serde_json::from_str(rest).map_err(|_| Unreadable)?;
                let mut report = Report::default();
                for (name, value) in all {
                    match value {
                        serde_json::Value::Number(n) => {
                            report.0.insert(name, n.as_f64().ok_or(Unreadable)?);
                        }
                        serde_json::Value::Object(inner) => {
                            for (key, value) in inner {
                                if let Some(v) = value.as_f64() {
                                    report.0.insert(format!("{name}.{key}"), v);
                                }
                            }
                        }
                        _ => {}
                    }
                    if report.0.len() > MOST {
                        return Err(Unreadable);
                    }
                }
                Ok(report)
            }
            _ => Err(Unreadable),
        }
    }

    /// The header's value, as text.
    pub fn to_text(&self) -> String {
        let mut out = String::from("TEXT ");
        for (n, (name, value)) in self.0.iter().enumerate() {
            let comma = if n > 0 { "," } else { "" };
            let _ = write!(out, "{comma}{name}={value}");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_are_read() {
        let text =
            Report::parse("TEXT cpu_utilization=0.3, named_metrics.inflight = 2e0").expect("text");
        assert_eq!(
            (
                text.get("cpu_utilization"),
                text.get("named_metrics.inflight")
            ),
            (Some(0.3), Some(2.0))
        );
        let json =
            r#"JSON {"cpu_utilization": 0.3, "named_metrics": {"inflight": 2, "x": "y"}, "z": []}"#;
        assert_eq!(Report::parse(json), Ok(text.clone()));
        assert_eq!(Report::parse(&text.to_text()), Ok(text));
        assert_eq!(Report::parse("TEXT"), Ok(Report::default()));
    }

    #[test]
    fn what_cannot_be_read_is_told_and_what_makes_no_sense_is_left_out() {
        for bad in [
            "",
            "BIN AAA=",
            "TEXT a",
            "TEXT a=b",
            "TEXT a=1,,b=2",
            "JSON [1]",
            "JSON {",
            "cpu=1",
            "TEXT a=1 b",
        ] {
            assert_eq!(Report::parse(bad), Err(Unreadable), "{bad}");
        }
        let odd = Report::parse("TEXT a=-1,b=1e999").expect("numbers");
        assert_eq!((odd.get("a"), odd.get("b")), (None, None));
        let many = (0..100)
            .map(|n| format!("m{n}=1"))
            .collect::<Vec<_>>()
            .join(",");
        assert_eq!(Report::parse(&format!("TEXT {many}")), Err(Unreadable));
    }
}
