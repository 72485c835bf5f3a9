//! The time until a change of configuration has reached all front ends: a file for each of them and SIGHUP. The product
//! has no means to distribute a change, so a loop of this benchmark replaces the operators.

mod configuration;
mod coordinator;
mod reading;
mod site;

use std::path::Path;
use std::time::{Duration, Instant};

use coordinator::{Coordinator, ListRequest};
use site::{LogEvent, Site};

use super::{Figure, Plan, RunsAtSize, Series, SizeAxis};
use crate::Result;

/// The planned number of front ends.
const PLANNED: u64 = 1_700;
/// The planned number of changes per day.
const CHANGES_PER_DAY: f64 = 1_500.0;
/// The time in which each change must be in force everywhere.
const SECONDS_PER_CHANGE: f64 = 4.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// The measured numbers of processes; the largest is about a tenth of the plan.
const FRONT_ENDS: [u64; 6] = [1, 3, 10, 30, 100, 200];
/// How long after a change no request may go to a former coordinator: long compared with the reaction to a signal.
const SETTLING_TIME: Duration = Duration::from_millis(200);
const AXIS: SizeAxis = SizeAxis {
    part: "settings",
    size_unit: "front ends",
    method: "processes",
    planned: PLANNED,
};

/// The results of one run; times are in seconds.
struct RunResult {
    change: Change,
    /// The time from the first written file until all front ends have the second of two changes in direct succession.
    two_in_a_row: f64,
    overtaken: Overtaken,
    /// The time from the completion of files that were half written at SIGHUP until all front ends had read them.
    half_written: f64,
    /// The time of a restart of all front ends at once, which all settings but the coordinator's address need.
    restart: f64,
}

/// The cost of one change. Times are from the first written file unless stated otherwise.
struct Change {
    /// The time until the last front end had sent a request to the new coordinator.
    all: f64,
    /// The time from the SIGHUP to a front end until its request: the median.
    one_median: f64,
    /// The same for the slowest front end.
    one_last: f64,
    /// CPU time of all front ends, in seconds.
    cpu: f64,
    /// Bytes of the written files.
    written_bytes: f64,
    /// Bytes of the requests for the endpoint list.
    request_bytes: f64,
}

/// A change that starts when half of the front ends have the previous one.
struct Overtaken {
    /// The time from the start of the second change until all front ends have it.
    all: f64,
    /// Front ends that would keep the previous change if its distribution were not repeated.
    left_behind: f64,
}

const FIGURES: [Figure<RunResult>; 11] = [
    Figure::new(
        "all on the new coordinator after files and SIGHUP",
        "ms",
        |p| p.change.all * 1e3,
    ),
    Figure::new("one on it after its SIGHUP, median", "ms", |p| {
        p.change.one_median * 1e3
    }),
    Figure::new("one on it after its SIGHUP, last", "ms", |p| {
        p.change.one_last * 1e3
    }),
    Figure::new("CPU of all front ends for one change", "ms", |p| {
        p.change.cpu * 1e3
    }),
    Figure::new("bytes of files written for one change", "bytes", |p| {
        p.change.written_bytes
    }),
    Figure::new(
        "bytes of requests for the list after one change",
        "bytes",
        |p| p.change.request_bytes,
    ),
    Figure::new("two changes in a row, all on the second", "ms", |p| {
        p.two_in_a_row * 1e3
    }),
    Figure::new(
        "changed again at half of the handing out, all on the second",
        "ms",
        |p| p.overtaken.all * 1e3,
    ),
    Figure::new(
        "left on the former where the handing out is not begun anew",
        "front ends",
        |p| p.overtaken.left_behind,
    ),
    Figure::new(
        "files half written at SIGHUP, all on it after their completion",
        "ms",
        |p| p.half_written * 1e3,
    ),
    Figure::new(
        "all restarted at once, which everything else needs",
        "ms",
        |p| p.restart * 1e3,
    ),
];

/// Measures the distribution of changes, then the cost of reading a configuration.
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let folder = tempfile::tempdir()?;
    let mut sizes = Vec::new();
    for size in plan.sizes_or(&FRONT_ENDS) {
        let runs = run_all(plan, size as usize, folder.path()).await?;
        sizes.push(RunsAtSize { size, runs });
    }
    let mut all = AXIS.tabulate(&FIGURES, &sizes);
    all.extend(reading::measure(plan, folder.path()).await?);
    print_steps();
    Ok(all)
}

