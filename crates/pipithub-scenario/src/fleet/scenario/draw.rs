//! Draws the random faults of a fleet scenario.

use pipithub_conformance::fleet::Disk;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{FleetFault, FleetScenario};
use crate::schedule::ScheduledFault;
use crate::units::{MILLISECOND, SECOND};

impl FleetScenario {
    /// The faults of a run by time: those of the file and those drawn from the seed.
    pub fn faults_for_seed(&self, seed: u64) -> Vec<ScheduledFault<FleetFault>> {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = self.faults.clone();
        for _ in 0..self.drawn {
            faults.push(self.draw_scheduled_fault(&mut random));
        }
        faults.sort_by_key(|scheduled| scheduled.at);
        faults
    }

    fn draw_scheduled_fault(&self, random: &mut SmallRng) -> ScheduledFault<FleetFault> {
        let fault = self.draw_fault(random);
        let latest = self.duration.saturating_sub(2 * SECOND).max(1);
        let at = random.random_range(0..latest);
        let duration = random
            .random_range(SECOND..6 * SECOND)
            .min(self.duration.saturating_sub(at));
        ScheduledFault {
            at,
            duration,
            fault,
        }
    }

    /// Draws one fault. Member, peer and disk are drawn for every fault, whether or not its kind has them, so that their
    /// number of draws is the same for all kinds.
    fn draw_fault(&self, random: &mut SmallRng) -> FleetFault {
        let member = random.random_range(0..self.members);
        let distance = random.random_range(1..self.members);
        let peer = (member + distance) % self.members;
        let disk = [Disk::Current, Disk::Empty, Disk::Stale][random.random_range(0..3usize)];
        match random.random_range(0..10u32) {
            0..3 => FleetFault::Kill { member, disk },
            3 => FleetFault::Pause { member },
            4 => FleetFault::Cut {
                from: member,
                to: peer,
                both: random.random(),
            },
            5 => FleetFault::Flap {
                from: member,
                to: peer,
                every: random.random_range(1..3u64) * SECOND,
            },
            6 => FleetFault::Hold {
                from: member,
                to: peer,
            },
            7 => FleetFault::Split {
                zone: random.random_range(0..self.zones),
            },
            8 => FleetFault::Slow {
                delay: random.random_range(5..40u64) * MILLISECOND,
                jitter: random.random_range(1..30u64) * MILLISECOND,
            },
            _ => FleetFault::DuplicateIdentity { member },
        }
    }
}
