//! Copies the members of the failure detector into the member table, and reports the changes as events.

use std::net::IpAddr;

use super::Membership;
use crate::event::{Event, Output};
use crate::identity::Identity;
use crate::view::{Member, MemberState};

impl From<foca::State> for MemberState {
    fn from(state: foca::State) -> MemberState {
        match state {
            foca::State::Alive => MemberState::Alive,
            foca::State::Suspect => MemberState::Suspect,
            foca::State::Down => MemberState::Down,
        }
    }
}

impl Membership {
    /// Compares the engine's members with the table, and reports what changed.
    pub(super) fn reconcile_members(&mut self, out: &mut Vec<Output>) {
        let Some(engine) = &self.engine else { return };
        // Most messages change no member. Looking up every member by name after each message took most of the CPU
        // time, and its cost grew faster than the cluster, so a checksum over all members is compared first.
        let checksum = engine
            .iter_membership_state()
            .fold(0u64, |sum, member| sum.wrapping_add(member_hash(member)));
        if self.last_checksum.replace(checksum) == Some(checksum) {
            return;
        }
        self.full_comparisons += 1;
        for member in engine.iter_membership_state() {
            let identity = member.id();
            let state = MemberState::from(member.state());
            let Some(change) = self.table.update(identity, state, self.now) else {
                continue;
            };
            if let Some(before) = change.replaced_run() {
                out.push(Output::Event(Event::Replaced {
                    previous: before.clone(),
                    current: identity.clone(),
                }));
            }
            if let Some(event) = change_event(change.previous_state(), change.after) {
                out.push(Output::Event(event));
            }
        }
    }
}

/// The event for a member whose run was in the state `previous` before; `previous` is `None` if the run was unknown.
/// Returns `None` if the change is not reported.
fn change_event(previous: Option<MemberState>, member: &Member) -> Option<Event> {
    match (previous, member.state) {
        (Some(MemberState::Suspect | MemberState::Alive), MemberState::Alive) => None,
        (_, MemberState::Alive) => Some(Event::Up(member.clone())),
        (Some(MemberState::Suspect), MemberState::Suspect) => None,
        (_, MemberState::Suspect) => Some(Event::Suspected(member.clone())),
        // The death of a run that was never known to be alive is not reported.
        (Some(MemberState::Down) | None, MemberState::Down) => None,
        (Some(previous), MemberState::Down) => Some(Event::Down {
            member: member.clone(),
            suspected: previous == MemberState::Suspect,
        }),
    }
}

/// The part of the checksum that a member contributes. It covers the run, the renewal, the address and the state. Boot
/// ids are random, so that two different sets of members have the same checksum as rarely as two random numbers are
/// equal.
fn member_hash(member: &foca::Member<Identity>) -> u64 {
    let identity = member.id();
    let ip = match identity.address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    let state = match member.state() {
        foca::State::Alive => 1u64,
        foca::State::Suspect => 2,
        foca::State::Down => 3,
    };
    let port = u64::from(identity.address.port());
    let renewal_port_state = (u64::from(identity.renewal) << 32) | (port << 4) | state;
    [
        identity.boot_id,
        identity.generation,
        ip,
        renewal_port_state,
    ]
    .into_iter()
    .fold(0, |hash, part| mix(hash ^ part))
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
