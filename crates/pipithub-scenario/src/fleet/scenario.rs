//! A fleet's day as a file.

use std::str::FromStr;

use kdl::KdlDocument;
use miette::NamedSource;
use pipithub_conformance::fleet::{Bounds, Disk};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{Node, ParseResult, ScenarioError};

const SECOND: u64 = 1_000_000_000;

/// What goes wrong in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// A member is killed outright and started again from such a disk.
    Kill {
        /// Which, from 0.
        member: usize,
        /// From which disk.
        disk: Disk,
    },
    /// A member is stopped by the system and continued.
    Pause {
        /// Which.
        member: usize,
    },
    /// A link passes nothing.
    Cut {
        /// From whom.
        from: usize,
        /// To whom.
        to: usize,
        /// The other direction neither.
        both: bool,
    },
    /// A link is cut and mended in turns.
    Flap {
        /// One end.
        from: usize,
        /// The other.
        to: usize,
        /// Nanoseconds between two changes.
        every: u64,
    },
    /// A link holds all back and lets it go at the end.
    Hold {
        /// From whom.
        from: usize,
        /// To whom.
        to: usize,
    },
    /// A zone is cut off from the others.
    Split {
        /// Which.
        zone: usize,
    },
    /// All links are slow.
    Slow {
        /// Nanoseconds each way.
        delay: u64,
        /// Nanoseconds that may come on top.
        jitter: u64,
    },
    /// All links lose some, and bring some twice.
    Loss {
        /// Which share is lost.
        share: f64,
    },
    /// A second process is started under a member's name, from a copy of its folder.
    DuplicateIdentity {
        /// Whose name.
        member: usize,
    },
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFleetFault {
    /// Nanoseconds from the start.
    pub at: u64,
    /// For how long.
    pub duration: u64,
    /// What.
    pub fault: FleetFault,
}

/// A fleet's day.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetScenario {
    /// Its name.
    pub name: String,
    /// Nanoseconds until all is mended; the fleet then has [`Bounds::convergence`] to become one.
    pub duration: u64,
    /// Members.
    pub members: usize,
    /// Zones; members take turns.
    pub zones: usize,
    /// How many of them, the first ones, are seeds.
    pub seeds: usize,
    /// Nanoseconds between two probes of a member.
    pub probe_period: u64,
    /// Nanoseconds that a direct answer is awaited.
    pub probe_wait: u64,
    /// How much time the fleet has.
    pub bounds: Bounds,
    /// Troubles that a seed draws, beside those written.
    pub drawn: usize,
    /// What goes wrong.
    pub faults: Vec<ScheduledFleetFault>,
}

impl FleetScenario {
    /// Whether a text is a fleet's day, and no day of calls.
    pub fn is_fleet_scenario(text: &str) -> bool {
        KdlDocument::from_str(text).is_ok_and(|d| d.get("fleet-day").is_some())
    }

    /// Reads a file.
    pub fn parse(file: &str, text: &str) -> ParseResult<FleetScenario> {
        let source = || NamedSource::new(file, text.to_string());
        let document = KdlDocument::from_str(text).map_err(|error| {
            let first = error.diagnostics.first();
            let message = first
                .and_then(|d| d.message.clone())
                .unwrap_or_else(|| "this is not KDL".into());
            Box::new(ScenarioError::new(
                message,
                source(),
                first.map_or((0, 0).into(), |d| d.span),
            ))
        })?;
        let Some(head) = document.get("fleet-day") else {
            let message = "a fleet's day begins with 'fleet-day'".to_string();
            return Err(Box::new(ScenarioError::new(
                message,
                source(),
                (0, 0).into(),
            )));
        };
        let head = Node::new(head, text, file);
        head.allow(&[
            "name",
            "length",
            "members",
            "zones",
            "seeds",
            "probe-period",
            "probe-wait",
            "found",
            "settle",
            "drawn",
        ])?;
        let members = (head.number("members", Some(7.0))? as usize).clamp(2, 32);
        let mut scenario = FleetScenario {
            name: head.text_of("name").unwrap_or(file).to_string(),
            duration: head.time("length", Some(30 * SECOND))?,
            members,
            zones: (head.number("zones", Some(3.0))? as usize).clamp(1, members),
            seeds: (head.number("seeds", Some(3.0))? as usize).clamp(1, members),
            probe_period: head.time("probe-period", Some(SECOND / 4))?,
            probe_wait: head.time("probe-wait", Some(SECOND / 12))?,
            bounds: Bounds {
                detection: head.time("found", Some(8 * SECOND))?,
                convergence: head.time("settle", Some(10 * SECOND))?,
            },
            drawn: (head.number("drawn", Some(0.0))? as usize).min(200),
            faults: Vec::new(),
        };
        for node in document
            .nodes()
            .iter()
            .filter(|n| n.name().value() != "fleet-day")
        {
            let n = Node::new(node, text, file);
            scenario.faults.push(parse_fault(&n, &scenario)?);
        }
        scenario.faults.sort_by_key(|s| s.at);
        Ok(scenario)
    }

