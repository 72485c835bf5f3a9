//! From wants and answers to searches and facts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use compact_str::CompactString;
use pipithub_ldap::Dn;

use crate::daily_peak::DAY_MS;
use crate::jitter::stable_fraction;
use crate::messages::{Input, Output, SyncEvent};
use crate::persistent_map::PersistentMap;
use crate::record::{LookupRecord, LookupRecords, LookupResult, PersonId, TenantId, User};
use crate::roster::{DirectoryStatus, Resolution, Roster};
use crate::search::{DirectoryEntry, Query, SearchError, SearchId, SearchResponse};
use crate::server::{Breaker, Server, ServerLimits};
use crate::settings::{DirectorySettings, Settings, TenantBase};
use crate::snapshot::StoredRecord;
use crate::stats::Stats;
use crate::time::{MILLISECOND, Time, to_ms};

/// Names that a user may have, in bytes.
const MAX_NAME_LENGTH: usize = 256;
/// Times that a user is asked for before whoever wants to know must say so again.
const MAX_ATTEMPTS: u8 = 2;
/// Marks of a directory that are remembered with the time at which they were first seen.
const MAX_OBSERVED: usize = 64;
/// Entries looked at in one turn when a followed directory's refresh is over, or when old ones go.
const MAX_USERS_PER_TURN: usize = 2_048;
/// Of all searches, those that may be made twice at once.
const HEDGED_FRACTION: f64 = 0.1;
/// What nobody waits for is gathered for so long at the most.
const MAX_BACKGROUND_DELAY: Time = 30_000 * MILLISECOND;
/// Days after which a user who was not seen is not asked for ahead of a peak.
const MAX_UNWANTED_DAYS: u8 = 14;

/// A refresh of a followed directory that is over: who was not told in it is looked for, some at a time.
struct RemovalSweep {
    directory: usize,
    started_at: i64,
    /// Everybody, as long as those who were not told are not gathered.
    unsearched: Option<PersistentMap<CompactString, LookupRecords>>,
    to_remove: Vec<User>,
}

struct SearchInFlight {
    directory: usize,
    server: usize,
    query: Query,
    started_at: Time,
    deadline: Time,
    /// When a second server is asked; `None`: it was, or is not.
    hedge_at: Option<Time>,
    /// The other search for the same users.
    hedge_partner: Option<SearchId>,
    attempts: u8,
}

struct DirectoryState {
    settings: DirectorySettings,
    servers: Vec<Server>,
    /// Users to ask for, each with the times it was tried: first those of whom nothing is known and a call waits, then
    /// those who are to be confirmed before a call, then all others.
    queues: [VecDeque<(User, u8)>; 3],
    /// When the last of these is asked for, unless a search that goes out before has room for it.
    background_due: Time,
    /// Users that are queued or asked for: nobody is asked for twice at a time.
    pending: HashSet<User>,
    /// Users wanted while no server could be asked: asked for together when one can.
    deferred: HashSet<User>,
    search_tokens: f64,
    last_refill: Time,
    hedge_budget: f64,
    /// Marks from the oldest to the newest, and when each was first seen.
    observed: VecDeque<(u64, i64)>,
    /// Changes told once by a server without marks.
    unconfirmed: BTreeMap<User, (LookupResult, Time)>,
    rechecks: BTreeSet<(Time, User)>,
    poll_due: Option<Time>,
    /// When each server is asked how it stands, if it is not asked for anything else: one that is never the fastest is
    /// heard all the same, and only by comparing can one that is behind be told.
    state_check_due: Vec<Time>,
    newest_modify_timestamp: Option<String>,
    /// Of a followed directory: whose entry is whose, and when the telling under way began.
    synchronized_users: HashMap<PersonId, User>,
    refresh: Option<(i64, bool)>,
}

