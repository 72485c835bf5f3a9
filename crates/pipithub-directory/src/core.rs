//! From wants and answers to searches and facts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use pipithub_ldap::Dn;

use crate::Time;
use crate::facts::{
    Facts, Lifetimes, LookupRecord, LookupRecords, LookupResult, PersonId, Resolution, Roster,
    TenantId, User, ms, share,
};
use crate::map::Map;
use crate::peak::{DAY, DailyPeak};
use crate::servers::{Breaker, Limits, Server};
use crate::snapshot::StoredRecord;

const MS: Time = 1_000_000;
/// Names that a user may have, in bytes.
const NAME_MOST: usize = 256;
/// Times that a user is asked for before whoever wants to know must say so again.
const TRIES_MOST: u8 = 2;
/// Marks of a directory that are remembered with the time at which they were first seen.
const MARKS_MOST: usize = 64;
/// Entries looked at in one turn when a followed directory's refresh is over, or when old ones go.
const SWEEP: usize = 2_048;
/// Of all searches, those that may be made twice at once.
const HEDGE_SHARE: f64 = 0.1;
/// What nobody waits for is gathered for so long at the most.
const LINGER_MOST: Time = 30_000 * MS;
/// Days after which a user who was not seen is not asked for ahead of a peak.
const SEEN_DAYS: u8 = 14;

/// A tenant's place in a directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantBase {
    /// The directory.
    pub directory: usize,
    /// Entries below it are this tenant's; of bases within each other the inner one counts.
    pub base: Dn,
}

/// How long a server that fails is left alone, before jitter: twice as long after each further failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// After the first failure.
    pub initial: Time,
    /// At the longest.
    pub max: Time,
}

/// How a directory is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// How many servers it has.
    pub server_count: usize,
    /// Realms of the names that it knows; none: names without a realm.
    pub realms: Vec<String>,
    /// For how long what it says counts.
    pub lifetimes: Lifetimes,
    /// A search without an answer by then has failed.
    pub timeout: Time,
    /// After this long without an answer a second server is asked too.
    pub hedge_after: Time,
    /// Users in one search.
    pub max_users_per_search: usize,
    /// Searches at a time at one server.
    pub max_searches_per_server: usize,
    /// Searches a second at all its servers.
    pub max_searches_per_second: f64,
    /// Failures in a row after which a server is left alone.
    pub failure_threshold: u32,
    /// For how long it is left alone.
    pub backoff: Backoff,
    /// A server that tells no mark must say a change twice, this far apart.
    pub change_confirmation_delay: Time,
    /// A daily peak ahead of which facts are refreshed.
    pub daily_peak: Option<DailyPeak>,
    /// Every so often, ask for what was changed since; 0: never.
    pub poll_interval: Time,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        const S: Time = 1_000 * MS;
        DirectorySettings {
            server_count: 1,
            realms: Vec::new(),
            lifetimes: Lifetimes {
                fresh: 600 * S,
                max_stale: 12 * 3_600 * S,
                negative: 30 * S,
            },
            timeout: 2 * S,
            hedge_after: 50 * MS,
            max_users_per_search: 64,
            max_searches_per_server: 4,
            max_searches_per_second: 50.0,
            failure_threshold: 3,
            backoff: Backoff {
                initial: S,
                max: 30 * S,
            },
            change_confirmation_delay: S,
            daily_peak: None,
            poll_interval: 0,
        }
    }
}

/// What a directory core is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The directories.
    pub directories: Vec<DirectorySettings>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<TenantBase>,
    /// Users kept.
    pub max_users: usize,
    /// Users that wait to be asked for, at each directory.
    pub max_queue: usize,
    /// Its only chance: sets this front end's times apart from others'.
    pub seed: u64,
    /// Unix milliseconds at time 0.
    pub wall_clock_offset_ms: i64,
}

/// Names a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchId(pub u64);

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// These users. The server's mark is to be read before them, on the same connection.
    Users(Vec<User>),
    /// How the server stands: whether its tree is there, and its mark.
    ServerState,
    /// What was changed since this `modifyTimestamp`; `None`: how far its timestamps have come.
    ChangedSince(Option<String>),
}

impl Query {
    fn is_answered_wrongly(&self, answer: &SearchResponse) -> bool {
        let Query::Users(users) = self else {
            return false;
        };
        let asked: HashSet<&User> = users.iter().collect();
        answer.entries.iter().any(|f| !asked.contains(&f.user))
    }
}

/// An entry that a directory told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Its user's name, folded, with the realm as users give it.
    pub user: User,
    /// Where it stands.
    pub dn: Dn,
    /// Who it is.
    pub person: PersonId,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResponse {
    /// The entries.
    pub entries: Vec<DirectoryEntry>,
    /// How far the server's copy had come before it searched, where it tells.
    pub change_number: Option<u64>,
    /// The base of the tree is there. A server that is still loading answers that nobody exists.
    pub base_exists: bool,
    /// The newest `modifyTimestamp` in it.
    pub newest_modify_timestamp: Option<String>,
}

/// Why there is no answer. The texts are part of what `pipithub tenants` prints, and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SearchError {
    /// None came in time.
    #[error("TimedOut")]
    TimedOut,
    /// The server could not be reached, or the connection ended.
    #[error("Lost")]
    ConnectionLost,
    /// The server says that it cannot now: busy, unavailable, limits.
    #[error("Unable")]
    Unavailable,
    /// It refuses us: the bind, the rights.
    #[error("Denied")]
    Denied,
    /// What it said is no answer.
    #[error("Nonsense")]
    InvalidResponse,
    /// It says to ask elsewhere: at this one of the directory's servers, or at one that we do not know.
    #[error("Elsewhere({0:?})")]
    Referral(Option<usize>),
}

