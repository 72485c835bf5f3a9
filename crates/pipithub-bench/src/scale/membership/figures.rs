//! The figures of membership scenarios.

use crate::membership::{Measurements, Scenario};

const PERCENT: f64 = 100.0;
const BYTES_PER_KIB: f64 = 1_024.0;

/// A figure of one scenario.
pub(super) struct ScenarioFigure {
    /// The scenario that it is measured in.
    pub scenario: Scenario,
    /// The name of the figure.
    pub what: &'static str,
    /// The unit of its values.
    pub unit: &'static str,
    /// Reads the value; it is negative if the event did not happen.
    pub value: fn(&Measurements) -> f64,
}

impl ScenarioFigure {
    const fn new(
        scenario: Scenario,
        what: &'static str,
        unit: &'static str,
        value: fn(&Measurements) -> f64,
    ) -> ScenarioFigure {
        ScenarioFigure {
            scenario,
            what,
            unit,
            value,
        }
    }
}

/// All figures, in the order of reports.
pub(super) const FIGURES: &[ScenarioFigure] = &[
    ScenarioFigure::new(
        Scenario::Ordinary,
        "start at once until all know all",
        "s",
        |row| row.convergence,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "a death until the first knows",
        "s",
        |row| row.first_detection,
    ),
    ScenarioFigure::new(Scenario::Ordinary, "a death until all know", "s", |row| {
        row.full_detection
    }),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "suspicions of the living for each member",
        "",
        |row| row.suspected,
    ),
    ScenarioFigure::new(Scenario::Ordinary, "false deaths in all", "", |row| {
        row.false_deaths
    }),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "bytes at rest, mean member",
        "B/s",
        |row| row.bytes,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "bytes at rest, worst member",
        "B/s",
        |row| row.bytes_worst,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "datagrams at rest, mean member",
        "1/s",
        |row| row.messages,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "datagrams at rest, worst member",
        "1/s",
        |row| row.messages_worst,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "bytes in the worst second of the start, mean member",
        "B/s",
        |row| row.bytes_start,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "bytes in the worst second after a death, mean member",
        "B/s",
        |row| row.bytes_after_fault,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "CPU at rest for each member",
        "% of a core",
        |row| row.cpu * PERCENT,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "CPU during the start for each member",
        "% of a core",
        |row| row.cpu_start * PERCENT,
    ),
    ScenarioFigure::new(
        Scenario::Ordinary,
        "CPU of the simulation for each member",
        "% of a core",
        |row| row.cpu_simulation * PERCENT,
    ),
    ScenarioFigure::new(Scenario::Ordinary, "memory for each member", "KiB", |row| {
        row.memory / BYTES_PER_KIB
    }),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: start at once until all know all",
        "s",
        |row| row.convergence,
    ),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: a death until the first knows",
        "s",
        |row| row.first_detection,
    ),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: a death until all know",
        "s",
        |row| row.full_detection,
    ),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: suspicions of the living for each member",
        "",
        |row| row.suspected,
    ),
    ScenarioFigure::new(Scenario::Loss, "loss 1%: false deaths in all", "", |row| {
        row.false_deaths
    }),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: bytes at rest, mean member",
        "B/s",
        |row| row.bytes,
    ),
    ScenarioFigure::new(
        Scenario::Loss,
        "loss 1%: bytes at rest, worst member",
        "B/s",
        |row| row.bytes_worst,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: until the first knows",
        "s",
        |row| row.first_detection,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: until all know all",
        "s",
        |row| row.full_detection,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: suspicions of the living for each member",
        "",
        |row| row.suspected,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: false deaths in all",
        "",
        |row| row.false_deaths,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: bytes in the worst second, mean member",
        "B/s",
        |row| row.bytes_after_fault,
    ),
    ScenarioFigure::new(
        Scenario::Seventh,
        "a seventh dies: bytes in the worst second, worst member",
        "B/s",
        |row| row.bytes_after_fault_worst,
    ),
    ScenarioFigure::new(
        Scenario::TwentyFirst,
        "one in 21 dies: until the first knows",
        "s",
        |row| row.first_detection,
    ),
    ScenarioFigure::new(
        Scenario::TwentyFirst,
        "one in 21 dies: until all know all",
        "s",
        |row| row.full_detection,
    ),
    ScenarioFigure::new(
        Scenario::TwentyFirst,
        "one in 21 dies: false deaths in all",
        "",
        |row| row.false_deaths,
    ),
    ScenarioFigure::new(
        Scenario::TwentyFirst,
        "one in 21 dies: bytes in the worst second, mean member",
        "B/s",
        |row| row.bytes_after_fault,
    ),
    ScenarioFigure::new(
        Scenario::Regions,
        "three regions cut for 60 s: from the mend until all know all",
        "s",
        |row| row.full_detection,
    ),
    ScenarioFigure::new(
        Scenario::Regions,
        "three regions cut for 60 s: bytes in the worst second, mean member",
        "B/s",
        |row| row.bytes_after_fault,
    ),
    ScenarioFigure::new(
        Scenario::Regions,
        "three regions cut for 60 s: bytes in the worst second, worst member",
        "B/s",
        |row| row.bytes_after_fault_worst,
    ),
    ScenarioFigure::new(
        Scenario::Restart,
        "all restarted in 60 s: from the last until all know all",
        "s",
        |row| row.full_detection,
    ),
    ScenarioFigure::new(
        Scenario::Restart,
        "all restarted in 60 s: false deaths in all",
        "",
        |row| row.false_deaths,
    ),
    ScenarioFigure::new(
        Scenario::Restart,
        "all restarted in 60 s: bytes in the worst second, mean member",
        "B/s",
        |row| row.bytes_after_fault,
    ),
    ScenarioFigure::new(
        Scenario::Restart,
        "all restarted in 60 s: bytes in the worst second, worst member",
        "B/s",
        |row| row.bytes_after_fault_worst,
    ),
];
