//! How a change of configuration reaches all front ends today: a file for each and SIGHUP. What carries a change to all
//! of them is this part's own loop, in place of the operators' hands; nothing in the product does.

mod reading;
mod site;

use std::path::Path;
use std::time::{Duration, Instant};

use site::{Coordinator, Site};

use super::{Plan, Series};
use crate::Result;

/// The front ends that are planned for.
const PLANNED: u64 = 1_700;
/// Changes of a day, and within what each is to be in force everywhere.
const CHANGES_PER_DAY: f64 = 1_500.0;
const SECONDS_PER_CHANGE: f64 = 4.0;
/// Processes on one machine: the largest is a tenth of the plan.
const FRONT_ENDS: [u64; 6] = [1, 3, 10, 30, 100, 200];

/// What one play at one size showed; times in seconds from the first file that was written.
#[derive(Default)]
struct Play {
    /// Until the last front end had asked the new coordinator.
    all: f64,
    /// From each one's SIGHUP until it asked; the median and the last.
    one: f64,
    one_last: f64,
    /// CPU of all front ends together.
    cpu: f64,
    /// Bytes of files written and of requests for the list.
    written: f64,
    asked: f64,
    /// A second change to each right behind the first.
    two_in_a_row: f64,
    /// A change that comes when half of the front ends have the former, until all have it.
    overtaken: f64,
    /// Front ends that were left on the former where nobody begins the handing out anew.
    left_behind: f64,
    /// From the completion of files that were half written at SIGHUP until all had them.
    half_written: f64,
    /// Everything but the coordinator's address: a stop and a new start of all at once.
    restart: f64,
}

/// Measures processes first, then what reading a configuration costs as it grows.
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let folder = tempfile::tempdir()?;
    let mut plays: Vec<(u64, Vec<Play>)> = Vec::new();
    for size in plan.sizes_or(&FRONT_ENDS) {
        plays.push((size, at_size(plan, size as usize, folder.path()).await?));
    }
    type Figure = (&'static str, &'static str, fn(&Play) -> f64);
    let figures: [Figure; 11] = [
        (
            "all on the new coordinator after files and SIGHUP",
            "ms",
            |p| p.all * 1e3,
        ),
        ("one on it after its SIGHUP, median", "ms", |p| p.one * 1e3),
        ("one on it after its SIGHUP, last", "ms", |p| {
            p.one_last * 1e3
        }),
        ("CPU of all front ends for one change", "ms", |p| {
            p.cpu * 1e3
        }),
        ("bytes of files written for one change", "bytes", |p| {
            p.written
        }),
        (
            "bytes of requests for the list after one change",
            "bytes",
            |p| p.asked,
        ),
        ("two changes in a row, all on the second", "ms", |p| {
            p.two_in_a_row * 1e3
        }),
        (
            "changed again at half of the handing out, all on the second",
            "ms",
            |p| p.overtaken * 1e3,
        ),
        (
            "left on the former where the handing out is not begun anew",
            "front ends",
            |p| p.left_behind,
        ),
        (
            "files half written at SIGHUP, all on it after their completion",
            "ms",
            |p| p.half_written * 1e3,
        ),
        (
            "all restarted at once, which everything else needs",
            "ms",
            |p| p.restart * 1e3,
        ),
    ];
    let mut all = Vec::new();
    for (what, unit, figure) in figures {
        let mut series = Series::new("settings", what, unit, "front ends", "processes", PLANNED);
        for (size, plays) in &plays {
            series.push(*size, plays.iter().map(figure).collect());
        }
        all.push(series);
    }
    all.extend(reading::measure(plan, folder.path()).await?);
    println!("\nsettings: what one change takes today, by hand for each front end");
    println!(
        "  the coordinator's address: write the file beside, rename it, SIGHUP, look for its line in the log (4 steps)"
    );
    println!(
        "  anything else: the file, SIGTERM, wait for its end, start it, ask isWell (5 steps)"
    );
    println!(
        "  {CHANGES_PER_DAY} changes a day are one each {:.1} s; for {PLANNED} front ends {:.0} files and signals a second on \
         average, {:.0} a second where each must be in force within {SECONDS_PER_CHANGE} s",
        86_400.0 / CHANGES_PER_DAY,
        CHANGES_PER_DAY * PLANNED as f64 / 86_400.0,
        PLANNED as f64 / SECONDS_PER_CHANGE
    );
    println!(
        "  not there: anything that hands a change out, a version that a front end can be asked for, a way back"
    );
    Ok(all)
}

