//! A directory with two tenants, and simulated servers that respond to its searches.

use pipithub_directory::{
    Directory, DirectoryEntry, DirectorySettings, Input, Lifetimes, Output, PersonId, Query,
    Resolution, SearchId, SearchResponse, Settings, SyncEvent, TenantBase, Time,
};
use pipithub_ldap::Dn;

pub(crate) const SECOND: Time = 1_000_000_000;
pub(crate) const MINUTE: Time = 60 * SECOND;
pub(crate) const HOUR: Time = 3_600 * SECOND;
pub(crate) const HOUR_MS: i64 = 3_600_000;

pub(crate) fn dn(text: &str) -> Dn {
    Dn::parse(text).expect(text)
}

pub(crate) fn tenant_base(directory: usize, unit: &str) -> TenantBase {
    TenantBase {
        directory,
        base: dn(&format!("ou={unit},dc=example")),
    }
}

pub(crate) fn directory_settings() -> DirectorySettings {
    DirectorySettings {
        lifetimes: Lifetimes {
            fresh: HOUR,
            max_stale: 12 * HOUR,
            negative: 30 * SECOND,
        },
        ..DirectorySettings::default()
    }
}

/// A core with one directory and the tenants "north" (0) and "south" (1).
pub(crate) fn directory_with(
    max_users: usize,
    change: impl FnOnce(&mut DirectorySettings),
) -> Directory {
    let mut settings = directory_settings();
    change(&mut settings);
    Directory::new(Settings {
        directories: vec![settings],
        tenants: vec![tenant_base(0, "north"), tenant_base(0, "south")],
        max_users,
        max_queue: 10_000,
        seed: 3,
        wall_clock_offset_ms: 0,
    })
}

pub(crate) fn entry(user: &str, unit: &str, person: u64) -> DirectoryEntry {
    DirectoryEntry {
        user: user.into(),
        dn: dn(&format!("uid={user},ou={unit},dc=example")),
        person: PersonId(person),
    }
}

/// Passes an event of a followed directory to the core, and returns the outputs.
pub(crate) fn synchronize(
    core: &mut Directory,
    now: Time,
    directory: usize,
    event: SyncEvent,
) -> Vec<Output> {
    let mut outputs = Vec::new();
    core.handle(
        now,
        Input::Synchronization { directory, event },
        &mut outputs,
    );
    outputs
}

/// Ticks the core, without advancing time, until nothing more is due.
pub(crate) fn tick_until_idle(core: &mut Directory, now: Time, outputs: &mut Vec<Output>) {
    while core.next_due(now).is_some_and(|due| due <= now) {
        core.handle(now, Input::Tick, outputs);
    }
}

/// The index of the tenant that a user resolves to; `None` if the user does not resolve to one tenant.
pub(crate) fn tenant(core: &Directory, user: &str, now: Time) -> Option<u16> {
    match core.roster().resolve(user, now) {
        Resolution::Tenant { tenant, .. } => Some(tenant.0),
        _ => None,
    }
}

/// The name of one of many users.
pub(crate) fn numbered_user(number: u64) -> String {
    format!("u{number}")
}

/// A search that the core has started.
#[derive(Debug)]
pub(crate) struct RecordedSearch {
    pub(crate) at: Time,
    /// The number of users that it searches for; 0 for searches of other kinds.
    pub(crate) users: usize,
}

/// A core with simulated servers, which respond at once that every user belongs to the tenant "north".
pub(crate) struct Responder {
    pub(crate) core: Directory,
    pub(crate) now: Time,
    outputs: Vec<Output>,
}

impl Responder {
    pub(crate) fn new(core: Directory, now: Time) -> Self {
        Responder {
            core,
            now,
            outputs: Vec::new(),
        }
    }

    /// Looks a user up for a waiting request.
    pub(crate) fn look_up(&mut self, user: &str) {
        let input = Input::LookUp {
            user: user.into(),
            urgent: true,
        };
        self.core.handle(self.now, input, &mut self.outputs);
    }

    /// Advances time to `until`, and returns the searches that were made meanwhile.
    pub(crate) fn run(&mut self, until: Time) -> Vec<RecordedSearch> {
        let mut searches = Vec::new();
        loop {
            self.respond_to_all(&mut searches);
            let next = self.core.next_due(self.now);
            let Some(due) = next.filter(|due| *due <= until) else {
                break;
            };
            self.now = due.max(self.now);
            self.core.handle(self.now, Input::Tick, &mut self.outputs);
        }
        self.now = until;
        searches
    }

    fn respond_to_all(&mut self, searches: &mut Vec<RecordedSearch>) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                if let Output::Search { id, query, .. } = output {
                    searches.push(self.respond(id, query));
                }
            }
        }
    }

    fn respond(&mut self, id: SearchId, query: Query) -> RecordedSearch {
        let users = if let Query::Users(users) = query {
            users
        } else {
            Vec::new()
        };
        let response = SearchResponse {
            entries: users.iter().map(|user| entry(user, "north", 1)).collect(),
            change_number: Some(1),
            base_exists: true,
            newest_modify_timestamp: None,
        };
        let input = Input::SearchEnded {
            search: id,
            outcome: Ok(response),
        };
        self.core.handle(self.now, input, &mut self.outputs);
        RecordedSearch {
            at: self.now,
            users: users.len(),
        }
    }
}
