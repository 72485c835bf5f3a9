//! What names a process of the fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a process knows of the disk that it started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DiskState {
    /// It holds what the process before wrote last, as far as anybody knows.
    Intact,
    /// It was empty: whatever stood on it is gone.
    Empty,
    /// It is an older copy, for the fleet has seen a later generation: nothing on it may be believed.
    Stale,
}

/// One run of a process of the fleet. Two runs never share one: each start takes a new generation, written to disk
/// before it is used, and draws a new boot number for the case that two runs take the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The front end's name, by which the operators know it.
    pub name: String,
    /// Where its datagrams are taken.
    pub address: SocketAddr,
    /// The zone it stands in; empty where there are none.
    pub zone: String,
    /// Counts the starts of this name.
    pub generation: u64,
    /// Drawn at the start.
    pub boot_id: u64,
    /// Counts how often this run came back after others held it for dead.
    pub renewal: u32,
    /// What it knows of its disk.
    pub disk: DiskState,
}

impl Identity {
    /// Its rank among runs of the same name: of two the higher one is kept. A twin's renewals never win against the
    /// other's boot number, or two runs of one name would push each other out for ever.
    pub(crate) fn rank(&self) -> (u64, u64, u32) {
        (self.generation, self.boot_id, self.renewal)
    }

    /// Whether it is the same run, renewed or not.
    pub fn same_run(&self, other: &Identity) -> bool {
        self.name == other.name
            && self.generation == other.generation
            && self.boot_id == other.boot_id
    }
}

impl foca::Identity for Identity {
    // The engine asks for it of every member it looks at while it searches one: no allocation for names of up to 24 bytes.
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
mod tests {
    use super::*;
    use foca::Identity as _;

    fn run(generation: u64, boot_id: u64) -> Identity {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        let (name, zone) = ("front-1".into(), "a".into());
        Identity {
            name,
            address,
            zone,
            generation,
            boot_id,
            renewal: 0,
            disk: DiskState::Intact,
        }
    }

    #[test]
    fn a_later_generation_wins_whatever_was_drawn() {
        assert!(run(3, 1).win_addr_conflict(&run(2, 9)));
        assert!(!run(2, 9).win_addr_conflict(&run(3, 1)));
    }

    #[test]
    fn a_twin_that_renews_does_not_push_the_other_out() {
        let (low, high) = (run(3, 1), run(3, 2));
        let renewed = (0..100).fold(low, |id, _| id.renew().unwrap());
        assert!(high.win_addr_conflict(&renewed) && !renewed.win_addr_conflict(&high));
        assert!(!renewed.same_run(&high));
    }
}
