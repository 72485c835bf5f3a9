//! Scale tests: each part is measured at several sizes, and its slope shows what a larger site would need.

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
pub(crate) use series::{Figure, Point, RunsAtSize, Series, SizeAxis};

use crate::Result;

/// Arguments of `pipithub-bench scale`.
#[derive(Args)]
pub(crate) struct Scale {
    /// The parts to measure; all by default.
    #[arg(value_enum)]
    parts: Vec<Part>,
    /// The sizes to measure at, instead of those of each part.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<u64>,
    /// The sections to measure, of parts that have sections; all by default.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How often each size is measured; the median is reported.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// Write all series to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a plot of each series to this folder, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// The folder of the fleet test's records (its `--json` files), which the part `workers` reads.
    #[arg(long)]
    fleet: Option<PathBuf>,
}

/// A part of the site whose growth is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Part {
    /// The cost of a call, an endpoint list event and an idle tick in the decision module.
    Decisions,
    /// Memory, CPU and traffic of front-end processes, and the cost of the coordinator.
    FrontEnds,
    /// Membership, in simulated time.
    #[value(name = "members")]
    Membership,
    /// Commits of the consensus core.
    #[value(name = "council")]
    Consensus,
    /// The time until a change of configuration has reached all front ends.
    Settings,
    /// The load of a worker by all front ends, from the records of the fleet test.
    Workers,
}

/// How parts are measured.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The sizes to measure at; empty for those of the part.
    pub sizes: Vec<u64>,
    /// The sections to measure; empty for all.
    pub only: Vec<String>,
    /// The seed of all random choices.
    pub seed: u64,
    /// How often each size is measured; the median is reported.
    pub runs: usize,
    /// The pipithub binary, for parts that start processes.
    pub binary: PathBuf,
    /// The folder of the fleet test's records.
    pub fleet: Option<PathBuf>,
}

impl Plan {
    /// Whether a section is measured.
    pub(crate) fn wants(&self, section: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|named| named == section)
    }

    /// Runs a measurement at each size as often as planned. Fails at the first run that fails.
    pub(crate) async fn run_at_sizes<T>(
        &self,
        default_sizes: &[u64],
        mut run: impl AsyncFnMut(usize) -> Result<T>,
    ) -> Result<Vec<RunsAtSize<T>>> {
        let mut sizes = Vec::new();
        for size in self.sizes_or(default_sizes) {
            let mut runs = Vec::new();
            for _ in 0..self.runs {
                runs.push(run(size as usize).await?);
            }
            sizes.push(RunsAtSize { size, runs });
        }
        Ok(sizes)
    }

    /// The sizes to measure at: those of the plan, or the default ones if the plan has none.
    pub(crate) fn sizes_or(&self, default_sizes: &[u64]) -> Vec<u64> {
        if self.sizes.is_empty() {
            default_sizes.to_vec()
        } else {
            self.sizes.clone()
        }
    }
}

/// Measures the parts and prints their series with their slopes.
pub(crate) async fn run(scale: Scale, binary: PathBuf) -> Result<()> {
    let plan = Plan {
        sizes: scale.sizes,
        only: scale.only,
        seed: scale.seed,
        runs: scale.plays.max(1),
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
        // The file is written after each part, so that the results survive a failure of a later part.
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
