//! The directory core: decides which searches are made at which server, and which results are cached.

mod checks;
mod dispatch;
mod followed;
mod lookups;
mod records;
mod refresh;
mod removal_sweep;
mod results;
mod searches_in_flight;
mod tenant_bases;
mod wall_clock;

use crate::jitter::Jitter;
use crate::messages::{Input, Output};
use crate::record::LookupRecord;
use crate::refresh_wheel::RefreshWheel;
use crate::roster::Roster;
use crate::settings::Settings;
use crate::snapshot::StoredRecord;
use crate::state::DirectoryState;
use crate::stats::Stats;
use crate::time::Time;

use self::removal_sweep::RemovalSweep;
use self::searches_in_flight::SearchesInFlight;
use self::tenant_bases::TenantBases;
use self::wall_clock::WallClock;

/// The maximum number of users that are checked, and of users that are removed after a full refresh, in one tick. Every
/// call of [`Directory::handle`] is a tick.
const MAX_USERS_PER_TICK: usize = 2_048;

/// The directories of a front end, with the cached results of look-ups in them.
pub struct Directory {
    tenants: TenantBases,
    max_users: usize,
    max_queue: usize,
    seed: u64,
    wall_clock: WallClock,
    directories: Vec<DirectoryState>,
    roster: Roster,
    searches: SearchesInFlight,
    jitter: Jitter,
    /// When each cached user is checked next.
    wheel: RefreshWheel,
    /// The sweeps that are not complete, at most one for each directory.
    sweeps: Vec<RemovalSweep>,
    stats: Stats,
}

impl Directory {
    /// Creates a core without cached records.
    pub fn new(settings: Settings) -> Self {
        let directories = settings
            .directories
            .iter()
            .enumerate()
            .map(|(index, directory)| DirectoryState::new(index, directory, settings.seed));
        Directory {
            directories: directories.collect(),
            roster: Roster::new(&settings.directories),
            tenants: TenantBases::new(settings.tenants),
            max_users: settings.max_users.max(1),
            max_queue: settings.max_queue.max(1),
            seed: settings.seed,
            wall_clock: WallClock::new(settings.wall_clock_offset_ms),
            searches: SearchesInFlight::default(),
            jitter: Jitter::new(settings.seed),
            wheel: RefreshWheel::default(),
            sweeps: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// The present version of the cached records.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Counters since the core was created.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Whether at least one server of a directory is in use; false for a directory that does not exist.
    pub fn is_reachable(&self, directory: usize) -> bool {
        self.directories
            .get(directory)
            .is_some_and(DirectoryState::is_reachable)
    }

    /// The number of searches that are in flight.
    pub fn searches_in_flight(&self) -> usize {
        self.searches.len()
    }

    /// Caches the records of a snapshot, up to the maximum number of users. This starts no look-ups.
    pub fn restore(&mut self, now: Time, stored: Vec<StoredRecord>) {
        let today = self.wall_clock.day(now);
        for StoredRecord { user, record } in stored {
            let is_known_directory = record.directory_index() < self.directories.len();
            if is_known_directory && self.roster.len() < self.max_users {
                let record = LookupRecord {
                    last_lookup_day: today,
                    ..record
                };
                self.store(now, &user, record);
            }
        }
    }

    /// When the next [`Input::Tick`] is due; `None` if none is needed.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let sweep = (!self.sweeps.is_empty()).then_some(now);
        self.directories
            .iter()
            .filter_map(|directory| directory.next_due(now))
            .chain(self.searches.next_due())
            .chain(self.wheel.next_due())
            .chain(sweep)
            .min()
    }

    /// Handles one input, and everything else that is due by now. Appends the actions to execute to `outputs`.
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

    /// Handles everything that is due by now.
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

    /// Sets the wall time (Unix milliseconds) at `now`, as the wall clock may have been stepped.
    ///
    /// Only days and daily peaks depend on wall time; the ages of records are measured in monotonic time. Checks that are
    /// already scheduled keep their times, so a step of the wall clock shifts the refreshes ahead of the next peak but no
    /// later ones.
    pub fn set_wall_clock(&mut self, now: Time, wall_ms: i64) {
        self.wall_clock.set(now, wall_ms);
    }

    /// Updates in the roster whether a directory's servers are too slow to respond while a request waits.
    fn update_slowness(&mut self, directory: usize) {
        let is_slow = self.directories[directory].is_slow();
        if self.roster.directories[directory].is_slow != is_slow {
            self.roster
                .update_directory(directory, |status| status.is_slow = is_slow);
        }
    }
}
