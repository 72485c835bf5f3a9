//! Reads what running members claim of each other from the reports in their data folders.

use pipithub_conformance::fleet::{Belief, Claim};
use pipithub_membership_runtime::{DataFolder, Report};

use super::cluster::Cluster;
use crate::units::MILLISECOND;

impl Cluster<'_> {
    /// Adds the newest claim of each running process to the history, and points relays to processes that have just
    /// reported their address.
    pub(super) fn sample_claims(&mut self) {
        for slot in 0..self.slots.len() {
            self.sample_claim(slot);
        }
    }

    fn sample_claim(&mut self, slot: usize) {
        let Some(run) = self.slots[slot].run else {
            return;
        };
        let Some(report) = self.read_report(slot) else {
            return;
        };
        if !self.slots[slot].reachable {
            self.slots[slot].reachable = true;
            self.point_relays_to(slot, report.listen.parse().ok());
        }
        let at = report.at_ms * MILLISECOND;
        let last = self.history.claims.iter().rfind(|claim| claim.run == run);
        if last.is_none_or(|last| last.at < at) {
            self.history.claims.push(claim_of(report, run, at));
        }
    }

    /// The report of the process that runs in a slot; `None` if no process runs there, it is paused, or it has not written a
    /// report yet.
    fn read_report(&self, slot: usize) -> Option<Report> {
        let data = self.data_folder(slot);
        let slot = &self.slots[slot];
        let process = slot.process.as_ref()?;
        if slot.paused_since.is_some() {
            return None;
        }
        let bytes = DataFolder::read_report(&data).ok()?;
        let report: Report = serde_json::from_slice(&bytes).ok()?;
        (process.id() == Some(report.process_id)).then_some(report)
    }

    /// Whether the process of a slot has made a claim since the end of the history.
    pub(super) fn has_last_claim(&self, slot: usize) -> bool {
        let run = self.slots[slot].run;
        let end = self.history.end;
        let mut claims = self.history.claims.iter();
        claims.any(|claim| Some(claim.run) == run && claim.at >= end)
    }
}

fn claim_of(report: Report, run: usize, at: u64) -> Claim {
    let belief_in = |state: &str| match state {
        "down" => Belief::Dead,
        _ => Belief::Alive,
    };
    let members = report.members.into_iter();
    Claim {
        at,
        run,
        joined: report.local.state == "joined",
        generation: report.local.generation,
        disk: report.local.disk,
        others: members
            .map(|member| (member.name, belief_in(&member.state)))
            .collect(),
    }
}