/// The directories of a front end, and what is known through them.
pub struct Directory {
    tenants: Vec<TenantBase>,
    max_users: usize,
    max_queue: usize,
    seed: u64,
    wall_clock_offset_ms: i64,
    directories: Vec<DirectoryState>,
    roster: Roster,
    searches: BTreeMap<SearchId, SearchInFlight>,
    next_search: u64,
    chance: u64,
    /// When users are looked at again, by second; one place each.
    wheel: BTreeMap<i64, Vec<CompactString>>,
    sweeps: Vec<RemovalSweep>,
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
        let facts = |d: &DirectorySettings| DirectoryStatus {
            lifetimes: d.lifetimes,
            synchronized_at_ms: None,
            is_slow: false,
        };
        let state = |(n, d): (usize, &DirectorySettings)| DirectoryState {
            servers: vec![Server::new(); d.server_count.max(1)],
            queues: Default::default(),
            background_due: 0,
            pending: HashSet::new(),
            deferred: HashSet::new(),
            search_tokens: (d.max_searches_per_second / 4.0).max(1.0),
            last_refill: 0,
            hedge_budget: 1.0,
            observed: VecDeque::new(),
            unconfirmed: BTreeMap::new(),
            rechecks: BTreeSet::new(),
            // Front ends that start together do not poll together.
            poll_due: (d.poll_interval > 0).then(|| {
                (d.poll_interval as f64 * stable_fraction("poll", settings.seed ^ n as u64)) as Time
            }),
            state_check_due: (0..d.server_count.max(1))
                .map(|s| {
                    (state_check_interval(d) as f64
                        * stable_fraction("state", settings.seed ^ (n * 64 + s) as u64))
                        as Time
                })
                .collect(),
            newest_modify_timestamp: None,
            synchronized_users: HashMap::new(),
            refresh: None,
            settings: d.clone(),
        };
        Directory {
            directories: settings.directories.iter().enumerate().map(state).collect(),
            roster: Roster {
                users: PersistentMap::new(),
                directories: settings.directories.iter().map(facts).collect(),
                realms: Arc::new(realms),
                others: others.into(),
            },
            tenants: settings.tenants,
            max_users: settings.max_users.max(1),
            max_queue: settings.max_queue.max(1),
            seed: settings.seed,
            wall_clock_offset_ms: settings.wall_clock_offset_ms,
            searches: BTreeMap::new(),
            next_search: 0,
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
        self.directories
            .get(directory)
            .is_some_and(|s| s.servers.iter().any(|s| s.breaker == Breaker::Closed))
    }

    /// Searches under way.
    pub fn searches_in_flight(&self) -> usize {
        self.searches.len()
    }

