//! The look-ups of a front end: what is searched for at which server, and what is cached of the results.

mod checks;
mod dispatch;
mod followed;
mod lookups;
mod records;
mod refresh;
mod removal_sweep;
mod results;

use std::collections::BTreeMap;

use crate::daily_peak::DAY_MS;
use crate::jitter::Jitter;
use crate::messages::{Input, Output};
use crate::record::LookupRecord;
use crate::refresh_wheel::RefreshWheel;
use crate::roster::Roster;
use crate::search::{SearchId, SearchInFlight};
use crate::settings::{Settings, TenantBase};
use crate::snapshot::StoredRecord;
use crate::state::DirectoryState;
use crate::stats::Stats;
use crate::time::{Time, to_ms};

use self::removal_sweep::RemovalSweep;

/// Users looked at in one turn when a followed directory's refresh is done, or when old records are removed.
const MAX_USERS_PER_TURN: usize = 2_048;
/// Records hold days modulo this.
const RECORDED_DAYS: i64 = 256;

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
    jitter: Jitter,
    /// When users are checked again.
    wheel: RefreshWheel,
    sweeps: Vec<RemovalSweep>,
    stats: Stats,
}

impl Directory {
    /// One that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        let directories = settings
            .directories
            .iter()
            .enumerate()
            .map(|(number, directory)| DirectoryState::new(number, directory, settings.seed));
        Directory {
            directories: directories.collect(),
            roster: Roster::new(&settings.directories),
            tenants: settings.tenants,
            max_users: settings.max_users.max(1),
            max_queue: settings.max_queue.max(1),
            seed: settings.seed,
            wall_clock_offset_ms: settings.wall_clock_offset_ms,
            searches: BTreeMap::new(),
            next_search: 0,
            jitter: Jitter::new(settings.seed),
            wheel: RefreshWheel::default(),
            sweeps: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// What is known now. Cloning it shares everything.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What was done so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether a server of the directory is used.
    pub fn is_reachable(&self, directory: usize) -> bool {
        self.directories
            .get(directory)
            .is_some_and(DirectoryState::is_reachable)
    }

    /// How many searches are in flight.
    pub fn searches_in_flight(&self) -> usize {
        self.searches.len()
    }

    /// Takes over the records of a snapshot. It holds none that are past their bound; none of them is looked up at once.
    pub fn restore(&mut self, now: Time, stored: Vec<StoredRecord>) {
        let today = self.day(now);
        for StoredRecord { user, record } in stored {
            let is_known_directory = record.directory_index() < self.directories.len();
            if is_known_directory && self.roster.len() < self.max_users {
                let record = LookupRecord {
                    last_wanted_day: today,
                    ..record
                };
                self.store(now, &user, record);
            }
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let searches = self
            .searches
            .values()
            .flat_map(|search| search.hedge_at.into_iter().chain([search.deadline]));
        let directories = self
            .directories
            .iter()
            .filter_map(|directory| directory.next_due(now));
        let sweep = (!self.sweeps.is_empty()).then_some(now);
        searches
            .chain(directories)
            .chain(self.wheel.next_due())
            .chain(sweep)
            .min()
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
        self.advance(now, outputs);
    }

    /// Does what is due by now.
    fn advance(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.expire_searches(now, outputs);
        self.hedge_searches(now, outputs);
        self.check_due_users(now);
        self.continue_sweep(now, outputs);
        for directory in 0..self.directories.len() {
            self.dispatch(now, directory, outputs);
            self.update_slowness(directory);
        }
    }

    /// Takes the wall time that `now` stands for, as the wall clock may have been stepped. Only days and daily peaks
    /// follow it; how old records are is counted in monotonic time. Users whose next check is planned keep their place,
    /// so that a step moves the refreshes ahead of the next peak, and none after it.
    pub fn set_wall_clock(&mut self, now: Time, wall_ms: i64) {
        self.wall_clock_offset_ms = wall_ms.saturating_sub(to_ms(now));
    }

    /// The day of the wall clock, as records hold it.
    fn day(&self, now: Time) -> u8 {
        self.wall_clock_offset_ms
            .saturating_add(to_ms(now))
            .div_euclid(DAY_MS)
            .rem_euclid(RECORDED_DAYS) as u8
    }

    /// Publishes in the roster whether the servers of a directory respond while a request waits.
    fn update_slowness(&mut self, directory: usize) {
        let is_slow = self.directories[directory].is_slow();
        if self.roster.directories[directory].is_slow != is_slow {
            self.roster
                .update_directory(directory, |status| status.is_slow = is_slow);
        }
    }
}
