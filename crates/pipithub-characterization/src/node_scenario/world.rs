//! The world of a scenario: what is due is told to the node, and its effects become what is due.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::clients::Client;
use super::configuration::{Configuration, Host, endpoint_event};
use super::workers::Link;
use super::{Effect, MILLISECOND, Node, SECOND};
use crate::random::Random;
use crate::recording::Transcript;
use crate::schedule::Schedule;

/// Names of ended calls that clients may repeat.
const MAX_ENDED_CALLS: usize = 32;
/// A node that has more effects than this in a scenario is a runaway.
const MAX_EFFECTS: u64 = 200_000;
/// No node needs longer than this to stop.
const MAX_STOP_TIME: u64 = 10 * SECOND;
/// After the stop calls are still taken for a while: workers fall silent shortly before the end of that.
const SILENT_AFTER_STOP: u64 = 600 * MILLISECOND;

/// What comes due in a scenario.
#[derive(Debug)]
pub(super) enum Event {
    ClientActs,
    EndpointsChange,
    Figures,
    HostSpeaks { address: String },
    LinkUp { connection: u64 },
    LinkFailed { connection: u64, own: bool },
    LinkBreaks { connection: u64 },
    LinkBlocked { connection: u64, taken: u64 },
    LinkUnblocked { connection: u64 },
    WorkerAnswers { connection: u64, word: &'static str, reference: String },
}

#[derive(Debug)]
pub(super) struct Function {
    pub(super) name: u64,
    pub(super) class: usize,
    pub(super) properties: String,
}

/// All that a scenario consists of.
pub(super) struct World<'a, N> {
    pub(super) random: Random,
    pub(super) schedule: Schedule<Event>,
    pub(super) node: N,
    pub(super) now: u64,
    pub(super) configuration: Configuration,
    pub(super) functions: Vec<Function>,
    pub(super) clients: BTreeMap<u64, Client>,
    pub(super) links: BTreeMap<u64, Link>,
    /// Addresses from which nothing comes.
    pub(super) silent_hosts: BTreeSet<String>,
    pub(super) silent_until: u64,
    /// Names of calls that have ended.
    pub(super) ended: VecDeque<String>,
    /// The mean time between two acts of clients.
    pub(super) gap: u64,
    pub(super) transcript: &'a mut Transcript,
    /// Connections that were idle for so long break when they are used again.
    pub(super) idle_breaks: u64,
    length: u64,
    hosts: Vec<Host>,
    list_index: u64,
    effects: u64,
}

/// Runs the scenario of a seed against the node that `start` makes of a time and a configuration's text.
pub fn run<N: Node>(seed: u64, start: impl FnOnce(u64, &str) -> N, transcript: &mut Transcript) {
    let mut world = World::draw(seed, start, transcript);
    let stop = world.now + world.length;
    world.pass(stop, |_| false);
    world.note("stop", "stop".to_string());
    world.node.stop(world.now);
    let most = world.now + MAX_STOP_TIME;
    world.pass(world.now + SILENT_AFTER_STOP, |_| false);
    if world.random.per_mille(500) {
        world.silence_all_hosts();
    }
    world.pass(most, |world| world.node.stopped(world.now) || world.node.deadline_passed(world.now));
    world.figures();
    if world.node.stopped(world.now) {
        world.transcript.count("scenario stopped in time");
    }
}