    /// Takes what a snapshot holds. Facts past their bound were left out of it; none of them is asked for at once.
    pub fn restore(&mut self, now: Time, facts: Vec<StoredRecord>) {
        let last_wanted_day = self.day(now);
        for StoredRecord { user, record } in facts {
            let record = LookupRecord {
                last_wanted_day,
                ..record
            };
            if usize::from(record.directory) < self.directories.len()
                && self.roster.users.len() < self.max_users
            {
                self.store(now, &user, record);
            }
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let mut due = Vec::new();
        for outputs in self.searches.values() {
            due.push(outputs.deadline);
            due.extend(outputs.hedge_at);
        }
        for state in &self.directories {
            for server in &state.servers {
                if let Breaker::Open { until, .. } = server.breaker {
                    due.push(until);
                }
            }
            due.extend(state.poll_due);
            due.extend(state.state_check_due.iter().min());
            due.extend(state.rechecks.first().map(|l| l.0));
            let limits = state.server_limits();
            if !state.queues[2].is_empty() {
                due.push(state.background_due.max(now + MILLISECOND));
            }
            if state.has_due_lookups(now)
                && state.search_tokens < 1.0
                && state.servers.iter().any(|s| s.has_capacity(&limits))
            {
                let missing =
                    (1.0 - state.search_tokens) / state.settings.max_searches_per_second.max(0.01);
                due.push(
                    state
                        .last_refill
                        .saturating_add((missing * 1e9) as Time + MILLISECOND),
                );
            }
        }
        due.extend(
            self.wheel
                .keys()
                .next()
                .map(|s| u64::try_from(s.saturating_mul(1000)).unwrap_or(0) * MILLISECOND),
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
    pub fn handle(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::LookUp { user, urgent } => self.look_up(now, user, urgent, outputs),
            Input::SearchEnded { search, outcome } => {
                self.end_search(now, search, outcome, outputs);
            }
            Input::Synchronization { directory, event } if directory < self.directories.len() => {
                self.synchronize(now, directory, event, outputs);
            }
            Input::Synchronization { .. } => {}
        }
        self.expire_searches(now, outputs);
        self.check_due_users(now);
        self.continue_sweep(now, outputs);
        for directory in 0..self.directories.len() {
            self.dispatch(now, directory, outputs);
            let slow = self.directories[directory].is_slow();
            if self.roster.directories[directory].is_slow != slow {
                let mut facts = self.roster.directories.to_vec();
                facts[directory].is_slow = slow;
                self.roster.directories = facts.into();
            }
        }
    }

    /// Takes the wall time that `now` stands for, as the wall clock may have been stepped. Only days and daily peaks
    /// follow it; how old facts are is counted in monotonic time. Users whose next look is planned keep their place, so
    /// that a step moves the refreshes ahead of the next peak, and none after it.
    pub fn set_wall_clock(&mut self, now: Time, wall_ms: i64) {
        self.wall_clock_offset_ms = wall_ms.saturating_sub(to_ms(now));
    }

    // ---- wants ----

    fn day(&self, now: Time) -> u8 {
        self.wall_clock_offset_ms
            .saturating_add(to_ms(now))
            .div_euclid(DAY_MS)
            .rem_euclid(256) as u8
    }

    fn look_up(&mut self, now: Time, user: User, urgent: bool, outputs: &mut Vec<Output>) {
        let relevant: Vec<u16> = self.roster.directories_for(&user).to_vec();
        if relevant.is_empty() || user.is_empty() || user.len() > MAX_NAME_LENGTH {
            return outputs.push(Output::LookupFinished(user));
        }
        let day = self.day(now);
        let last_wanted_day = |records: &LookupRecords| {
            records
                .as_slice()
                .first()
                .filter(|c| c.last_wanted_day != day)
                .copied()
        };
        if let Some(records) = self.roster.users.get(&*user)
            && let Some(record) = last_wanted_day(records)
        {
            let records = records.with(LookupRecord {
                last_wanted_day: day,
                ..record
            });
            self.roster.users.insert((&*user).into(), records);
        }
        let queue = match (urgent, self.roster.resolve(&user, now)) {
            (true, Resolution::Unknown) => 0,
            (true, _) => 1,
            (false, _) => 2,
        };
        let mut asked = false;
        for directory in relevant {
            asked |= self.enqueue(now, usize::from(directory), user.clone(), queue);
        }
        if !asked {
            // Nobody will ask: whoever waits must not.
            outputs.push(Output::LookupFinished(user));
        }
    }

    /// Whether the user will be asked for.
    fn enqueue(&mut self, now: Time, directory: usize, user: User, queue: usize) -> bool {
        let most = self.max_queue;
        let state = &mut self.directories[directory];
        if state.pending.contains(&user) {
            // A call waits now for one that was queued at leisure.
            let behind = &mut state.queues[2];
            if queue < 2
                && let Some(at) = behind.iter().take(256).position(|(u, _)| *u == user)
            {
                let moved = behind.remove(at);
                state.queues[queue].extend(moved);
            }
            return true;
        }
        if state.queues[queue].len() >= most {
            self.stats.dropped_lookups += 1;
            return false;
        }
        if queue == 2 && state.queues[2].is_empty() {
            // What nobody waits for is gathered into one search.
            state.background_due =
                now.saturating_add((state.settings.lifetimes.fresh / 16).min(MAX_BACKGROUND_DELAY));
        }
        state.queues[queue].push_back((user.clone(), 0));
        state.pending.insert(user);
        true
    }

    /// Tells of a user when no directory is being asked for them any more: an answer from one of several is not yet one.
    fn finish_lookup(&self, user: User, outputs: &mut Vec<Output>) {
        let pending = |d: &u16| self.directories[usize::from(*d)].pending.contains(&user);
        if !self.roster.directories_for(&user).iter().any(pending) {
            outputs.push(Output::LookupFinished(user));
        }
    }

    // ---- searches ----

    fn dispatch(&mut self, now: Time, directory: usize, outputs: &mut Vec<Output>) {
        let state = &mut self.directories[directory];
        let passed = now.saturating_sub(state.last_refill) as f64 / 1e9;
        state.last_refill = state.last_refill.max(now);
        let burst = (state.settings.max_searches_per_second / 4.0).max(1.0);
        state.search_tokens =
            (state.search_tokens + passed * state.settings.max_searches_per_second).min(burst);
        while let Some((_, user)) = self.directories[directory]
            .rechecks
            .first()
            .filter(|l| l.0 <= now)
            .cloned()
        {
            let state = &mut self.directories[directory];
            let first = state.rechecks.pop_first();
            if first.is_some() {
                self.enqueue(now, directory, user, 2);
            }
        }
        self.start_checks(now, directory, outputs);
        let state = &mut self.directories[directory];
        if !state.servers.iter().any(|s| s.breaker == Breaker::Closed) {
            // Nobody can say: whoever waits is told so at once, and what is asked at leisure is asked by its next call.
            let users: Vec<User> = state
                .queues
                .iter_mut()
                .flat_map(|q| q.drain(..))
                .map(|(user, _)| user)
                .collect();
            for user in &users {
                state.pending.remove(user);
                if state.deferred.len() < self.max_queue {
                    state.deferred.insert(user.clone());
                }
            }
            return users
                .into_iter()
                .for_each(|user| self.finish_lookup(user, outputs));
        }
        // It is back: whoever called meanwhile is asked for in few searches, not each by their next call.
        for user in std::mem::take(&mut state.deferred) {
            self.enqueue(now, directory, user, 2);
        }
        loop {
            let state = &mut self.directories[directory];
            if state.search_tokens < 1.0 || !state.has_due_lookups(now) {
                return;
            }
            let Some(server) = state.choose_server(None) else {
                return;
            };
            let mut users = Vec::new();
            let mut attempts = 0;
            while users.len() < state.settings.max_users_per_search.max(1) {
                // Those that were tried before go without others: what failed may be of their making.
                let Some(queue) = state.queues.iter_mut().find(|q| !q.is_empty()) else {
                    break;
                };
                match queue.front() {
                    Some((_, t)) if users.is_empty() || *t == attempts => attempts = *t,
                    _ => break,
                }
                users.extend(queue.pop_front().map(|(user, _)| user));
            }
            state.search_tokens -= 1.0;
            state.hedge_budget = (state.hedge_budget + HEDGED_FRACTION).min(4.0);
            self.stats.searches += 1;
            self.stats.searched_users += users.len() as u64;
            self.start_search(
                now,
                directory,
                server,
                Query::Users(users),
                attempts,
                outputs,
            );
        }
    }

    fn start_search(
        &mut self,
        now: Time,
        directory: usize,
        server: usize,
        query: Query,
        attempts: u8,
        outputs: &mut Vec<Output>,
    ) -> SearchId {
        let id = SearchId(self.next_search);
        self.next_search += 1;
        let state = &mut self.directories[directory];
        state.servers[server].in_flight += 1;
        // A server that is slow as a rule is not asked twice for that.
        let usual = state.servers[server]
            .mean_response_time()
            .unwrap_or(0)
            .saturating_mul(3);
        let hedge = now.saturating_add(
            state
                .settings
                .hedge_after
                .max(usual.min(state.settings.timeout / 2)),
        );
        let begun = SearchInFlight {
            directory,
            server,
            started_at: now,
            deadline: now.saturating_add(state.settings.timeout),
            hedge_at: matches!(query, Query::Users(_)).then_some(hedge),
            hedge_partner: None,
            attempts,
            query: query.clone(),
        };
        self.searches.insert(id, begun);
        outputs.push(Output::Search {
            id,
            directory,
            server,
            query,
        });
        id
    }

    /// Tries servers that were left alone, and asks for what changed.
    fn start_checks(&mut self, now: Time, directory: usize, outputs: &mut Vec<Output>) {
        for server in 0..self.directories[directory].servers.len() {
            if let Breaker::Open { until, backoff } =
                self.directories[directory].servers[server].breaker
                && now >= until
            {
                self.stats.probes += 1;
                let probe =
                    self.start_search(now, directory, server, Query::ServerState, 0, outputs);
                self.directories[directory].servers[server].breaker =
                    Breaker::HalfOpen { probe, backoff };
            }
            let state = &mut self.directories[directory];
            if now >= state.state_check_due[server] {
                let gap = state_check_interval(&state.settings);
                // One that has just answered is known as it is, and one alone is never behind another.
                let heard = state.servers[server]
                    .last_response_at
                    .filter(|at| now < at.saturating_add(gap));
                state.state_check_due[server] = heard.unwrap_or(now).saturating_add(gap);
                if heard.is_none()
                    && state.servers.len() > 1
                    && state.servers[server].breaker == Breaker::Closed
                {
                    self.stats.probes += 1;
                    self.start_search(now, directory, server, Query::ServerState, 0, outputs);
                }
            }
        }
        let state = &mut self.directories[directory];
        if state.poll_due.is_some_and(|due| now >= due) {
            state.poll_due = Some(now + state.settings.poll_interval);
            if let Some(server) = state.choose_server(None) {
                let since = state.newest_modify_timestamp.clone();
                self.stats.probes += 1;
                self.start_search(
                    now,
                    directory,
                    server,
                    Query::ChangedSince(since),
                    0,
                    outputs,
                );
            }
        }
    }

    /// Searches whose time is up, and those for which a second server is asked.
    fn expire_searches(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let late: Vec<SearchId> = self
            .searches
            .iter()
            .filter(|(_, o)| o.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if self.searches.contains_key(&id) {
                outputs.push(Output::CancelSearch(id));
                self.end_search(now, id, Err(SearchError::TimedOut), outputs);
            }
        }
        let slow = self
            .searches
            .iter()
            .filter(|(_, o)| o.hedge_at.is_some_and(|at| at <= now));
        let slow: Vec<SearchId> = slow.map(|(id, _)| *id).collect();
        for id in slow {
            let Some(search) = self.searches.get_mut(&id) else {
                continue;
            };
            search.hedge_at = None;
            let (directory, server, attempts, query) = (
                search.directory,
                search.server,
                search.attempts,
                search.query.clone(),
            );
            let state = &mut self.directories[directory];
            if state.hedge_budget < 1.0 {
                continue;
            }
            let Some(other) = state.choose_server(Some(server)) else {
                continue;
            };
            state.hedge_budget -= 1.0;
            self.stats.hedged_searches += 1;
            let hedge_partner = self.start_search(now, directory, other, query, attempts, outputs);
            if let Some(hedge_partner) = self.searches.get_mut(&hedge_partner) {
                (hedge_partner.hedge_at, hedge_partner.hedge_partner) = (None, Some(id));
            }
            if let Some(search) = self.searches.get_mut(&id) {
                search.hedge_partner = Some(hedge_partner);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
    fn end_search(
        &mut self,
        now: Time,
        id: SearchId,
        outcome: Result<SearchResponse, SearchError>,
        outputs: &mut Vec<Output>,
    ) {
        // One that was given up has ended before.
        let Some(search) = self.searches.remove(&id) else {
            return;
        };
        let directory = search.directory;
        let jitter = self.chance();
        let state = &mut self.directories[directory];
        let limits = state.server_limits();
        let server = &mut state.servers[search.server];
        server.in_flight = server.in_flight.saturating_sub(1);
        let outcome = match outcome {
            // Without its base it is still loading: that it knows nobody means nothing.
            Ok(response) if !response.base_exists => Err(SearchError::Unavailable),
            // Entries that nobody asked for: what it says of those who were asked for is worth as little.
            Ok(response) if search.query.is_answered_wrongly(&response) => {
                self.stats.unexpected_entries += 1;
                Err(SearchError::InvalidResponse)
            }
            other => other,
        };
        let response = match outcome {
            Ok(response) => response,
            Err(failure) => {
                self.stats.failed_searches += 1;
                let hard = matches!(
                    failure,
                    SearchError::Unavailable
                        | SearchError::Denied
                        | SearchError::InvalidResponse
                        | SearchError::Referral(_)
                );
                server.record_failure(now, hard, jitter, &limits);
                if let Some(hedge_partner) =
                    search.hedge_partner.and_then(|t| self.searches.get_mut(&t))
                {
                    hedge_partner.hedge_partner = None;
                } else if let Query::Users(users) = search.query {
                    self.retry(directory, users, search.attempts, outputs);
                }
                return;
            }
        };
        server.record_response(now, now.saturating_sub(search.started_at), &limits);
        let current = state.record_change_number(
            search.server,
            response.change_number,
            to_ms(search.started_at),
        );
        // What is told is as of before the question was asked, or as of when this copy was the newest there was.
        let confirmed = current.unwrap_or(to_ms(search.started_at));
        if current.is_some() {
            self.stats.outdated_results += 1;
        }
        match search.query {
            Query::ServerState => {}
            Query::ChangedSince(_) => {
                for entry in response.entries {
                    // Only of those that are known: who was never here is asked for when they are.
                    if self.roster.users.contains_key(&*entry.user) {
                        let result = self.find_tenant(directory, &entry.dn);
                        self.observe(
                            now,
                            directory,
                            &entry.user,
                            result,
                            entry.person,
                            confirmed,
                            response.change_number,
                            outputs,
                        );
                    }
                }
                let state = &mut self.directories[directory];
                state.newest_modify_timestamp = response
                    .newest_modify_timestamp
                    .max(state.newest_modify_timestamp.take());
            }
            Query::Users(users) => {
                if let Some(hedge_partner) = search.hedge_partner
                    && let Some(other) = self.searches.remove(&hedge_partner)
                {
                    let state = &mut self.directories[directory];
                    let server = &mut state.servers[other.server];
                    server.in_flight = server.in_flight.saturating_sub(1);
                    outputs.push(Output::CancelSearch(hedge_partner));
                }
                let mut result: HashMap<&User, Vec<&DirectoryEntry>> = HashMap::new();
                for entry in &response.entries {
                    result.entry(&entry.user).or_default().push(entry);
                }
                let mut unsure = Vec::new();
                for user in &users {
                    let (result, person) = match result.get(user).map(Vec::as_slice) {
                        None | Some([]) => (LookupResult::Absent, PersonId::default()),
                        Some([one]) => (self.find_tenant(directory, &one.dn), one.person),
                        Some(_) => (LookupResult::Ambiguous, PersonId::default()),
                    };
                    // That a copy which is behind does not know somebody says nothing of now.
                    if current.is_some() && result == LookupResult::Absent {
                        unsure.push(user.clone());
                        continue;
                    }
                    self.directories[directory].pending.remove(user);
                    self.observe(
                        now,
                        directory,
                        user,
                        result,
                        person,
                        confirmed,
                        response.change_number,
                        outputs,
                    );
                    self.finish_lookup(user.clone(), outputs);
                }
                if !unsure.is_empty() {
                    self.retry(directory, unsure, search.attempts, outputs);
                }
            }
        }
    }

    /// Asks again for users whose search came to nothing, if they may be.
    fn retry(
        &mut self,
        directory: usize,
        users: Vec<User>,
        attempts: u8,
        outputs: &mut Vec<Output>,
    ) {
        let state = &mut self.directories[directory];
        let mut ended = Vec::new();
        for user in users.into_iter().rev() {
            if attempts + 1 < MAX_ATTEMPTS {
                state.queues[0].push_front((user, attempts + 1));
            } else {
                state.pending.remove(&user);
                ended.push(user);
            }
        }
        ended
            .into_iter()
            .for_each(|user| self.finish_lookup(user, outputs));
    }

    // ---- facts ----

    fn find_tenant(&mut self, directory: usize, dn: &Dn) -> LookupResult {
        let within =
            |(_, t): &(usize, &TenantBase)| t.directory == directory && dn.is_within(&t.base);
        let entry = self
            .tenants
            .iter()
            .enumerate()
            .filter(within)
            .max_by_key(|(_, t)| t.base.depth());
        if let Some((n, _)) = entry {
            LookupResult::Tenant(TenantId(n as u16))
        } else {
            self.stats.unexpected_entries += 1;
            LookupResult::Absent
        }
    }

    /// Weighs what a server said against what is known, and keeps it if it is the better.
    #[allow(clippy::too_many_arguments, reason = "one fact with its circumstances")]
    fn observe(
        &mut self,
        now: Time,
        directory: usize,
        user: &User,
        result: LookupResult,
        person: PersonId,
        confirmed: i64,
        mark: Option<u64>,
        outputs: &mut Vec<Output>,
    ) {
        let spread = (self.chance() * 256.0) as u8;
        let record = LookupRecord {
            directory: directory as u16,
            result,
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
            .and_then(|c| c.of(record.directory))
            .copied();
        let record = LookupRecord {
            last_wanted_day: old.map_or_else(|| self.day(now), |o| o.last_wanted_day),
            ..record
        };
        if let Some(old) = old {
            // A copy that is behind what was said before, or an answer that was overtaken by a later one.
            if record.change_number < old.change_number
                || record.confirmed_at_ms < old.confirmed_at_ms
            {
                self.stats.outdated_results += 1;
                return;
            }
            let differs = old.result != result || old.person != person;
            let positive =
                matches!(old.result, LookupResult::Tenant(_)) && self.is_valid(&old, now);
            let state = &mut self.directories[directory];
            if !differs {
                state.unconfirmed.remove(user);
            } else if positive && mark.is_none() {
                // Nothing tells whether this server is behind: it must say so twice.
                let doubt = state.settings.change_confirmation_delay;
                match state.unconfirmed.get(user) {
                    Some((before, at)) if *before == result && now >= at.saturating_add(doubt) => {
                        state.unconfirmed.remove(user);
                    }
                    Some((before, _)) if *before == result => return,
                    _ if state.unconfirmed.len() < self.max_queue => {
                        state.unconfirmed.insert(user.clone(), (result, now));
                        state
                            .rechecks
                            .insert((now.saturating_add(doubt), user.clone()));
                        return;
                    }
                    // With no room for doubts, what is new goes before what is old.
                    _ => {}
                }
            }
        }
        let before = self.roster.resolve(user, now);
        self.store(now, user, record);
        let after = self.roster.resolve(user, now);
        let side = |v: &Resolution| match v {
            Resolution::Tenant { tenant, person, .. } => Some((*tenant, *person)),
            _ => None,
        };
        if side(&before).is_some() && side(&before) != side(&after) {
            self.stats.migrated_users += 1;
            outputs.push(Output::UserMigrated(user.clone()));
        }
    }

    fn is_valid(&self, record: &LookupRecord, now: Time) -> bool {
        let most = self.directories[usize::from(record.directory)]
            .settings
            .lifetimes
            .max_stale;
        to_ms(now).saturating_sub(record.confirmed_at_ms) < to_ms(most)
    }

    fn store(&mut self, now: Time, user: &User, record: LookupRecord) {
        let records = if let Some(records) = self.roster.users.get(&**user) {
            records.with(record)
        } else {
            while self.roster.users.len() >= self.max_users && self.evict_user() {}
            let due = self.next_check(now, user, &record);
            self.wheel.entry(due).or_default().push((&**user).into());
            LookupRecords::One(record)
        };
        self.roster.users.insert((&**user).into(), records);
    }

    /// The second at which a user is looked at again: to be asked for ahead of the peak, or to go.
    fn next_check(&self, now: Time, user: &str, record: &LookupRecord) -> i64 {
        let settings = &self.directories[usize::from(record.directory)].settings;
        let most = match record.result {
            LookupResult::Tenant(_) => settings.lifetimes.max_stale,
            LookupResult::Absent | LookupResult::Ambiguous => settings.lifetimes.negative,
        };
        let gone = record.confirmed_at_ms.saturating_add(to_ms(most));
        let slot = settings.daily_peak.map(|peak| {
            let confirmed = self
                .wall_clock_offset_ms
                .saturating_add(record.confirmed_at_ms);
            peak.refresh_time(confirmed, stable_fraction(user, self.seed))
                .saturating_sub(self.wall_clock_offset_ms)
        });
        let due = slot
            .filter(|_| matches!(record.result, LookupResult::Tenant(_)))
            .map_or(gone, |s| s.min(gone));
        due.max(to_ms(now).saturating_add(1000))
            .div_euclid(1000)
            .saturating_add(1)
    }

    /// Lets go of the user whose turn would be next: the oldest, or one who is nobody's.
    fn evict_user(&mut self) -> bool {
        let Some(mut first) = self.wheel.first_entry() else {
            return false;
        };
        let user = first.get_mut().pop();
        if first.get().is_empty() {
            first.remove();
        }
        if let Some(user) = user {
            self.remove_user(&user);
        }
        true
    }

    fn remove_user(&mut self, user: &str) {
        if let Some(records) = self.roster.users.remove(user) {
            for record in records.as_slice() {
                self.directories[usize::from(record.directory)]
                    .synchronized_users
                    .remove(&record.person);
            }
        }
    }

    fn check_due_users(&mut self, now: Time) {
        let second = to_ms(now).div_euclid(1000);
        for _ in 0..MAX_USERS_PER_TURN {
            let Some(mut first) = self.wheel.first_entry().filter(|e| *e.key() <= second) else {
                return;
            };
            let user = first.get_mut().pop();
            if first.get().is_empty() {
                first.remove();
            }
            let Some(user) = user else { continue };
            let Some(records) = self.roster.users.get(user.as_str()) else {
                continue;
            };
            let records = records.as_slice().to_vec();
            let held = |c: &LookupRecord| {
                let state = &self.directories[usize::from(c.directory)];
                let synchronized_at_ms = self.roster.directories[usize::from(c.directory)]
                    .synchronized_at_ms
                    .is_some();
                let most = match c.result {
                    LookupResult::Tenant(_) => state.settings.lifetimes.max_stale,
                    _ => state.settings.lifetimes.negative,
                };
                synchronized_at_ms || to_ms(now).saturating_sub(c.confirmed_at_ms) < to_ms(most)
            };
            if !records.iter().any(held) {
                self.remove_user(&user);
                continue;
            }
            let day = self.day(now);
            let recent = records
                .iter()
                .any(|c| day.wrapping_sub(c.last_wanted_day) <= MAX_UNWANTED_DAYS);
            for record in &records {
                let directory = usize::from(record.directory);
                let settings = &self.directories[directory].settings;
                let synchronized_at_ms = self.roster.directories[directory]
                    .synchronized_at_ms
                    .is_some();
                let old = to_ms(now).saturating_sub(record.confirmed_at_ms)
                    >= to_ms(settings.lifetimes.fresh);
                if recent
                    && !synchronized_at_ms
                    && old
                    && settings.daily_peak.is_some()
                    && matches!(record.result, LookupResult::Tenant(_))
                {
                    self.enqueue(now, directory, user.as_str().into(), 2);
                }
            }
            // As if confirmed now, so that the next place is in the next window, unless it goes before.
            let due = records.iter().map(|c| {
                let again = LookupRecord {
                    confirmed_at_ms: to_ms(now),
                    ..*c
                };
                let gone = self.next_check(now, &user, c);
                let slot = self.next_check(now, &user, &again);
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

    fn synchronize(
        &mut self,
        now: Time,
        directory: usize,
        event: SyncEvent,
        outputs: &mut Vec<Output>,
    ) {
        let now_ms = to_ms(now);
        match event {
            SyncEvent::RefreshStarted { full } => {
                self.directories[directory].refresh = Some((now_ms, full));
            }
            SyncEvent::Entry(entry) => {
                let result = self.find_tenant(directory, &entry.dn);
                let renamed = self.directories[directory]
                    .synchronized_users
                    .get(&entry.person)
                    .filter(|u| **u != entry.user)
                    .cloned();
                if let Some(old) = renamed {
                    self.report_absent(now, directory, &old, outputs);
                }
                if result == LookupResult::Absent {
                    if self.roster.users.contains_key(&*entry.user) {
                        self.report_absent(now, directory, &entry.user, outputs);
                    }
                    return;
                }
                if self.roster.users.len() < self.max_users
                    || self.roster.users.contains_key(&*entry.user)
                {
                    if entry.person != PersonId::default() {
                        self.directories[directory]
                            .synchronized_users
                            .insert(entry.person, entry.user.clone());
                    }
                    // Changes come in their order: there is nothing to doubt.
                    let mark = self.known_change_number(directory, &entry.user);
                    self.observe(
                        now,
                        directory,
                        &entry.user,
                        result,
                        entry.person,
                        now_ms,
                        Some(mark),
                        outputs,
                    );
                }
            }
            SyncEvent::Deleted(person) => {
                if let Some(user) = self.directories[directory]
                    .synchronized_users
                    .get(&person)
                    .cloned()
                {
                    self.report_absent(now, directory, &user, outputs);
                }
            }
            SyncEvent::Unchanged(person) => {
                let Some(user) = self.directories[directory]
                    .synchronized_users
                    .get(&person)
                    .cloned()
                else {
                    return;
                };
                let old = self
                    .roster
                    .users
                    .get(&*user)
                    .and_then(|c| c.of(directory as u16))
                    .copied();
                if let Some(old) = old {
                    let confirmed = LookupRecord {
                        confirmed_at_ms: now_ms,
                        ..old
                    };
                    self.store(now, &user, confirmed);
                }
            }
            SyncEvent::RefreshDone => {
                if let Some((started_at, true)) = self.directories[directory].refresh.take() {
                    // Who was not told is not there. They are looked for in turns; readers see the old until then.
                    let all = Some(self.roster.users.clone());
                    // One for each directory: another's must not be lost to this one. A newer one holds the older's.
                    self.sweeps.retain(|s| s.directory != directory);
                    self.sweeps.push(RemovalSweep {
                        directory,
                        started_at,
                        unsearched: all,
                        to_remove: Vec::new(),
                    });
                }
                self.confirm_directory(directory, Some(now_ms));
            }
            SyncEvent::Heartbeat => {
                if self.roster.directories[directory]
                    .synchronized_at_ms
                    .is_some()
                {
                    self.confirm_directory(directory, Some(now_ms));
                }
            }
            SyncEvent::ConnectionLost => {
                // What was known is as of the last good moment: each claim gets that age, then ages like any other.
                self.directories[directory].refresh = None;
            }
        }
    }

    fn known_change_number(&self, directory: usize, user: &User) -> u64 {
        let record = self
            .roster
            .users
            .get(&**user)
            .and_then(|c| c.of(directory as u16));
        record.map_or(0, |c| c.change_number)
    }

    fn report_absent(
        &mut self,
        now: Time,
        directory: usize,
        user: &User,
        outputs: &mut Vec<Output>,
    ) {
        let mark = self.known_change_number(directory, user);
        if let Some(record) = self
            .roster
            .users
            .get(&**user)
            .and_then(|c| c.of(directory as u16))
        {
            self.directories[directory]
                .synchronized_users
                .remove(&record.person);
        }
        self.observe(
            now,
            directory,
            user,
            LookupResult::Absent,
            PersonId::default(),
            to_ms(now),
            Some(mark),
            outputs,
        );
    }

    fn confirm_directory(&mut self, directory: usize, at: Option<i64>) {
        let mut facts = self.roster.directories.to_vec();
        facts[directory].synchronized_at_ms = at;
        self.roster.directories = facts.into();
    }

    /// Goes on with those who were not told in a refresh, some at a time.
    fn continue_sweep(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let Some(mut sweep) = self.sweeps.pop() else {
            return;
        };
        let (directory, started_at) = (sweep.directory, sweep.started_at);
        if let Some(all) = sweep.unsearched.take() {
            // Walking a shared map copies nothing and changes nothing.
            let missed = |(_, c): &(&CompactString, &LookupRecords)| {
                let record = c.of(directory as u16);
                record.is_some_and(|c| {
                    c.confirmed_at_ms < started_at && matches!(c.result, LookupResult::Tenant(_))
                })
            };
            sweep.to_remove = all
                .iter()
                .filter(missed)
                .map(|(u, _)| u.as_str().into())
                .collect();
        }
        for user in sweep
            .to_remove
            .split_off(sweep.to_remove.len().saturating_sub(MAX_USERS_PER_TURN))
        {
            let still = self
                .roster
                .users
                .get(&*user)
                .and_then(|c| c.of(directory as u16));
            if still.is_some_and(|c| c.confirmed_at_ms < started_at) {
                self.report_absent(now, directory, &user, outputs);
            }
        }
        if !sweep.to_remove.is_empty() {
            self.sweeps.push(sweep);
        }
    }
}

/// How often a server is asked how it stands.
fn state_check_interval(settings: &DirectorySettings) -> Time {
    (settings.lifetimes.fresh / 2).clamp(50 * MILLISECOND, 300_000 * MILLISECOND)
}

impl DirectoryState {
    /// Whether somebody is to be asked for now.
    fn has_due_lookups(&self, now: Time) -> bool {
        let [unknown, confirm, background] = &self.queues;
        let background = background.len() >= self.settings.max_users_per_search
            || (!background.is_empty() && now >= self.background_due);
        background || !unknown.is_empty() || !confirm.is_empty()
    }

    fn server_limits(&self) -> ServerLimits {
        let s = &self.settings;
        ServerLimits {
            failure_threshold: s.failure_threshold.max(1),
            backoff: s.backoff,
            max_searches: s.max_searches_per_server,
        }
    }

    /// Whether no server can be expected to answer while a call waits.
    fn is_slow(&self) -> bool {
        let usual = |s: &Server| {
            s.breaker == Breaker::Closed
                && s.mean_response_time()
                    .is_none_or(|p| p <= self.settings.hedge_after)
        };
        !self.servers.iter().any(usual)
    }

    /// The server to ask, if there is one with room.
    fn choose_server(&self, except: Option<usize>) -> Option<usize> {
        let limits = self.server_limits();
        let open = self
            .servers
            .iter()
            .enumerate()
            .filter(|(n, s)| Some(*n) != except && s.has_capacity(&limits));
        open.min_by(|a, b| a.1.cost().total_cmp(&b.1.cost()))
            .map(|(n, _)| n)
    }

    /// Notes how far a server has come. If another had come further before, since when it is behind.
    fn record_change_number(&mut self, server: usize, mark: Option<u64>, at: i64) -> Option<i64> {
        let Some(mark) = mark else {
            self.servers[server].is_lagging = false;
            return None;
        };
        let newest = self.observed.back().map(|m| m.0);
        if newest.is_none_or(|newest| mark > newest) {
            if self.observed.len() >= MAX_OBSERVED {
                self.observed.pop_front();
            }
            self.observed.push_back((mark, at));
        }
        let passed = self
            .observed
            .iter()
            .find(|(m, _)| *m > mark)
            .map(|(_, since)| *since);
        self.servers[server].is_lagging = passed.is_some();
        passed
    }
}