/// Plays at one size, on one set of processes.
async fn at_size(plan: &Plan, size: usize, folder: &Path) -> Result<Vec<Play>> {
    let mut site = Site::start(&plan.binary, folder, size, 1, 1).await?;
    let mut plays = Vec::new();
    for _ in 0..plan.plays {
        let mut play = Play::default();
        one_change(&mut site, &mut play).await?;
        play.two_in_a_row = two_in_a_row(&mut site).await?;
        (play.overtaken, play.left_behind) = overtaken(&mut site).await?;
        play.half_written = half_written(&mut site).await?;
        play.restart = site.restart().await?;
        plays.push(play);
    }
    site.stop().await;
    Ok(plays)
}

async fn one_change(site: &mut Site, play: &mut Play) -> Result<()> {
    let (to, cpu) = (site.next_coordinator(), site.cpu());
    let begun = Instant::now();
    let mut signalled = Vec::new();
    for n in 0..site.size() {
        play.written += site.replace(n, to)? as f64;
        signalled.push(Instant::now());
        site.reload(n)?;
    }
    let asked = site.requests_of_all(to).await?;
    let last = asked.iter().map(|a| a.at).max().unwrap_or(begun);
    let mut each: Vec<f64> = asked
        .iter()
        .map(|a| (a.at - signalled[a.node]).as_secs_f64())
        .collect();
    each.sort_by(f64::total_cmp);
    play.all = (last - begun).as_secs_f64();
    play.one = each[each.len() / 2];
    play.one_last = each[each.len() - 1];
    play.asked = asked.iter().map(|a| a.bytes as f64).sum();
    play.cpu = site.cpu() - cpu;
    Ok(())
}

async fn two_in_a_row(site: &mut Site) -> Result<f64> {
    let (first, second) = (site.next_coordinator(), site.next_coordinator());
    let begun = Instant::now();
    for n in 0..site.size() {
        site.replace(n, first)?;
        site.reload(n)?;
        site.replace(n, second)?;
        site.reload(n)?;
    }
    settled(site, second, begun).await
}

/// The second change comes when half of the front ends were told of the first.
async fn overtaken(site: &mut Site) -> Result<(f64, f64)> {
    let (first, second) = (site.next_coordinator(), site.next_coordinator());
    let half = site.size() / 2;
    for n in 0..half {
        site.replace(n, first)?;
        site.reload(n)?;
    }
    // The rest gets the second at once. Who was told of the first stays with it for as long as nobody starts again.
    let begun = Instant::now();
    for n in half..site.size() {
        site.replace(n, second)?;
        site.reload(n)?;
    }
    let on_first = site.requests(first, half).await?.len();
    site.requests(second, site.size() - half).await?;
    for n in 0..half {
        site.replace(n, second)?;
        site.reload(n)?;
    }
    let last = site
        .requests(second, half)
        .await?
        .iter()
        .map(|a| a.at)
        .max();
    Ok((
        (last.unwrap_or_else(Instant::now) - begun).as_secs_f64(),
        on_first as f64,
    ))
}

async fn half_written(site: &mut Site) -> Result<f64> {
    let to = site.next_coordinator();
    for n in 0..site.size() {
        site.write_half(n, to)?;
        site.reload(n)?;
    }
    site.all_log(site::LogEvent::Kept).await?;
    let begun = Instant::now();
    for n in 0..site.size() {
        site.write_complete(n, to)?;
    }
    settled(site, to, begun).await
}

/// Waits until all front ends have asked a coordinator; fails where one asks an older one afterwards.
async fn settled(site: &mut Site, to: Coordinator, begun: Instant) -> Result<f64> {
    let asked = site.requests_of_all(to).await?;
    let last = asked.iter().map(|a| a.at).max().unwrap_or(begun);
    // Long beside the time from a signal to the question.
    site.ensure_no_requests_to_others(to, Duration::from_millis(200))
        .await?;
    Ok((last - begun).as_secs_f64())
}
