//! The directories of a front end: the task of the core, connections to directory servers, and snapshots.
//!
//! [`start`] runs the core of `pipithub-directory`, which makes all decisions, as a task. Its searches are sent to the
//! servers over persistent connections. A directory that is followed reports its changes without being searched.

mod connection;
mod follower;
mod pending_search;
mod query;
mod runtime;
mod searches;
mod server_link;
mod session;
mod snapshots;
mod sync_session;

use std::sync::Arc;

use arc_swap::ArcSwap;
use pipithub_clock::{Clock, wall_ms};
use pipithub_directory::{Directory, Input, Publisher, Roster, Settings, User};
use pipithub_settings::TenantsConfig;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

pub use self::connection::ConnectionError;
pub use self::query::{QueryError, query_server};
use self::runtime::{DirectoryChannels, DirectoryTask};
pub use self::searches::first_poll_since;

/// The capacity of the queues of inputs and events between a front end and its directories. A call whose look-up finds
/// the queue full waits for the identity wait of the settings and is then decided by the cached records.
const EVENT_QUEUE: usize = 8_192;
/// The capacity of the command queues of a server and of each of its connections.
const COMMAND_QUEUE: usize = 1_024;
/// The maximum number of users that are queued for a search, in each directory.
const MAX_QUEUED_USERS: usize = 65_536;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// An event of the directories, for the front end.
#[derive(Debug)]
pub(crate) enum DirectoryEvent {
    /// The look-up of a user has finished; the roster holds its result, if there is one.
    LookupFinished(User),
    /// A user now belongs to another tenant or to none, or the name belongs to another person.
    UserMigrated(User),
}

/// A front end's end of the channels to its directories.
pub(crate) struct DirectoryHandle {
    /// The newest version of the cached records of all users.
    pub(crate) roster: Arc<ArcSwap<Roster>>,
    /// The queue of look-ups for the core.
    pub(crate) lookups: mpsc::Sender<Input>,
    pub(crate) events: mpsc::Receiver<DirectoryEvent>,
}

/// Starts the directories of a front end as tasks of `tasks`.
pub(crate) fn start(
    config: Arc<TenantsConfig>,
    front_end: &str,
    clock: Clock,
    seed: u64,
    tasks: &mut JoinSet<()>,
) -> DirectoryHandle {
    let mut core = Directory::new(core_settings(&config, seed, clock));
    snapshots::restore(&config, front_end, &mut core, clock);
    let publisher = Publisher::new(core.roster());
    let roster = publisher.newest();
    let (lookups, inputs) = mpsc::channel(EVENT_QUEUE);
    let (events_sender, events) = mpsc::channel(EVENT_QUEUE);
    let channels = DirectoryChannels {
        inputs,
        inputs_sender: lookups.clone(),
        events: events_sender,
    };
    let task = DirectoryTask::new(core, config, front_end, clock, publisher, channels);
    tasks.spawn(task.run());
    DirectoryHandle {
        roster,
        lookups,
        events,
    }
}

fn core_settings(config: &TenantsConfig, seed: u64, clock: Clock) -> Settings {
    let now_ms = (clock.now() / NANOSECONDS_PER_MILLISECOND) as i64;
    Settings {
        directories: config
            .directories
            .iter()
            .map(|directory| directory.lookups.clone())
            .collect(),
        tenants: config
            .tenants
            .iter()
            .map(|tenant| tenant.search_base.clone())
            .collect(),
        max_users: config.max_users,
        max_queue: MAX_QUEUED_USERS,
        seed,
        wall_clock_offset_ms: (wall_ms() as i64).saturating_sub(now_ms),
    }
}
