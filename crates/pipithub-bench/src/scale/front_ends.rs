//! What a front end's process holds, reads and asks, and what the emulated coordinator spends.
//!
//! Sections: `processes` and `lists` run real `pipithub node` processes, over their number and over the workers in the
//! list; `fleet` runs hollow front ends through an ordinary day's events, the loss of a zone, and a cut after which all
//! ask for every worker anew; `beyond` shows what real ones do with lists about and above the bounds.

mod beyond;
mod fleet;
mod front_end;
mod hollow;
mod lists;
mod processes;

use super::{Plan, Series, SizeAxis};
use crate::Result;

/// The planned numbers.
const FRONT_ENDS: u64 = 1_700;
const WORKERS: u64 = 16_000;
/// Three regions of seven zones.
const ZONES: usize = 21;

/// Measures the sections that the plan names, or all.
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

/// The axis of what is measured on front ends.
fn axis(size_unit: &'static str, method: &'static str, planned: u64) -> SizeAxis {
    SizeAxis {
        part: "front-ends",
        size_unit,
        method,
        planned,
    }
}
