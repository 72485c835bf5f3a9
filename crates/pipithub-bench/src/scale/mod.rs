//! Scale tests: each part is measured at several sizes, and its slope says what a larger site would need.

mod consensus;
mod decisions;
mod fit;
mod front_ends;
mod membership;
mod plot;
mod settings;
mod workers;

use std::path::PathBuf;

use clap::{Args, ValueEnum};
use serde::Serialize;

pub(crate) use fit::Fit;

use crate::Result;

/// What is measured and where the figures go.
#[derive(Args)]
pub(crate) struct Scale {
    /// Parts; all of them by default.
    #[arg(value_enum)]
    parts: Vec<Part>,
    /// Sizes in place of each part's own.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<u64>,
    /// Sections of a part that has some; all of them by default.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays of each size, of which the median counts.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Writes all series to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a plot of each series into this folder.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Records of the fleet test (its `--json` files), from which `workers` is read.
    #[arg(long)]
    fleet: Option<PathBuf>,
}

/// A part of the site whose growth is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Part {
    /// What a call, a list event and an idle tick cost the decision module.
    Decisions,
    /// What a front end's process holds, reads and asks, and what hands out the list spends.
    FrontEnds,
    /// Membership, in simulated time.
    #[value(name = "members")]
    Membership,
    /// Agreed entries of the council's core.
    #[value(name = "council")]
    Consensus,
    /// How a change of configuration reaches all front ends.
    Settings,
    /// What a worker sees of all front ends, from the fleet test's own counts.
    Workers,
}

/// How a part is to be measured.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Sizes in place of the part's own; empty: its own.
    pub sizes: Vec<u64>,
    /// Sections of a part that has some; empty: all.
    pub only: Vec<String>,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Plays of each size, of which the median counts.
    pub plays: usize,
    /// The pipithub binary, for real processes.
    pub binary: PathBuf,
    /// Where records of the fleet test lie.
    pub fleet: Option<PathBuf>,
}

impl Plan {
    /// Whether a section of a part is to be measured.
    pub(crate) fn wants(&self, section: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|o| o == section)
    }

    /// The sizes to measure, of which these are the usual ones.
    pub(crate) fn sizes_or(&self, usual: &[u64]) -> Vec<u64> {
        if self.sizes.is_empty() {
            usual.to_vec()
        } else {
            self.sizes.clone()
        }
    }
}

/// What was measured at one size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub size: u64,
    /// The median of the plays.
    pub value: f64,
    /// The least and the greatest of them.
    #[serde(rename = "least")]
    pub min: f64,
    /// See `min`.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// How many plays there were.
    pub plays: usize,
}

impl Point {
    /// The median of these values; 0 where there are none.
    pub(crate) fn of(size: u64, mut values: Vec<f64>) -> Point {
        values.sort_by(f64::total_cmp);
        let at = |i: usize| values.get(i).copied().unwrap_or(0.0);
        let plays = values.len();
        Point {
            size,
            value: at(plays / 2),
            min: at(0),
            max: at(plays.saturating_sub(1)),
            plays,
        }
    }
}

/// One figure over several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Series {
    /// The part it belongs to.
    pub part: String,
    /// What was measured, in words.
    pub what: String,
    /// The unit of the values.
    pub unit: String,
    /// What the sizes count.
    #[serde(rename = "of")]
    pub size_unit: String,
    /// How it was run: `processes`, `hollow`, `simulated time` or `core`.
    #[serde(rename = "how")]
    pub method: String,
    /// The points, by size.
    pub points: Vec<Point>,
    /// The size that is planned for.
    pub planned: u64,
    /// The slope through the points.
    pub fit: Option<Fit>,
}

impl Series {
    /// A series and the slope through its points.
    pub(crate) fn new(
        part: &str,
        what: &str,
        unit: &str,
        size_unit: &str,
        method: &str,
        planned: u64,
    ) -> Series {
        let [part, what, unit, size_unit, method] =
            [part, what, unit, size_unit, method].map(str::to_string);
        Series {
            part,
            what,
            unit,
            size_unit,
            method,
            points: Vec::new(),
            planned,
            fit: None,
        }
    }

    /// Adds what was measured at one size.
    pub(crate) fn push(&mut self, size: u64, values: Vec<f64>) {
        self.points.push(Point::of(size, values));
    }

    /// The furthest size that was really run.
    pub(crate) fn furthest(&self) -> u64 {
        self.points.iter().map(|p| p.size).max().unwrap_or(0)
    }

    fn print(&self) {
        println!(
            "\n{} / {} [{}], {}",
            self.part, self.what, self.unit, self.method
        );
        for p in &self.points {
            println!(
                "  {:>8} {:<12} {:>14.3}   ({:.3} to {:.3}, {} plays)",
                p.size, self.size_unit, p.value, p.min, p.max, p.plays
            );
        }
        if let Some(fit) = &self.fit {
            let at = fit.at(self.planned);
            println!(
                "  grows as size^{:.2}, residual {:.0}%; furthest run {}; at {} {} it would be {at:.3} ({:.1} times the furthest)",
                fit.exponent,
                fit.residual * 100.0,
                self.furthest(),
                self.planned,
                self.size_unit,
                self.planned as f64 / self.furthest().max(1) as f64
            );
        }
    }
}

/// Measures the parts and shows their slopes.
pub(crate) async fn run(scale: Scale, binary: PathBuf) -> Result<()> {
    let Scale {
        sizes,
        only,
        seed,
        plays,
        fleet,
        ..
    } = scale;
    let plan = Plan {
        sizes,
        only,
        seed,
        plays: plays.max(1),
        binary,
        fleet,
    };
    let parts = if scale.parts.is_empty() {
        Part::value_variants().to_vec()
    } else {
        scale.parts
    };
    let mut all = Vec::new();
    for part in parts {
        let mut series: Vec<Series> = measure(part, &plan).await?;
        for one in &mut series {
            one.fit = Fit::through(&one.points);
            one.print();
        }
        if let Some(folder) = &scale.plot {
            std::fs::create_dir_all(folder)?;
            for one in &series {
                plot::draw(one, folder)?;
            }
        }
        all.append(&mut series);
        // After each part: what was measured is kept where a later part fails.
        if let Some(path) = &scale.json {
            std::fs::write(path, serde_json::to_string_pretty(&all)?)?;
        }
    }
    Ok(())
}

async fn measure(part: Part, plan: &Plan) -> Result<Vec<Series>> {
    match part {
        Part::Decisions => decisions::measure(plan).await,
        Part::FrontEnds => front_ends::measure(plan).await,
        Part::Membership => membership::measure(plan).await,
        Part::Consensus => consensus::measure(plan).await,
        Part::Settings => settings::measure(plan).await,
        Part::Workers => workers::measure(plan).await,
    }
}