impl<'a, N: Node> World<'a, N> {
    fn draw(seed: u64, start: impl FnOnce(u64, &str) -> N, transcript: &'a mut Transcript) -> Self {
        let mut random = Random::new(seed);
        let configuration = Configuration::draw(&mut random);
        let (low, high) =
            random.pick(&[(1, 2), (2, 8), (2, 8), (3, 15), (8, 40), (8, 40), (40, 100), (520, 600)]);
        let hosts: Vec<_> =
            (0..random.between(low, high)).map(|number| Host::draw(&mut random, number)).collect();
        let (low, high) = random.pick(&[(1, 20), (20, 60), (60, 150)]);
        let functions =
            (0..random.between(low, high)).map(|_| Function::draw(&mut random, &configuration)).collect();
        let now = 1_000_000 * SECOND + random.between(0, 999) * MILLISECOND;
        let (mut known, mut list_index) = (vec![endpoint_event(1, true, hosts.iter())], 1);
        if random.per_mille(300) {
            known.push(endpoint_event(2, false, hosts.iter().take(1)));
            list_index = 2;
        }
        let text = configuration.text(&known);
        transcript.input(&format!("{now} {text}"));
        // A few scenarios are long, with less in each second.
        let (length, gap) = if random.per_mille(120) {
            (random.between(25, 45), random.between(20, 50))
        } else {
            (random.between(6, 14), random.between(4, 30))
        };
        let mut world = World {
            schedule: Schedule::default(),
            node: start(now, &text),
            now,
            configuration,
            functions,
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            silent_hosts: BTreeSet::new(),
            silent_until: 0,
            ended: VecDeque::new(),
            idle_breaks: random.pick(&[100 * MILLISECOND, 700 * MILLISECOND, u64::MAX, u64::MAX, u64::MAX]),
            length: length * SECOND,
            gap: gap * MILLISECOND,
            transcript,
            hosts,
            list_index,
            effects: 0,
            random,
        };
        world.schedule.add(now, Event::ClientActs);
        world.schedule.add(now + 300 * MILLISECOND, Event::EndpointsChange);
        world.schedule.add(now + 500 * MILLISECOND, Event::Figures);
        world
    }

    /// Time passes until then, or until it is enough.
    fn pass(&mut self, until: u64, enough: impl Fn(&Self) -> bool) {
        while self.now < until && !enough(self) {
            let scheduled = self.schedule.next_due().unwrap_or(u64::MAX);
            let due = scheduled.min(self.node.next_due()).max(self.now).min(until);
            self.now = due;
            while let Some(event) = self.schedule.take_due(self.now) {
                self.handle(event);
                self.perform_effects();
            }
            if self.node.next_due() <= self.now {
                self.transcript.input(&format!("{} tick", self.now));
                self.node.tick(self.now);
                self.perform_effects();
            }
        }
    }