    /// The troubles of a day: those written and those that the seed draws.
    pub fn faults_for_seed(&self, seed: u64) -> Vec<ScheduledFleetFault> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = self.faults.clone();
        for _ in 0..self.drawn {
            let (member, other) = (
                rng.random_range(0..self.members),
                rng.random_range(1..self.members),
            );
            let other = (member + other) % self.members;
            let disk = [Disk::Current, Disk::Empty, Disk::Stale][rng.random_range(0..3usize)];
            let fault = match rng.random_range(0..10u32) {
                0..3 => FleetFault::Kill { member, disk },
                3 => FleetFault::Pause { member },
                4 => FleetFault::Cut {
                    from: member,
                    to: other,
                    both: rng.random(),
                },
                5 => FleetFault::Flap {
                    from: member,
                    to: other,
                    every: rng.random_range(1..3u64) * SECOND,
                },
                6 => FleetFault::Hold {
                    from: member,
                    to: other,
                },
                7 => FleetFault::Split {
                    zone: rng.random_range(0..self.zones),
                },
                8 => FleetFault::Slow {
                    delay: rng.random_range(5..40u64) * 1_000_000,
                    jitter: rng.random_range(1..30u64) * 1_000_000,
                },
                _ => FleetFault::DuplicateIdentity { member },
            };
            let latest = self.duration.saturating_sub(2 * SECOND).max(1);
            let at = rng.random_range(0..latest);
            let duration = rng
                .random_range(SECOND..6 * SECOND)
                .min(self.duration.saturating_sub(at));
            faults.push(ScheduledFleetFault {
                at,
                duration,
                fault,
            });
        }
        faults.sort_by_key(|s| s.at);
        faults
    }
}

fn parse_fault(n: &Node<'_>, scenario: &FleetScenario) -> ParseResult<ScheduledFleetFault> {
    n.allow(&[
        "at", "for", "member", "disk", "from", "to", "both", "every", "zone", "delay", "jitter",
        "share",
    ])?;
    let member = |name: &str| -> ParseResult<usize> {
        let member = n.number(name, None)? as usize;
        if member < scenario.members {
            Ok(member)
        } else {
            n.fault(format!(
                "there are only {} members, counted from 0",
                scenario.members
            ))
        }
    };
    let fault = match n.name() {
        "kill" => FleetFault::Kill {
            member: member("member")?,
            disk: match n.text_of("disk").unwrap_or("kept") {
                "kept" => Disk::Current,
                "empty" => Disk::Empty,
                "old" => Disk::Stale,
                _ => return n.fault("a disk is \"kept\", \"empty\" or \"old\""),
            },
        },
        "pause" => FleetFault::Pause {
            member: member("member")?,
        },
        "cut" => FleetFault::Cut {
            from: member("from")?,
            to: member("to")?,
            both: n.flag("both"),
        },
        "flap" => FleetFault::Flap {
            from: member("from")?,
            to: member("to")?,
            every: n.time("every", Some(2 * SECOND))?.max(10_000_000),
        },
        "hold" => FleetFault::Hold {
            from: member("from")?,
            to: member("to")?,
        },
        "split" => {
            let zone = n.number("zone", None)? as usize;
            if zone >= scenario.zones {
                return n.fault(format!(
                    "there are only {} zones, counted from 0",
                    scenario.zones
                ));
            }
            FleetFault::Split { zone }
        }
        "slow" => FleetFault::Slow {
            delay: n.time("delay", None)?,
            jitter: n.time("jitter", Some(0))?,
        },
        "loss" => FleetFault::Loss {
            share: n.number("share", None)?.min(1.0),
        },
        "twin" => FleetFault::DuplicateIdentity {
            member: member("member")?,
        },
        other => return n.fault(format!("a fleet's day has no '{other}'")),
    };
    Ok(ScheduledFleetFault {
        at: n.time("at", None)?,
        duration: n.time("for", Some(3 * SECOND))?,
        fault,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fleet_scenario_is_read_and_its_errors_are_named() {
        let text = "fleet-day name=\"x\" members=5 zones=2\nkill at=\"2s\" member=1 disk=\"old\"\ncut at=\"1s\" from=0 to=4 both=#true\n";
        assert!(FleetScenario::is_fleet_scenario(text));
        let scenario = FleetScenario::parse("x", text).unwrap();
        assert_eq!(
            scenario.faults[0].fault,
            FleetFault::Cut {
                from: 0,
                to: 4,
                both: true
            }
        );
        assert_eq!(
            scenario.faults[1].fault,
            FleetFault::Kill {
                member: 1,
                disk: Disk::Stale
            }
        );
        for bad in [
            "kill at=\"2s\" member=5",
            "kill member=1",
            "burn at=\"1s\"",
            "kill at=\"1s\" member=1 disk=\"new\"",
        ] {
            assert!(
                FleetScenario::parse("x", &format!("fleet-day members=5\n{bad}\n")).is_err(),
                "{bad}"
            );
        }
    }

    #[test]
    fn equal_seeds_draw_equal_faults() {
        let scenario =
            FleetScenario::parse("x", "fleet-day members=5 drawn=20 length=\"20s\"\n").unwrap();
        assert_eq!(scenario.faults_for_seed(3), scenario.faults_for_seed(3));
        assert_ne!(scenario.faults_for_seed(3), scenario.faults_for_seed(4));
        assert!(
            scenario
                .faults_for_seed(3)
                .iter()
                .all(|s| s.at + s.duration <= scenario.duration)
        );
    }
}
