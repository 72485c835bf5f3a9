//! A fleet's day as a file.

use std::str::FromStr;

use kdl::KdlDocument;
use miette::NamedSource;
use pipithub_conformance::fleet::{Bounds, Disk};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{Node, Read, Unreadable};

const SECOND: u64 = 1_000_000_000;

/// What goes wrong in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetTrouble {
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
    Twin {
        /// Whose name.
        member: usize,
    },
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStep {
    /// Nanoseconds from the start.
    pub at: u64,
    /// For how long.
    pub length: u64,
    /// What.
    pub trouble: FleetTrouble,
}

/// A fleet's day.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetDay {
    /// Its name.
    pub name: String,
    /// Nanoseconds until all is mended; the fleet then has [`Bounds::convergence`] to become one.
    pub length: u64,
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
    pub steps: Vec<FleetStep>,
}

impl FleetDay {
    /// Whether a text is a fleet's day, and no day of calls.
    pub fn is_one(text: &str) -> bool {
        KdlDocument::from_str(text).is_ok_and(|d| d.get("fleet-day").is_some())
    }

    /// Reads a file.
    pub fn parse(file: &str, text: &str) -> Read<FleetDay> {
        let source = || NamedSource::new(file, text.to_string());
        let document = KdlDocument::from_str(text).map_err(|error| {
            let first = error.diagnostics.first();
            let message = first
                .and_then(|d| d.message.clone())
                .unwrap_or_else(|| "this is not KDL".into());
            Box::new(Unreadable::new(
                message,
                source(),
                first.map_or((0, 0).into(), |d| d.span),
            ))
        })?;
        let Some(head) = document.get("fleet-day") else {
            let message = "a fleet's day begins with 'fleet-day'".to_string();
            return Err(Box::new(Unreadable::new(message, source(), (0, 0).into())));
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
        let mut day = FleetDay {
            name: head.text_of("name").unwrap_or(file).to_string(),
            length: head.time("length", Some(30 * SECOND))?,
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
            steps: Vec::new(),
        };
        for node in document
            .nodes()
            .iter()
            .filter(|n| n.name().value() != "fleet-day")
        {
            let n = Node::new(node, text, file);
            day.steps.push(step(&n, &day)?);
        }
        day.steps.sort_by_key(|s| s.at);
        Ok(day)
    }

    /// The troubles of a day: those written and those that the seed draws.
    pub fn steps(&self, seed: u64) -> Vec<FleetStep> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = self.steps.clone();
        for _ in 0..self.drawn {
            let (member, other) = (
                rng.random_range(0..self.members),
                rng.random_range(1..self.members),
            );
            let other = (member + other) % self.members;
            let disk = [Disk::Current, Disk::Empty, Disk::Stale][rng.random_range(0..3usize)];
            let trouble = match rng.random_range(0..10u32) {
                0..3 => FleetTrouble::Kill { member, disk },
                3 => FleetTrouble::Pause { member },
                4 => FleetTrouble::Cut {
                    from: member,
                    to: other,
                    both: rng.random(),
                },
                5 => FleetTrouble::Flap {
                    from: member,
                    to: other,
                    every: rng.random_range(1..3u64) * SECOND,
                },
                6 => FleetTrouble::Hold {
                    from: member,
                    to: other,
                },
                7 => FleetTrouble::Split {
                    zone: rng.random_range(0..self.zones),
                },
                8 => FleetTrouble::Slow {
                    delay: rng.random_range(5..40u64) * 1_000_000,
                    jitter: rng.random_range(1..30u64) * 1_000_000,
                },
                _ => FleetTrouble::Twin { member },
            };
            let latest = self.length.saturating_sub(2 * SECOND).max(1);
            let at = rng.random_range(0..latest);
            let length = rng
                .random_range(SECOND..6 * SECOND)
                .min(self.length.saturating_sub(at));
            steps.push(FleetStep {
                at,
                length,
                trouble,
            });
        }
        steps.sort_by_key(|s| s.at);
        steps
    }
}

fn step(n: &Node<'_>, day: &FleetDay) -> Read<FleetStep> {
    n.allow(&[
        "at", "for", "member", "disk", "from", "to", "both", "every", "zone", "delay", "jitter",
        "share",
    ])?;
    let member = |name: &str| -> Read<usize> {
        let member = n.number(name, None)? as usize;
        if member < day.members {
            Ok(member)
        } else {
            n.fault(format!(
                "there are only {} members, counted from 0",
                day.members
            ))
        }
    };
    let trouble = match n.name() {
        "kill" => FleetTrouble::Kill {
            member: member("member")?,
            disk: match n.text_of("disk").unwrap_or("kept") {
                "kept" => Disk::Current,
                "empty" => Disk::Empty,
                "old" => Disk::Stale,
                _ => return n.fault("a disk is \"kept\", \"empty\" or \"old\""),
            },
        },
        "pause" => FleetTrouble::Pause {
            member: member("member")?,
        },
        "cut" => FleetTrouble::Cut {
            from: member("from")?,
            to: member("to")?,
            both: n.flag("both"),
        },
        "flap" => FleetTrouble::Flap {
            from: member("from")?,
            to: member("to")?,
            every: n.time("every", Some(2 * SECOND))?.max(10_000_000),
        },
        "hold" => FleetTrouble::Hold {
            from: member("from")?,
            to: member("to")?,
        },
        "split" => {
            let zone = n.number("zone", None)? as usize;
            if zone >= day.zones {
                return n.fault(format!(
                    "there are only {} zones, counted from 0",
                    day.zones
                ));
            }
            FleetTrouble::Split { zone }
        }
        "slow" => FleetTrouble::Slow {
            delay: n.time("delay", None)?,
            jitter: n.time("jitter", Some(0))?,
        },
        "loss" => FleetTrouble::Loss {
            share: n.number("share", None)?.min(1.0),
        },
        "twin" => FleetTrouble::Twin {
            member: member("member")?,
        },
        other => return n.fault(format!("a fleet's day has no '{other}'")),
    };
    Ok(FleetStep {
        at: n.time("at", None)?,
        length: n.time("for", Some(3 * SECOND))?,
        trouble,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_is_read_and_its_faults_are_named() {
        let text = "fleet-day name=\"x\" members=5 zones=2\nkill at=\"2s\" member=1 disk=\"old\"\ncut at=\"1s\" from=0 to=4 both=#true\n";
        assert!(FleetDay::is_one(text));
        let day = FleetDay::parse("x", text).unwrap();
        assert_eq!(
            day.steps[0].trouble,
            FleetTrouble::Cut {
                from: 0,
                to: 4,
                both: true
            }
        );
        assert_eq!(
            day.steps[1].trouble,
            FleetTrouble::Kill {
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
                FleetDay::parse("x", &format!("fleet-day members=5\n{bad}\n")).is_err(),
                "{bad}"
            );
        }
    }

    #[test]
    fn equal_seeds_draw_equal_troubles() {
        let day = FleetDay::parse("x", "fleet-day members=5 drawn=20 length=\"20s\"\n").unwrap();
        assert_eq!(day.steps(3), day.steps(3));
        assert_ne!(day.steps(3), day.steps(4));
        assert!(day.steps(3).iter().all(|s| s.at + s.length <= day.length));
    }
}