    /// Notes an input and counts it under a kind.
    pub(super) fn note(&mut self, kind: &str, text: String) {
        self.transcript.count(&format!("in {kind}"));
        self.transcript.input(&format!("{} {text}", self.now));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientActs if self.now < self.silent_until => {
                self.schedule.add(self.silent_until, Event::ClientActs);
            }
            Event::ClientActs => self.client_acts(),
            Event::EndpointsChange => self.change_endpoints(),
            Event::Figures => {
                self.schedule.add(self.now + 500 * MILLISECOND, Event::Figures);
                self.figures();
            }
            Event::HostSpeaks { address } => drop(self.silent_hosts.remove(&address)),
            Event::LinkUp { connection } => self.link_up(connection),
            Event::LinkFailed { connection, own } => self.link_failed(connection, own),
            Event::LinkBreaks { connection } => self.link_breaks(connection),
            Event::LinkBlocked { connection, taken } => self.link_blocked(connection, taken),
            Event::LinkUnblocked { connection } => self.link_unblocked(connection),
            Event::WorkerAnswers { connection, word, reference } => {
                self.worker_answers(connection, word, &reference);
            }
        }
    }

    fn figures(&mut self) {
        let figures = self.node.figures();
        self.transcript.output(&format!("{} figures {figures}", self.now));
    }

    // ---- effects ----

    fn perform_effects(&mut self) {
        loop {
            let effects = self.node.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.effects += 1;
                assert!(self.effects < MAX_EFFECTS, "the node acts without end");
                let (kind, text) = effect.render();
                self.transcript.count(&format!("out {kind}"));
                self.transcript.output(&text);
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { connection, address, within } => self.connect(connection, address, within),
            Effect::Write { connection, bytes } if self.clients.contains_key(&connection) => {
                self.client_hears(connection, &bytes);
            }
            Effect::Write { connection, bytes } => self.write_to_worker(connection, &bytes),
            Effect::Unwrite { connection, at, length } => self.unwrite(connection, at, length),
            Effect::Close { connection } => {
                self.clients.remove(&connection);
                self.links.remove(&connection);
            }
            Effect::Retire { connection } => {
                self.note("client retired", format!("client retired {connection}"));
                self.node.client_retired(self.now, connection);
            }
        }
    }

    fn client_hears(&mut self, connection: u64, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let kind = if text.contains("\"body\"") {
            "served"
        } else if text.contains("\"healthy\"") {
            "health"
        } else if text.contains("-32050") && text.contains("pushback") {
            "refused with a time"
        } else if text.contains("-32050") {
            "refused without a time"
        } else if text.contains("-32000") {
            "failed"
        } else {
            "other error"
        };
        self.transcript.count(&format!("client answer {kind}"));
        let line: serde_json::Value = serde_json::from_str(&text).expect("the node writes JSON to clients");
        let Some(id) = line["id"].as_u64() else { return };
        let Some(client) = self.clients.get_mut(&connection) else { return };
        if let Some(place) = client.open.iter().position(|(open, _)| *open == id) {
            let (_, name) = client.open.remove(place);
            self.remember_ended(name);
        }
    }

    pub(super) fn remember_ended(&mut self, name: String) {
        if self.ended.len() >= MAX_ENDED_CALLS {
            self.ended.pop_front();
        }
        self.ended.push_back(name);
    }

    // ---- the list of workers ----

    fn change_endpoints(&mut self) {
        let next = self.random.between(50, 900) * MILLISECOND;
        self.schedule.add(self.now + next, Event::EndpointsChange);
        let host = self.random.between(0, self.hosts.len() as u64 - 1) as usize;
        match self.random.between(0, 9) {
            0 => self.set_health(host, "DRAINING"),
            1 => self.set_health(host, "DELETED"),
            2 | 3 => self.restart_host(host),
            4 => self.add_host(),
            5 => self.publish_all(),
            6 => {
                // The events of a new configuration begin anew.
                self.list_index = 0;
                self.publish_all();
            }
            7 => {
                let address = self.hosts[host].address.clone();
                let until = self.now + self.random.between(200, 2_500) * MILLISECOND;
                self.silent_hosts.insert(address.clone());
                self.schedule.add(until, Event::HostSpeaks { address });
            }
            8 => {
                let address = self.hosts[host].address.clone();
                self.host_breaks(&address);
            }
            _ => self.readdress_host(host),
        }
    }

    fn set_health(&mut self, host: usize, health: &'static str) {
        self.hosts[host].health = health;
        self.publish_change(host);
        if health == "DELETED" {
            let address = self.hosts[host].address.clone();
            self.host_breaks(&address);
        }
    }

    fn restart_host(&mut self, host: usize) {
        let address = self.hosts[host].address.clone();
        self.host_breaks(&address);
        self.hosts[host].health = "SERVING";
        self.hosts[host].started = self.now / MILLISECOND;
        self.publish_change(host);
    }

    fn add_host(&mut self) {
        let number = self.hosts.len() as u64;
        let mut host = Host::draw(&mut self.random, number);
        host.started = self.now / MILLISECOND;
        self.hosts.push(host);
        self.publish_change(number as usize);
    }

    /// Nothing comes from any worker any more.
    fn silence_all_hosts(&mut self) {
        self.silent_hosts.extend(self.hosts.iter().map(|host| host.address.clone()));
    }

    /// A worker is found at another address.
    fn readdress_host(&mut self, host: usize) {
        let number = self.random.between(0, 60_000);
        self.hosts[host].address = format!("10.1.{}.{}:8080", number / 256, number % 256);
        self.publish_change(host);
    }

    fn publish_change(&mut self, host: usize) {
        self.list_index += 1;
        let event = endpoint_event(self.list_index, false, self.hosts[host..=host].iter());
        self.note("list change", event.clone());
        self.node.list(self.now, &event);
    }

    fn publish_all(&mut self) {
        self.list_index += 1;
        let listed = self.hosts.iter().filter(|host| host.health != "DELETED");
        let event = endpoint_event(self.list_index, true, listed);
        self.note("list whole", event.clone());
        self.node.list(self.now, &event);
    }
}

impl Function {
    fn draw(random: &mut Random, configuration: &Configuration) -> Self {
        let load = if random.per_mille(500) {
            format!(";load_ms:{}", random.between(20, 600))
        } else {
            String::new()
        };
        Function {
            name: random.number(),
            class: random.between(0, configuration.classes.len() as u64 - 1) as usize,
            properties: format!(
                "memory_mb:{};lanes:{}{load}",
                random.between(64, 2_500),
                random.between(1, 4)
            ),
        }
    }
}
