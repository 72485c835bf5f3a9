//! Scale tests: each part is measured at several sizes, and its slope says what a larger site would need.

mod consensus;
mod decisions;
mod fit;
mod front_ends;
mod membership;
mod plot;
mod series;
mod settings;
mod workers;

use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};

pub(crate) use fit::Fit;
pub(crate) use series::{Figure, PlaysAtSize, Point, Series, SizeAxis};

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
        self.only.is_empty() || self.only.iter().any(|named| named == section)
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

/// Measures the parts and shows their slopes.
pub(crate) async fn run(scale: Scale, binary: PathBuf) -> Result<()> {
    let plan = Plan {
        sizes: scale.sizes,
        only: scale.only,
        seed: scale.seed,
        plays: scale.plays.max(1),
        binary,
        fleet: scale.fleet,
    };
    let parts = if scale.parts.is_empty() {
        Part::value_variants().to_vec()
    } else {
        scale.parts
    };
    let mut all = Vec::new();
    for part in parts {
        let mut measured = measure(part, &plan).await?;
        for series in &mut measured {
            series.fit = Fit::through(&series.points);
            series.print();
        }
        if let Some(folder) = &scale.plot {
            draw_all(&measured, folder)?;
        }
        all.append(&mut measured);
        // After each part: what was measured is kept where a later part fails.
        if let Some(path) = &scale.json {
            std::fs::write(path, serde_json::to_string_pretty(&all)?)?;
        }
    }
    Ok(())
}

fn draw_all(measured: &[Series], folder: &Path) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    for series in measured {
        plot::draw(series, folder)?;
    }
    Ok(())
}

async fn measure(part: Part, plan: &Plan) -> Result<Vec<Series>> {
    match part {
        Part::Decisions => decisions::measure(plan),
        Part::FrontEnds => front_ends::measure(plan).await,
        Part::Membership => membership::measure(plan),
        Part::Consensus => consensus::measure(plan),
        Part::Settings => settings::measure(plan).await,
        Part::Workers => workers::measure(plan),
    }
}
