//! Memory, CPU and traffic of front-end processes, and the cost of the emulated coordinator.
//!
//! The sections `processes` and `lists` run real `pipithub node` processes, at several numbers of processes and of listed
//! workers. `fleet` runs hollow front ends through ordinary events, the loss of a zone, and an outage of the coordinator
//! after which all of them request a snapshot. `beyond` runs real front ends with lists near and above their bounds.

mod beyond;
mod fleet;
mod front_end;
mod hollow;
mod lists;
mod processes;

use super::{Plan, Series, SizeAxis};
use crate::Result;

/// The planned number of front ends.
const FRONT_ENDS: u64 = 1_700;
/// The planned number of workers.
const WORKERS: u64 = 16_000;
/// The number of zones: seven in each of three regions.
const ZONES: usize = 21;

/// Measures the selected sections.
pub(super) async fn measure(plan: &Plan) -> Result<Vec<Series>> {
    let folder = std::env::temp_dir().join(format!("pipithub-front-ends-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut all = Vec::new();
    if plan.wants("processes") {
        all.extend(processes::measure(plan, &folder).await?);
    }
    if plan.wants("lists") {
        all.extend(lists::measure(plan, &folder).await?);
    }
    if plan.wants("fleet") {
        all.extend(fleet::measure(plan, &folder).await?);
    }
    if plan.wants("beyond") {
        all.extend(beyond::measure(plan, &folder).await?);
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(all)
}

/// The axis of measurements on front ends.
fn axis(size_unit: &'static str, method: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "front-ends",
        size_unit,
        method,
        planned,
    }
}
