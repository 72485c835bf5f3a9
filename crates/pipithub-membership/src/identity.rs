//! The identity of a member, and the order of two runs with one name.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a process knows about the data folder that it started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DiskState {
    /// It holds what the former run wrote last, as far as this process and the members that it asked know.
    Intact,
    /// It held no generation record: whatever former runs stored is lost.
    Empty,
    /// It is an old copy, because the cluster has seen a later generation. Its content must not be relied on.
    Stale,
}

/// Identifies one run of a front end. Each start takes a new generation, which is on disk before it is used. Two runs
/// can still take the same generation, from copies of one disk; the random boot id distinguishes them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the front end in the settings; the same in all of its runs.
    pub name: String,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Name of its zone; empty if it has none.
    pub zone: String,
    /// Number of the start under this name, from 1.
    pub generation: u64,
    /// Random number, drawn at the start.
    pub boot_id: u64,
    /// How often this run took a new identity to become a member again, for example after other members declared it
    /// dead.
    pub renewal: u32,
    /// State of the data folder that it started with.
    pub disk: DiskState,
}

/// Order of the runs of one name, by generation, then boot id, then renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    generation: u64,
    boot_id: u64,
    renewal: u32,
}

impl Identity {
    /// Rank among the runs of one name: of two runs that are both members, the one of higher rank stays. Renewals count
    /// least, because two runs of one name would otherwise displace each other forever.
    pub(crate) fn rank(&self) -> Rank {
        Rank {
            generation: self.generation,
            boot_id: self.boot_id,
            renewal: self.renewal,
        }
    }

    /// Whether both identities belong to the same run; they may differ in their renewals.
    pub fn same_run(&self, other: &Identity) -> bool {
        self.name == other.name
            && self.generation == other.generation
            && self.boot_id == other.boot_id
    }
}

impl foca::Identity for Identity {
    // The engine calls `addr` for every member that it compares in a search. `CompactString` holds names of up to 24
    // bytes without an allocation.
    type Addr = CompactString;

    fn renew(&self) -> Option<Self> {
        Some(Identity {
            renewal: self.renewal.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> CompactString {
        CompactString::new(&self.name)
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.rank() > adversary.rank()
    }
}

#[cfg(test)]
mod tests;