/// What a followed directory says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncEvent {
    /// Everything is told from here on, or what changed since the last time.
    RefreshStarted {
        /// Everything.
        full: bool,
    },
    /// An entry is there, new or as it was.
    Entry(DirectoryEntry),
    /// An entry is gone.
    Deleted(PersonId),
    /// An entry has not changed.
    Unchanged(PersonId),
    /// What was to be told is told; the connection was good just now.
    RefreshDone,
    /// The connection was good just now.
    Heartbeat,
    /// The connection is gone.
    ConnectionLost,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed; every other input does this too.
    Tick,
    /// A call's user is to be known, or known anew.
    LookUp {
        /// The user.
        user: User,
        /// Somebody waits.
        urgent: bool,
    },
    /// A search ended.
    SearchEnded {
        /// Which.
        search: SearchId,
        /// How.
        outcome: Result<SearchResponse, SearchError>,
    },
    /// News of a directory that is followed.
    Synchronization {
        /// The directory.
        directory: usize,
        /// What it says.
        event: SyncEvent,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a server; one [`Input::SearchEnded`] is owed unless it is given up.
    Search {
        /// Its id.
        id: SearchId,
        /// The directory.
        directory: usize,
        /// Which of its servers.
        server: usize,
        /// What.
        query: Query,
    },
    /// Its answer is of no use any more.
    CancelSearch(SearchId),
    /// There is news of a user that was asked for: the roster holds it, or nobody can say.
    LookupFinished(User),
    /// A user is another tenant's now, or nobody's, or another person: what runs for them must end.
    UserMigrated(User),
}

/// What was done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Searches for users.
    pub searches: u64,
    /// Users in them.
    pub searched_users: u64,
    /// Of the searches, second ones for the same users.
    pub hedged_searches: u64,
    /// Searches for a server's state, and for what changed.
    pub probes: u64,
    /// Searches that failed.
    pub failed_searches: u64,
    /// Wants for which there was no room.
    pub dropped_lookups: u64,
    /// Entries told that were not asked for, or are below no tenant's base.
    pub unexpected_entries: u64,
    /// Answers older than what was known.
    pub outdated_results: u64,
    /// Users who changed.
    pub migrated_users: u64,
}

/// A refresh of a followed directory that is over: who was not told in it is looked for, some at a time.
struct Sweep {
    directory: usize,
    began: i64,
    /// Everybody, as long as those who were not told are not gathered.
    all: Option<Map<CompactString, LookupRecords>>,
    missed: Vec<User>,
}

struct Out {
    directory: usize,
    server: usize,
    what: Query,
    began: Time,
    deadline: Time,
    /// When a second server is asked; `None`: it was, or is not.
    hedge: Option<Time>,
    /// The other search for the same users.
    twin: Option<SearchId>,
    tries: u8,
}

struct Site {
    settings: DirectorySettings,
    servers: Vec<Server>,
    /// Users to ask for, each with the times it was tried: first those of whom nothing is known and a call waits, then
    /// those who are to be confirmed before a call, then all others.
    queues: [VecDeque<(User, u8)>; 3],
    /// When the last of these is asked for, unless a search that goes out before has room for it.
    calm_due: Time,
    /// Users that are queued or asked for: nobody is asked for twice at a time.
    pending: HashSet<User>,
    /// Users wanted while no server could be asked: asked for together when one can.
    missed: HashSet<User>,
    tokens: f64,
    filled: Time,
    hedges: f64,
    /// Marks from the oldest to the newest, and when each was first seen.
    marks: VecDeque<(u64, i64)>,
    /// Changes told once by a server without marks.
    doubts: BTreeMap<User, (LookupResult, Time)>,
    later: BTreeSet<(Time, User)>,
    poll_due: Option<Time>,
    /// When each server is asked how it stands, if it is not asked for anything else: one that is never the fastest is
    /// heard all the same, and only by comparing can one that is behind be told.
    state_due: Vec<Time>,
    newest: Option<String>,
    /// Of a followed directory: whose entry is whose, and when the telling under way began.
    persons: HashMap<PersonId, User>,
    telling: Option<(i64, bool)>,
}

/// The directories of a front end, and what is known through them.
pub struct Directory {
    tenants: Vec<TenantBase>,
    max_users: usize,
    max_queue: usize,
    seed: u64,
    wall_clock_offset_ms: i64,
    sites: Vec<Site>,
    roster: Roster,
    out: BTreeMap<SearchId, Out>,
    next: u64,
    chance: u64,
    /// When users are looked at again, by second; one place each.
    wheel: BTreeMap<i64, Vec<CompactString>>,
    sweeps: Vec<Sweep>,
    stats: Stats,
}