fn print_steps() {
    println!("\nsettings: the steps of one change, by hand for each front end");
    println!(
        "  the coordinator's address: write a new file, rename it, send SIGHUP, check the log (4 steps)"
    );
    println!(
        "  any other setting: write the file, send SIGTERM, wait for the end, start the process, check isWell (5 steps)"
    );
    println!(
        "  {CHANGES_PER_DAY} changes per day are one every {:.1} s; with {PLANNED} front ends that is {:.0} files and signals per second on \
         average, or {:.0} per second if each must be in force within {SECONDS_PER_CHANGE} s",
        SECONDS_PER_DAY / CHANGES_PER_DAY,
        CHANGES_PER_DAY * PLANNED as f64 / SECONDS_PER_DAY,
        PLANNED as f64 / SECONDS_PER_CHANGE
    );
    println!(
        "  missing: a means to distribute changes, a configuration version that front ends report, a rollback"
    );
}

/// All runs at one size, with one set of processes.
async fn run_all(plan: &Plan, size: usize, folder: &Path) -> Result<Vec<RunResult>> {
    let mut site = Site::start(&plan.binary, folder, size, 1, 1).await?;
    let mut runs = Vec::new();
    for _ in 0..plan.runs {
        runs.push(RunResult {
            change: one_change(&mut site).await?,
            two_in_a_row: two_in_a_row(&mut site).await?,
            overtaken: overtaken(&mut site).await?,
            half_written: half_written(&mut site).await?,
            restart: site.restart().await?,
        });
    }
    site.stop().await;
    Ok(runs)
}

async fn one_change(site: &mut Site) -> Result<Change> {
    let to = site.next_coordinator();
    let cpu_before = site.cpu_seconds();
    let begun = Instant::now();
    let mut written_bytes = 0.0;
    let mut signalled = Vec::new();
    for front_end in 0..site.size() {
        written_bytes += site.replace(front_end, to)? as f64;
        signalled.push(Instant::now());
        site.reload(front_end)?;
    }
    let requests = site.requests_of_all(to).await?;
    let mut each: Vec<f64> = requests
        .iter()
        .map(|request| (request.at - signalled[request.front_end]).as_secs_f64())
        .collect();
    each.sort_by(f64::total_cmp);
    Ok(Change {
        all: seconds_until_last(&requests, begun),
        one_median: each[each.len() / 2],
        one_last: each[each.len() - 1],
        written_bytes,
        request_bytes: requests.iter().map(|request| request.bytes as f64).sum(),
        cpu: site.cpu_seconds() - cpu_before,
    })
}

async fn two_in_a_row(site: &mut Site) -> Result<f64> {
    let first = site.next_coordinator();
    let second = site.next_coordinator();
    let begun = Instant::now();
    for front_end in 0..site.size() {
        change(site, front_end, first)?;
        change(site, front_end, second)?;
    }
    settled(site, second, begun).await
}

/// Starts a second change when half of the front ends have been signalled for the first.
async fn overtaken(site: &mut Site) -> Result<Overtaken> {
    let first = site.next_coordinator();
    let second = site.next_coordinator();
    let half = site.size() / 2;
    for front_end in 0..half {
        change(site, front_end, first)?;
    }
    // The others get the second change at once. Those with the first keep it until the distribution is repeated.
    let begun = Instant::now();
    for front_end in half..site.size() {
        change(site, front_end, second)?;
    }
    let on_first = site.requests(first, half).await?.len();
    site.requests(second, site.size() - half).await?;
    for front_end in 0..half {
        change(site, front_end, second)?;
    }
    let requests = site.requests(second, half).await?;
    let last = requests.iter().map(|request| request.at).max();
    Ok(Overtaken {
        all: (last.unwrap_or_else(Instant::now) - begun).as_secs_f64(),
        left_behind: on_first as f64,
    })
}

async fn half_written(site: &mut Site) -> Result<f64> {
    let to = site.next_coordinator();
    for front_end in 0..site.size() {
        site.write_half(front_end, to)?;
        site.reload(front_end)?;
    }
    site.all_log(LogEvent::Kept).await?;
    let begun = Instant::now();
    for front_end in 0..site.size() {
        site.write_complete(front_end, to)?;
    }
    settled(site, to, begun).await
}

/// Replaces the configuration of a front end and signals it.
fn change(site: &Site, front_end: usize, to: Coordinator) -> Result<()> {
    site.replace(front_end, to)?;
    site.reload(front_end)
}

/// Waits until all front ends have sent a request to a coordinator; returns the seconds since `begun`. Fails if one sends
/// a request to a former coordinator afterwards.
async fn settled(site: &mut Site, to: Coordinator, begun: Instant) -> Result<f64> {
    let requests = site.requests_of_all(to).await?;
    let seconds = seconds_until_last(&requests, begun);
    site.ensure_no_requests_to_others(to, SETTLING_TIME).await?;
    Ok(seconds)
}

/// Seconds until the last of these requests; 0 if there are none.
fn seconds_until_last(requests: &[ListRequest], begun: Instant) -> f64 {
    let last = requests.iter().map(|request| request.at).max();
    (last.unwrap_or(begun) - begun).as_secs_f64()
}
