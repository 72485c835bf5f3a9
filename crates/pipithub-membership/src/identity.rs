//! The identity of a process of the cluster.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a process knows about the disk that it started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DiskState {
    /// It holds what the former run wrote last, as far as anybody knows.
    Intact,
    /// It was empty: whatever was on it is lost.
    Empty,
    /// It is an older copy, because the cluster has seen a later generation: nothing on it may be trusted.
    Stale,
}

/// One run of a process of the cluster. Two runs never share an identity: each start takes a new generation, written to
/// disk before it is used, and draws a random boot id in case two runs take the same generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the front end, by which operators know it.
    pub name: String,
    /// Address that it receives datagrams on.
    pub address: SocketAddr,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Counts the starts of this name.
    pub generation: u64,
    /// Drawn at random at the start.
    pub boot_id: u64,
    /// Counts how often this run came back after others declared it dead.
    pub renewal: u32,
    /// What it knows about its disk.
    pub disk: DiskState,
}

/// Order of the runs of one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    generation: u64,
    boot_id: u64,
    renewal: u32,
}

impl Identity {
    /// Its rank among the runs of its name: of two, the higher one stays. Renewals count least, because two runs with one
    /// name would otherwise displace each other for ever.
    pub(crate) fn rank(&self) -> Rank {
        Rank {
            generation: self.generation,
            boot_id: self.boot_id,
            renewal: self.renewal,
        }
    }

    /// Whether it is the same run, renewed or not.
    pub fn same_run(&self, other: &Identity) -> bool {
        self.name == other.name
            && self.generation == other.generation
            && self.boot_id == other.boot_id
    }
}

impl foca::Identity for Identity {
    // The engine asks for it for every member that it compares in a search; names of up to 24 bytes need no allocation.
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