impl Directory {
    /// A core that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        let mut realms: HashMap<Box<str>, Vec<u16>> = HashMap::new();
        let mut others = Vec::new();
        for (n, directory) in settings.directories.iter().enumerate() {
            let n = n as u16;
            if directory.realms.is_empty() {
                others.push(n);
            }
            for realm in &directory.realms {
                realms
                    .entry(pipithub_ldap::dn::fold(realm).into())
                    .or_default()
                    .push(n);
            }
        }
        let facts = |d: &DirectorySettings| Facts {
            lifetimes: d.lifetimes,
            followed: None,
            slow: false,
        };
        let site = |(n, d): (usize, &DirectorySettings)| Site {
            servers: vec![Server::new(); d.server_count.max(1)],
            queues: Default::default(),
            calm_due: 0,
            pending: HashSet::new(),
            missed: HashSet::new(),
            tokens: (d.max_searches_per_second / 4.0).max(1.0),
            filled: 0,
            hedges: 1.0,
            marks: VecDeque::new(),
            doubts: BTreeMap::new(),
            later: BTreeSet::new(),
            // Front ends that start together do not poll together.
            poll_due: (d.poll_interval > 0).then(|| {
                (d.poll_interval as f64 * share("poll", settings.seed ^ n as u64)) as Time
            }),
            state_due: (0..d.server_count.max(1))
                .map(|s| {
                    (state_gap(d) as f64 * share("state", settings.seed ^ (n * 64 + s) as u64))
                        as Time
                })
                .collect(),
            newest: None,
            persons: HashMap::new(),
            telling: None,
            settings: d.clone(),
        };
        Directory {
            sites: settings.directories.iter().enumerate().map(site).collect(),
            roster: Roster {
                users: Map::new(),
                directories: settings.directories.iter().map(facts).collect(),
                realms: Arc::new(realms),
                others: others.into(),
            },
            tenants: settings.tenants,
            max_users: settings.max_users.max(1),
            max_queue: settings.max_queue.max(1),
            seed: settings.seed,
            wall_clock_offset_ms: settings.wall_clock_offset_ms,
            out: BTreeMap::new(),
            next: 0,
            chance: settings.seed | 1,
            wheel: BTreeMap::new(),
            sweeps: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// What is known now; it shares everything with what is kept here.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether a server of the directory is being asked.
    pub fn is_reachable(&self, directory: usize) -> bool {
        self.sites
            .get(directory)
            .is_some_and(|s| s.servers.iter().any(|s| s.breaker == Breaker::Closed))
    }

    /// Searches under way.
    pub fn searches_in_flight(&self) -> usize {
        self.out.len()
    }

    /// Takes what a snapshot holds. Facts past their bound were left out of it; none of them is asked for at once.
    pub fn restore(&mut self, now: Time, facts: Vec<StoredRecord>) {
        let seen = self.day(now);
        for StoredRecord {
            user,
            record: claim,
        } in facts
        {
            let claim = LookupRecord {
                last_wanted_day: seen,
                ..claim
            };
            if usize::from(claim.directory) < self.sites.len()
                && self.roster.users.len() < self.max_users
            {
                self.set(now, &user, claim);
            }
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let mut due = Vec::new();
        for out in self.out.values() {
            due.push(out.deadline);
            due.extend(out.hedge);
        }
        for site in &self.sites {
            for server in &site.servers {
                if let Breaker::Open { until, .. } = server.breaker {
                    due.push(until);
                }
            }
            due.extend(site.poll_due);
            due.extend(site.state_due.iter().min());
            due.extend(site.later.first().map(|l| l.0));
            let limits = site.limits();
            if !site.queues[2].is_empty() {
                due.push(site.calm_due.max(now + MS));
            }
            if site.waits(now)
                && site.tokens < 1.0
                && site.servers.iter().any(|s| s.has_room(&limits))
            {
                let missing = (1.0 - site.tokens) / site.settings.max_searches_per_second.max(0.01);
                due.push(site.filled.saturating_add((missing * 1e9) as Time + MS));
            }
        }
        due.extend(
            self.wheel
                .keys()
                .next()
                .map(|s| u64::try_from(s.saturating_mul(1000)).unwrap_or(0) * MS),
        );
        if !self.sweeps.is_empty() {
            due.push(now);
        }
        due.into_iter().min()
    }

    fn chance(&mut self) -> f64 {
        // xorshift64*: nothing hangs on its quality, only that front ends differ.
        self.chance ^= self.chance >> 12;
        self.chance ^= self.chance << 25;
        self.chance ^= self.chance >> 27;
        (self.chance.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Takes one input and appends what to do about it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::LookUp { user, urgent } => self.wanted(now, user, urgent, out),
            Input::SearchEnded { search, outcome } => self.ended(now, search, outcome, out),
            Input::Synchronization { directory, event } if directory < self.sites.len() => {
                self.told(now, directory, event, out);
            }
            Input::Synchronization { .. } => {}
        }
        self.overdue(now, out);
        self.turn_wheel(now);
        self.go_on_sweeping(now, out);
        for directory in 0..self.sites.len() {
            self.pump(now, directory, out);
            let slow = self.sites[directory].is_slow();
            if self.roster.directories[directory].slow != slow {
                let mut facts = self.roster.directories.to_vec();
                facts[directory].slow = slow;
                self.roster.directories = facts.into();
            }
        }
    }

    /// Takes the wall time that `now` stands for, as the wall clock may have been stepped. Only days and daily peaks
    /// follow it; how old facts are is counted in monotonic time. Users whose next look is planned keep their place, so
    /// that a step moves the refreshes ahead of the next peak, and none after it.
    pub fn set_wall_clock(&mut self, now: Time, wall_ms: i64) {
        self.wall_clock_offset_ms = wall_ms.saturating_sub(ms(now));
    }

    // ---- wants ----

    fn day(&self, now: Time) -> u8 {
        self.wall_clock_offset_ms
            .saturating_add(ms(now))
            .div_euclid(DAY)
            .rem_euclid(256) as u8
    }

    fn wanted(&mut self, now: Time, user: User, urgent: bool, out: &mut Vec<Output>) {
        let relevant: Vec<u16> = self.roster.directories_for(&user).to_vec();
        if relevant.is_empty() || user.is_empty() || user.len() > NAME_MOST {
            return out.push(Output::LookupFinished(user));
        }
        let day = self.day(now);
        let seen = |claims: &LookupRecords| {
            claims
                .as_slice()
                .first()
                .filter(|c| c.last_wanted_day != day)
                .copied()
        };
        if let Some(claims) = self.roster.users.get(&*user)
            && let Some(claim) = seen(claims)
        {
            let claims = claims.with(LookupRecord {
                last_wanted_day: day,
                ..claim
            });
            self.roster.users.insert((&*user).into(), claims);
        }
        let queue = match (urgent, self.roster.resolve(&user, now)) {
            (true, Resolution::Unknown) => 0,
            (true, _) => 1,
            (false, _) => 2,
        };
        let mut asked = false;
        for directory in relevant {
            asked |= self.queue(now, usize::from(directory), user.clone(), queue);
        }
        if !asked {
            // Nobody will ask: whoever waits must not.
            out.push(Output::LookupFinished(user));
        }
    }

    /// Whether the user will be asked for.
    fn queue(&mut self, now: Time, directory: usize, user: User, queue: usize) -> bool {
        let most = self.max_queue;
        let site = &mut self.sites[directory];
        if site.pending.contains(&user) {
            // A call waits now for one that was queued at leisure.
            let behind = &mut site.queues[2];
            if queue < 2
                && let Some(at) = behind.iter().take(256).position(|(u, _)| *u == user)
            {
                let moved = behind.remove(at);
                site.queues[queue].extend(moved);
            }
            return true;
        }
        if site.queues[queue].len() >= most {
            self.stats.dropped_lookups += 1;
            return false;
        }
        if queue == 2 && site.queues[2].is_empty() {
            // What nobody waits for is gathered into one search.
            site.calm_due =
                now.saturating_add((site.settings.lifetimes.fresh / 16).min(LINGER_MOST));
        }
        site.queues[queue].push_back((user.clone(), 0));
        site.pending.insert(user);
        true
    }

    /// Tells of a user when no directory is being asked for them any more: an answer from one of several is not yet one.
    fn tell(&self, user: User, out: &mut Vec<Output>) {
        let pending = |d: &u16| self.sites[usize::from(*d)].pending.contains(&user);
        if !self.roster.directories_for(&user).iter().any(pending) {
            out.push(Output::LookupFinished(user));
        }
    }

    // ---- searches ----

    fn pump(&mut self, now: Time, directory: usize, out: &mut Vec<Output>) {
        let site = &mut self.sites[directory];
        let passed = now.saturating_sub(site.filled) as f64 / 1e9;
        site.filled = site.filled.max(now);
        let burst = (site.settings.max_searches_per_second / 4.0).max(1.0);
        site.tokens = (site.tokens + passed * site.settings.max_searches_per_second).min(burst);
        while let Some((_, user)) = self.sites[directory]
            .later
            .first()
            .filter(|l| l.0 <= now)
            .cloned()
        {
            let site = &mut self.sites[directory];
            let first = site.later.pop_first();
            if first.is_some() {
                self.queue(now, directory, user, 2);
            }
        }
        self.probe(now, directory, out);
        let site = &mut self.sites[directory];
        if !site.servers.iter().any(|s| s.breaker == Breaker::Closed) {
            // Nobody can say: whoever waits is told so at once, and what is asked at leisure is asked by its next call.
            let users: Vec<User> = site
                .queues
                .iter_mut()
                .flat_map(|q| q.drain(..))
                .map(|(user, _)| user)
                .collect();
            for user in &users {
                site.pending.remove(user);
                if site.missed.len() < self.max_queue {
                    site.missed.insert(user.clone());
                }
            }
            return users.into_iter().for_each(|user| self.tell(user, out));
        }
        // It is back: whoever called meanwhile is asked for in few searches, not each by their next call.
        for user in std::mem::take(&mut site.missed) {
            self.queue(now, directory, user, 2);
        }
        loop {
            let site = &mut self.sites[directory];
            if site.tokens < 1.0 || !site.waits(now) {
                return;
            }
            let Some(server) = site.choose(None) else {
                return;
            };
            let mut users = Vec::new();
            let mut tries = 0;
            while users.len() < site.settings.max_users_per_search.max(1) {
                // Those that were tried before go without others: what failed may be of their making.
                let Some(queue) = site.queues.iter_mut().find(|q| !q.is_empty()) else {
                    break;
                };
                match queue.front() {
                    Some((_, t)) if users.is_empty() || *t == tries => tries = *t,
                    _ => break,
                }
                users.extend(queue.pop_front().map(|(user, _)| user));
            }
            site.tokens -= 1.0;
            site.hedges = (site.hedges + HEDGE_SHARE).min(4.0);
            self.stats.searches += 1;
            self.stats.searched_users += users.len() as u64;
            self.begin(now, directory, server, Query::Users(users), tries, out);
        }
    }

    fn begin(
        &mut self,
        now: Time,
        directory: usize,
        server: usize,
        what: Query,
        tries: u8,
        out: &mut Vec<Output>,
    ) -> SearchId {
        let id = SearchId(self.next);
        self.next += 1;
        let site = &mut self.sites[directory];
        site.servers[server].out += 1;
        // A server that is slow as a rule is not asked twice for that.
        let usual = site.servers[server].pace().unwrap_or(0).saturating_mul(3);
        let hedge = now.saturating_add(
            site.settings
                .hedge_after
                .max(usual.min(site.settings.timeout / 2)),
        );
        let begun = Out {
            directory,
            server,
            began: now,
            deadline: now.saturating_add(site.settings.timeout),
            hedge: matches!(what, Query::Users(_)).then_some(hedge),
            twin: None,
            tries,
            what: what.clone(),
        };
        self.out.insert(id, begun);
        out.push(Output::Search {
            id,
            directory,
            server,
            query: what,
        });
        id
    }

    /// Tries servers that were left alone, and asks for what changed.
    fn probe(&mut self, now: Time, directory: usize, out: &mut Vec<Output>) {
        for server in 0..self.sites[directory].servers.len() {
            if let Breaker::Open { until, wait } = self.sites[directory].servers[server].breaker
                && now >= until
            {
                self.stats.probes += 1;
                let probe = self.begin(now, directory, server, Query::ServerState, 0, out);
                self.sites[directory].servers[server].breaker = Breaker::Trying { probe, wait };
            }
            let site = &mut self.sites[directory];
            if now >= site.state_due[server] {
                let gap = state_gap(&site.settings);
                // One that has just answered is known as it is, and one alone is never behind another.
                let heard = site.servers[server]
                    .heard
                    .filter(|at| now < at.saturating_add(gap));
                site.state_due[server] = heard.unwrap_or(now).saturating_add(gap);
                if heard.is_none()
                    && site.servers.len() > 1
                    && site.servers[server].breaker == Breaker::Closed
                {
                    self.stats.probes += 1;
                    self.begin(now, directory, server, Query::ServerState, 0, out);
                }
            }
        }
        let site = &mut self.sites[directory];
        if site.poll_due.is_some_and(|due| now >= due) {
            site.poll_due = Some(now + site.settings.poll_interval);
            if let Some(server) = site.choose(None) {
                let since = site.newest.clone();
                self.stats.probes += 1;
                self.begin(now, directory, server, Query::ChangedSince(since), 0, out);
            }
        }
    }

    /// Searches whose time is up, and those for which a second server is asked.
    fn overdue(&mut self, now: Time, out: &mut Vec<Output>) {
        let late: Vec<SearchId> = self
            .out
            .iter()
            .filter(|(_, o)| o.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if self.out.contains_key(&id) {
                out.push(Output::CancelSearch(id));
                self.ended(now, id, Err(SearchError::TimedOut), out);
            }
        }
        let slow = self
            .out
            .iter()
            .filter(|(_, o)| o.hedge.is_some_and(|at| at <= now));
        let slow: Vec<SearchId> = slow.map(|(id, _)| *id).collect();
        for id in slow {
            let Some(search) = self.out.get_mut(&id) else {
                continue;
            };
            search.hedge = None;
            let (directory, server, tries, what) = (
                search.directory,
                search.server,
                search.tries,
                search.what.clone(),
            );
            let site = &mut self.sites[directory];
            if site.hedges < 1.0 {
                continue;
            }
            let Some(other) = site.choose(Some(server)) else {
                continue;
            };
            site.hedges -= 1.0;
            self.stats.hedged_searches += 1;
            let twin = self.begin(now, directory, other, what, tries, out);
            if let Some(twin) = self.out.get_mut(&twin) {
                (twin.hedge, twin.twin) = (None, Some(id));
            }
            if let Some(search) = self.out.get_mut(&id) {
                search.twin = Some(twin);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn ended(
        &mut self,
        now: Time,
        id: SearchId,
        outcome: Result<SearchResponse, SearchError>,
        out: &mut Vec<Output>,
    ) {
        // One that was given up has ended before.
        let Some(search) = self.out.remove(&id) else {
            return;
        };
        let directory = search.directory;
        let jitter = self.chance();
        let site = &mut self.sites[directory];
        let limits = site.limits();
        let server = &mut site.servers[search.server];
        server.out = server.out.saturating_sub(1);
        let outcome = match outcome {
            // Without its base it is still loading: that it knows nobody means nothing.
            Ok(answer) if !answer.base_exists => Err(SearchError::Unavailable),
            // Entries that nobody asked for: what it says of those who were asked for is worth as little.
            Ok(answer) if search.what.is_answered_wrongly(&answer) => {
                self.stats.unexpected_entries += 1;
                Err(SearchError::InvalidResponse)
            }
            other => other,
        };
        let answer = match outcome {
            Ok(answer) => answer,
            Err(failure) => {
                self.stats.failed_searches += 1;
                let hard = matches!(
                    failure,
                    SearchError::Unavailable
                        | SearchError::Denied
                        | SearchError::InvalidResponse
                        | SearchError::Referral(_)
                );
                server.failed(now, hard, jitter, &limits);
                if let Some(twin) = search.twin.and_then(|t| self.out.get_mut(&t)) {
                    twin.twin = None;
                } else if let Query::Users(users) = search.what {
                    self.again(directory, users, search.tries, out);
                }
                return;
            }
        };
        server.answered(now, now.saturating_sub(search.began), &limits);
        let current = site.heard(search.server, answer.change_number, ms(search.began));
        // What is told is as of before the question was asked, or as of when this copy was the newest there was.
        let confirmed = current.unwrap_or(ms(search.began));
        if current.is_some() {
            self.stats.outdated_results += 1;
        }
        match search.what {
            Query::ServerState => {}
            Query::ChangedSince(_) => {
                for found in answer.entries {
                    // Only of those that are known: who was never here is asked for when they are.
                    if self.roster.users.contains_key(&*found.user) {
                        let told = self.place(directory, &found.dn);
                        self.claim(
                            now,
                            directory,
                            &found.user,
                            told,
                            found.person,
                            confirmed,
                            answer.change_number,
                            out,
                        );
                    }
                }
                let site = &mut self.sites[directory];
                site.newest = answer.newest_modify_timestamp.max(site.newest.take());
            }
            Query::Users(users) => {
                if let Some(twin) = search.twin
                    && let Some(other) = self.out.remove(&twin)
                {
                    let site = &mut self.sites[directory];
                    let server = &mut site.servers[other.server];
                    server.out = server.out.saturating_sub(1);
                    out.push(Output::CancelSearch(twin));
                }
                let mut told: HashMap<&User, Vec<&DirectoryEntry>> = HashMap::new();
                for found in &answer.entries {
                    told.entry(&found.user).or_default().push(found);
                }
                let mut unsure = Vec::new();
                for user in &users {
                    let (told, person) = match told.get(user).map(Vec::as_slice) {
                        None | Some([]) => (LookupResult::Absent, PersonId::default()),
                        Some([one]) => (self.place(directory, &one.dn), one.person),
                        Some(_) => (LookupResult::Ambiguous, PersonId::default()),
                    };
                    // That a copy which is behind does not know somebody says nothing of now.
                    if current.is_some() && told == LookupResult::Absent {
                        unsure.push(user.clone());
                        continue;
                    }
                    self.sites[directory].pending.remove(user);
                    self.claim(
                        now,
                        directory,
                        user,
                        told,
                        person,
                        confirmed,
                        answer.change_number,
                        out,
                    );
                    self.tell(user.clone(), out);
                }
                if !unsure.is_empty() {
                    self.again(directory, unsure, search.tries, out);
                }
            }
        }
    }

    /// Asks again for users whose search came to nothing, if they may be.
    fn again(&mut self, directory: usize, users: Vec<User>, tries: u8, out: &mut Vec<Output>) {
        let site = &mut self.sites[directory];
        let mut ended = Vec::new();
        for user in users.into_iter().rev() {
            if tries + 1 < TRIES_MOST {
                site.queues[0].push_front((user, tries + 1));
            } else {
                site.pending.remove(&user);
                ended.push(user);
            }
        }
        ended.into_iter().for_each(|user| self.tell(user, out));
    }

    // ---- facts ----

    fn place(&mut self, directory: usize, dn: &Dn) -> LookupResult {
        let within =
            |(_, t): &(usize, &TenantBase)| t.directory == directory && dn.is_within(&t.base);
        let found = self
            .tenants
            .iter()
            .enumerate()
            .filter(within)
            .max_by_key(|(_, t)| t.base.depth());
        if let Some((n, _)) = found {
            LookupResult::Tenant(TenantId(n as u16))
        } else {
            self.stats.unexpected_entries += 1;
            LookupResult::Absent
        }
    }

    /// Weighs what a server said against what is known, and keeps it if it is the better.
    #[allow(clippy::too_many_arguments, reason = "one fact with its circumstances")]
    fn claim(
        &mut self,
        now: Time,
        directory: usize,
        user: &User,
        told: LookupResult,
        person: PersonId,
        confirmed: i64,
        mark: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let spread = (self.chance() * 256.0) as u8;
        let claim = LookupRecord {
            directory: directory as u16,
            result: told,
            person,
            confirmed_at_ms: confirmed,
            change_number: mark.unwrap_or(0),
            refresh_jitter: spread,
            last_wanted_day: 0,
        };
        let old = self
            .roster
            .users
            .get(&**user)
            .and_then(|c| c.of(claim.directory))
            .copied();
        let claim = LookupRecord {
            last_wanted_day: old.map_or_else(|| self.day(now), |o| o.last_wanted_day),
            ..claim
        };
        if let Some(old) = old {
            // A copy that is behind what was said before, or an answer that was overtaken by a later one.
            if claim.change_number < old.change_number
                || claim.confirmed_at_ms < old.confirmed_at_ms
            {
                self.stats.outdated_results += 1;
                return;
            }
            let differs = old.result != told || old.person != person;
            let positive = matches!(old.result, LookupResult::Tenant(_)) && self.is_held(&old, now);
            let site = &mut self.sites[directory];
            if !differs {
                site.doubts.remove(user);
            } else if positive && mark.is_none() {
                // Nothing tells whether this server is behind: it must say so twice.
                let doubt = site.settings.change_confirmation_delay;
                match site.doubts.get(user) {
                    Some((before, at)) if *before == told && now >= at.saturating_add(doubt) => {
                        site.doubts.remove(user);
                    }
                    Some((before, _)) if *before == told => return,
                    _ if site.doubts.len() < self.max_queue => {
                        site.doubts.insert(user.clone(), (told, now));
                        site.later.insert((now.saturating_add(doubt), user.clone()));
                        return;
                    }
                    // With no room for doubts, what is new goes before what is old.
                    _ => {}
                }
            }
        }
        let before = self.roster.resolve(user, now);
        self.set(now, user, claim);
        let after = self.roster.resolve(user, now);
        let side = |v: &Resolution| match v {
            Resolution::Tenant { tenant, person, .. } => Some((*tenant, *person)),
            _ => None,
        };
        if side(&before).is_some() && side(&before) != side(&after) {
            self.stats.migrated_users += 1;
            out.push(Output::UserMigrated(user.clone()));
        }
    }

    fn is_held(&self, claim: &LookupRecord, now: Time) -> bool {
        let most = self.sites[usize::from(claim.directory)]
            .settings
            .lifetimes
            .max_stale;
        ms(now).saturating_sub(claim.confirmed_at_ms) < ms(most)
    }

    fn set(&mut self, now: Time, user: &User, claim: LookupRecord) {
        let claims = if let Some(claims) = self.roster.users.get(&**user) {
            claims.with(claim)
        } else {
            while self.roster.users.len() >= self.max_users && self.evict() {}
            let due = self.look_again(now, user, &claim);
            self.wheel.entry(due).or_default().push((&**user).into());
            LookupRecords::One(claim)
        };
        self.roster.users.insert((&**user).into(), claims);
    }

    /// The second at which a user is looked at again: to be asked for ahead of the peak, or to go.
    fn look_again(&self, now: Time, user: &str, claim: &LookupRecord) -> i64 {
        let settings = &self.sites[usize::from(claim.directory)].settings;
        let most = match claim.result {
            LookupResult::Tenant(_) => settings.lifetimes.max_stale,
            LookupResult::Absent | LookupResult::Ambiguous => settings.lifetimes.negative,
        };
        let gone = claim.confirmed_at_ms.saturating_add(ms(most));
        let slot = settings.daily_peak.map(|peak| {
            let confirmed = self
                .wall_clock_offset_ms
                .saturating_add(claim.confirmed_at_ms);
            peak.refresh_time(confirmed, share(user, self.seed))
                .saturating_sub(self.wall_clock_offset_ms)
        });
        let due = slot
            .filter(|_| matches!(claim.result, LookupResult::Tenant(_)))
            .map_or(gone, |s| s.min(gone));
        due.max(ms(now).saturating_add(1000))
            .div_euclid(1000)
            .saturating_add(1)
    }

    /// Lets go of the user whose turn would be next: the oldest, or one who is nobody's.
    fn evict(&mut self) -> bool {
        let Some(mut first) = self.wheel.first_entry() else {
            return false;
        };
        let user = first.get_mut().pop();
        if first.get().is_empty() {
            first.remove();
        }
        if let Some(user) = user {
            self.forget(&user);
        }
        true
    }

    fn forget(&mut self, user: &str) {
        if let Some(claims) = self.roster.users.remove(user) {
            for claim in claims.as_slice() {
                self.sites[usize::from(claim.directory)]
                    .persons
                    .remove(&claim.person);
            }
        }
    }

    fn turn_wheel(&mut self, now: Time) {
        let second = ms(now).div_euclid(1000);
        for _ in 0..SWEEP {
            let Some(mut first) = self.wheel.first_entry().filter(|e| *e.key() <= second) else {
                return;
            };
            let user = first.get_mut().pop();
            if first.get().is_empty() {
                first.remove();
            }
            let Some(user) = user else { continue };
            let Some(claims) = self.roster.users.get(user.as_str()) else {
                continue;
            };
            let claims = claims.as_slice().to_vec();
            let held = |c: &LookupRecord| {
                let site = &self.sites[usize::from(c.directory)];
                let followed = self.roster.directories[usize::from(c.directory)]
                    .followed
                    .is_some();
                let most = match c.result {
                    LookupResult::Tenant(_) => site.settings.lifetimes.max_stale,
                    _ => site.settings.lifetimes.negative,
                };
                followed || ms(now).saturating_sub(c.confirmed_at_ms) < ms(most)
            };
            if !claims.iter().any(held) {
                self.forget(&user);
                continue;
            }
            let day = self.day(now);
            let recent = claims
                .iter()
                .any(|c| day.wrapping_sub(c.last_wanted_day) <= SEEN_DAYS);
            for claim in &claims {
                let directory = usize::from(claim.directory);
                let settings = &self.sites[directory].settings;
                let followed = self.roster.directories[directory].followed.is_some();
                let old =
                    ms(now).saturating_sub(claim.confirmed_at_ms) >= ms(settings.lifetimes.fresh);
                if recent
                    && !followed
                    && old
                    && settings.daily_peak.is_some()
                    && matches!(claim.result, LookupResult::Tenant(_))
                {
                    self.queue(now, directory, user.as_str().into(), 2);
                }
            }
            // As if confirmed now, so that the next place is in the next window, unless it goes before.
            let due = claims.iter().map(|c| {
                let again = LookupRecord {
                    confirmed_at_ms: ms(now),
                    ..*c
                };
                let gone = self.look_again(now, &user, c);
                let slot = self.look_again(now, &user, &again);
                if gone > second + 2 {
                    gone.min(slot)
                } else {
                    slot
                }
            });
            let due = due.min().unwrap_or(second + 60);
            self.wheel.entry(due).or_default().push(user);
        }
    }

    // ---- followed directories ----

    fn told(&mut self, now: Time, directory: usize, news: SyncEvent, out: &mut Vec<Output>) {
        let now_ms = ms(now);
        match news {
            SyncEvent::RefreshStarted { full } => {
                self.sites[directory].telling = Some((now_ms, full));
            }
            SyncEvent::Entry(found) => {
                let told = self.place(directory, &found.dn);
                let renamed = self.sites[directory]
                    .persons
                    .get(&found.person)
                    .filter(|u| **u != found.user)
                    .cloned();
                if let Some(old) = renamed {
                    self.gone(now, directory, &old, out);
                }
                if told == LookupResult::Absent {
                    if self.roster.users.contains_key(&*found.user) {
                        self.gone(now, directory, &found.user, out);
                    }
                    return;
                }
                if self.roster.users.len() < self.max_users
                    || self.roster.users.contains_key(&*found.user)
                {
                    if found.person != PersonId::default() {
                        self.sites[directory]
                            .persons
                            .insert(found.person, found.user.clone());
                    }
                    // Changes come in their order: there is nothing to doubt.
                    let mark = self.known_mark(directory, &found.user);
                    self.claim(
                        now,
                        directory,
                        &found.user,
                        told,
                        found.person,
                        now_ms,
                        Some(mark),
                        out,
                    );
                }
            }
            SyncEvent::Deleted(person) => {
                if let Some(user) = self.sites[directory].persons.get(&person).cloned() {
                    self.gone(now, directory, &user, out);
                }
            }
            SyncEvent::Unchanged(person) => {
                let Some(user) = self.sites[directory].persons.get(&person).cloned() else {
                    return;
                };
                let old = self
                    .roster
                    .users
                    .get(&*user)
                    .and_then(|c| c.of(directory as u16))
                    .copied();
                if let Some(old) = old {
                    self.set(
                        now,
                        &user,
                        LookupRecord {
                            confirmed_at_ms: now_ms,
                            ..old
                        },
                    );
                }
            }
            SyncEvent::RefreshDone => {
                if let Some((began, true)) = self.sites[directory].telling.take() {
                    // Who was not told is not there. They are looked for in turns; readers see the old until then.
                    let all = Some(self.roster.users.clone());
                    // One for each directory: another's must not be lost to this one. A newer one holds the older's.
                    self.sweeps.retain(|s| s.directory != directory);
                    self.sweeps.push(Sweep {
                        directory,
                        began,
                        all,
                        missed: Vec::new(),
                    });
                }
                self.follow(directory, Some(now_ms));
            }
            SyncEvent::Heartbeat => {
                if self.roster.directories[directory].followed.is_some() {
                    self.follow(directory, Some(now_ms));
                }
            }
            SyncEvent::ConnectionLost => {
                // What was known is as of the last good moment: each claim gets that age, then ages like any other.
                self.sites[directory].telling = None;
            }
        }
    }

    fn known_mark(&self, directory: usize, user: &User) -> u64 {
        let claim = self
            .roster
            .users
            .get(&**user)
            .and_then(|c| c.of(directory as u16));
        claim.map_or(0, |c| c.change_number)
    }

    fn gone(&mut self, now: Time, directory: usize, user: &User, out: &mut Vec<Output>) {
        let mark = self.known_mark(directory, user);
        if let Some(claim) = self
            .roster
            .users
            .get(&**user)
            .and_then(|c| c.of(directory as u16))
        {
            self.sites[directory].persons.remove(&claim.person);
        }
        self.claim(
            now,
            directory,
            user,
            LookupResult::Absent,
            PersonId::default(),
            ms(now),
            Some(mark),
            out,
        );
    }

    fn follow(&mut self, directory: usize, at: Option<i64>) {
        let mut facts = self.roster.directories.to_vec();
        facts[directory].followed = at;
        self.roster.directories = facts.into();
    }

    /// Goes on with those who were not told in a refresh, some at a time.
    fn go_on_sweeping(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(mut sweep) = self.sweeps.pop() else {
            return;
        };
        let (directory, began) = (sweep.directory, sweep.began);
        if let Some(all) = sweep.all.take() {
            // Walking a shared map copies nothing and changes nothing.
            let missed = |(_, c): &(&CompactString, &LookupRecords)| {
                let claim = c.of(directory as u16);
                claim.is_some_and(|c| {
                    c.confirmed_at_ms < began && matches!(c.result, LookupResult::Tenant(_))
                })
            };
            sweep.missed = all
                .iter()
                .filter(missed)
                .map(|(u, _)| u.as_str().into())
                .collect();
        }
        for user in sweep
            .missed
            .split_off(sweep.missed.len().saturating_sub(SWEEP))
        {
            let still = self
                .roster
                .users
                .get(&*user)
                .and_then(|c| c.of(directory as u16));
            if still.is_some_and(|c| c.confirmed_at_ms < began) {
                self.gone(now, directory, &user, out);
            }
        }
        if !sweep.missed.is_empty() {
            self.sweeps.push(sweep);
        }
    }
}

/// How often a server is asked how it stands.
fn state_gap(settings: &DirectorySettings) -> Time {
    (settings.lifetimes.fresh / 2).clamp(50 * MS, 300_000 * MS)
}

impl Site {
    /// Whether somebody is to be asked for now.
    fn waits(&self, now: Time) -> bool {
        let [unknown, confirm, calm] = &self.queues;
        let calm = calm.len() >= self.settings.max_users_per_search
            || (!calm.is_empty() && now >= self.calm_due);
        calm || !unknown.is_empty() || !confirm.is_empty()
    }

    fn limits(&self) -> Limits {
        let s = &self.settings;
        Limits {
            failure_threshold: s.failure_threshold.max(1),
            backoff: s.backoff,
            max_searches: s.max_searches_per_server,
        }
    }

    /// Whether no server can be expected to answer while a call waits.
    fn is_slow(&self) -> bool {
        let usual = |s: &Server| {
            s.breaker == Breaker::Closed && s.pace().is_none_or(|p| p <= self.settings.hedge_after)
        };
        !self.servers.iter().any(usual)
    }

    /// The server to ask, if there is one with room.
    fn choose(&self, except: Option<usize>) -> Option<usize> {
        let limits = self.limits();
        let open = self
            .servers
            .iter()
            .enumerate()
            .filter(|(n, s)| Some(*n) != except && s.has_room(&limits));
        open.min_by(|a, b| a.1.cost().total_cmp(&b.1.cost()))
            .map(|(n, _)| n)
    }

    /// Notes how far a server has come. If another had come further before, since when it is behind.
    fn heard(&mut self, server: usize, mark: Option<u64>, at: i64) -> Option<i64> {
        let Some(mark) = mark else {
            self.servers[server].behind = false;
            return None;
        };
        let newest = self.marks.back().map(|m| m.0);
        if newest.is_none_or(|newest| mark > newest) {
            if self.marks.len() >= MARKS_MOST {
                self.marks.pop_front();
            }
            self.marks.push_back((mark, at));
        }
        let passed = self
            .marks
            .iter()
            .find(|(m, _)| *m > mark)
            .map(|(_, since)| *since);
        self.servers[server].behind = passed.is_some();
        passed
    }
}
