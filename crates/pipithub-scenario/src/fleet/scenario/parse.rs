//! Parses the files of fleet scenarios.

use std::str::FromStr;

use kdl::KdlDocument;
use pipithub_conformance::fleet::{Bounds, Disk};

use super::{FleetFault, FleetScenario};
use crate::document::{Document, Node, ParseResult};
use crate::schedule::ScheduledFault;
use crate::units::{MILLISECOND, SECOND};

/// The node that marks the scenario of a fleet and holds its settings.
const HEAD: &str = "fleet-day";
/// The properties that faults of any kind may have.
const FAULT_PROPERTIES: [&str; 12] = [
    "at", "for", "member", "disk", "from", "to", "both", "every", "zone", "delay", "jitter",
    "share",
];

impl FleetScenario {
    /// Whether a text is the scenario of a fleet; false if it is one of requests or not KDL.
    pub fn is_fleet_scenario(text: &str) -> bool {
        KdlDocument::from_str(text).is_ok_and(|document| document.get(HEAD).is_some())
    }

    /// Parses the text of a scenario file. `file` is the name of the file in errors, and that of the scenario if the text
    /// gives none.
    ///
    /// Fails, with the position of the first error, if the text is not KDL, or has an unknown node or property, or a
    /// fault of a member or zone that does not exist.
    pub fn parse(file: &str, text: &str) -> ParseResult<FleetScenario> {
        let document = Document::parse(file, text)?;
        let Some(head) = document.node(HEAD) else {
            return document.error("a fleet's day begins with 'fleet-day'");
        };
        let mut scenario = parse_head(&head, file)?;
        for node in document.nodes().filter(|node| node.name() != HEAD) {
            let fault = parse_scheduled_fault(&node, &scenario)?;
            scenario.faults.push(fault);
        }
        scenario.faults.sort_by_key(|scheduled| scheduled.at);
        Ok(scenario)
    }
}

fn parse_head(head: &Node<'_>, file: &str) -> ParseResult<FleetScenario> {
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
    let members = head.count("members", Some(7))?.clamp(2, 32);
    Ok(FleetScenario {
        name: head.string("name").unwrap_or(file).to_string(),
        duration: head.duration("length", Some(30 * SECOND))?,
        members,
        zones: head.count("zones", Some(3))?.clamp(1, members),
        seeds: head.count("seeds", Some(3))?.clamp(1, members),
        probe_period: head.duration("probe-period", Some(SECOND / 4))?,
        probe_wait: head.duration("probe-wait", Some(SECOND / 12))?,
        bounds: Bounds {
            detection: head.duration("found", Some(8 * SECOND))?,
            convergence: head.duration("settle", Some(10 * SECOND))?,
        },
        drawn: head.count("drawn", Some(0))?.min(200),
        faults: Vec::new(),
    })
}

fn parse_scheduled_fault(
    node: &Node<'_>,
    scenario: &FleetScenario,
) -> ParseResult<ScheduledFault<FleetFault>> {
    node.allow(&FAULT_PROPERTIES)?;
    let fault = parse_fault(node, scenario)?;
    Ok(ScheduledFault {
        at: node.duration("at", None)?,
        duration: node.duration("for", Some(3 * SECOND))?,
        fault,
    })
}

fn parse_fault(node: &Node<'_>, scenario: &FleetScenario) -> ParseResult<FleetFault> {
    let member = |name: &str| parse_member(node, name, scenario);
    Ok(match node.name() {
        "kill" => FleetFault::Kill {
            member: member("member")?,
            disk: parse_disk(node)?,
        },
        "pause" => FleetFault::Pause {
            member: member("member")?,
        },
        "cut" => FleetFault::Cut {
            from: member("from")?,
            to: member("to")?,
            both: node.flag("both"),
        },
        "flap" => FleetFault::Flap {
            from: member("from")?,
            to: member("to")?,
            every: node
                .duration("every", Some(2 * SECOND))?
                .max(10 * MILLISECOND),
        },
        "hold" => FleetFault::Hold {
            from: member("from")?,
            to: member("to")?,
        },
        "split" => FleetFault::Split {
            zone: parse_zone(node, scenario)?,
        },
        "slow" => FleetFault::Slow {
            delay: node.duration("delay", None)?,
            jitter: node.duration("jitter", Some(0))?,
        },
        "loss" => FleetFault::Loss {
            share: node.number("share", None)?.min(1.0),
        },
        "twin" => FleetFault::DuplicateIdentity {
            member: member("member")?,
        },
        other => return node.error(format!("a fleet's day has no '{other}'")),
    })
}

fn parse_member(node: &Node<'_>, name: &str, scenario: &FleetScenario) -> ParseResult<usize> {
    let (member, members) = (node.count(name, None)?, scenario.members);
    if member < members {
        Ok(member)
    } else {
        node.error(format!("there are only {members} members, counted from 0"))
    }
}

fn parse_zone(node: &Node<'_>, scenario: &FleetScenario) -> ParseResult<usize> {
    let (zone, zones) = (node.count("zone", None)?, scenario.zones);
    if zone < zones {
        Ok(zone)
    } else {
        node.error(format!("there are only {zones} zones, counted from 0"))
    }
}

fn parse_disk(node: &Node<'_>) -> ParseResult<Disk> {
    match node.string("disk").unwrap_or("kept") {
        "kept" => Ok(Disk::Current),
        "empty" => Ok(Disk::Empty),
        "old" => Ok(Disk::Stale),
        _ => node.error("a disk is \"kept\", \"empty\" or \"old\""),
    }
}
