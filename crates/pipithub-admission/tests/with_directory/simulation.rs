//! Scripted directory servers, the directory core and admission, in simulated time.

use std::collections::{BTreeMap, HashMap};

use pipithub_admission::{
    Admission, AdmissionSettings, Arrival, LimitRange, Output as AdmissionOutput, QuotaSettings,
    RejectReason, TenantQuota,
};
use pipithub_directory::{
    Directory, DirectoryEntry, DirectorySettings, Input, Lifetimes, Output, PersonId, Query,
    Resolution, SearchError, SearchId, SearchResponse, Settings, TenantBase, TenantId, Time, User,
};
use pipithub_ldap::Dn;

pub(crate) const MS: Time = 1_000_000;
pub(crate) const S: Time = 1_000 * MS;

pub(crate) fn dn(text: &str) -> Dn {
    Dn::parse(text).expect(text)
}

/// A search that a server received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search {
    pub(crate) at: Time,
    /// The number of users that are searched for; 0 for a health check.
    pub(crate) users: usize,
}

/// An entry of a scripted directory.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) dn: Dn,
    pub(crate) person: u64,
}

/// A scripted directory server.
#[derive(Clone)]
pub(crate) struct Server {
    /// The entries by user.
    tree: HashMap<String, Vec<Entry>>,
    pub(crate) change_number: Option<u64>,
    pub(crate) response_time: Time,
    pub(crate) answers: bool,
    pub(crate) loaded: bool,
    pub(crate) rejects: bool,
    pub(crate) searches: Vec<Search>,
}

impl Server {
    pub(crate) fn new() -> Self {
        Server {
            tree: HashMap::new(),
            change_number: None,
            response_time: 2 * MS,
            answers: true,
            loaded: true,
            rejects: false,
            searches: Vec::new(),
        }
    }

    pub(crate) fn put(&mut self, user: &str, ou: &str, person: u64) {
        let dn = dn(&format!("uid={user},ou={ou},dc=example"));
        self.tree.insert(user.into(), vec![Entry { dn, person }]);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Admitted {
    pub(crate) tenant: TenantId,
    pub(crate) waited: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rejection {
    pub(crate) reason: RejectReason,
    pub(crate) waited: Time,
}

struct SearchResult {
    search: SearchId,
    outcome: Result<SearchResponse, SearchError>,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) directory: Directory,
    pub(crate) admission: Admission<u64>,
    pub(crate) servers: Vec<Vec<Server>>,
    /// Results of searches by the time at which they arrive.
    results: BTreeMap<(Time, u64), SearchResult>,
    result_count: u64,
    arrived_at: HashMap<u64, Time>,
    /// The admitted and rejected calls, by number.
    pub(crate) admitted: BTreeMap<u64, Admitted>,
    pub(crate) rejected: BTreeMap<u64, Rejection>,
    pub(crate) migrated: Vec<User>,
    /// If set, servers answer every search with this entry of another user.
    pub(crate) other_entry: Option<DirectoryEntry>,
}

pub(crate) fn lifetimes() -> Lifetimes {
    Lifetimes {
        fresh: 60 * S,
        max_stale: 3_600 * S,
        negative: 10 * S,
    }
}

/// The tenants north and south: both in one directory, or each in its own.
fn tenant_bases(directories: usize) -> Vec<TenantBase> {
    let base = |number: usize, ou| TenantBase {
        directory: number.min(directories - 1),
        base: dn(&format!("ou={ou},dc=example")),
    };
    vec![base(0, "north"), base(1, "south")]
}

/// Settings for two tenants with equal quotas.
pub(crate) fn admission_settings(max_queued: usize, max_limit: f64) -> AdmissionSettings {
    let tenant = TenantQuota {
        max_queued,
        ..TenantQuota::default()
    };
    let quotas = QuotaSettings {
        tenants: vec![tenant; 2],
        class_weights: vec![1.0],
        limit: LimitRange {
            min: 8.0,
            max: max_limit,
        },
        max_queue_wait: 20 * MS,
    };
    AdmissionSettings {
        quotas,
        max_identity_wait: 40 * MS,
        max_waiting: 4_096,
    }
}

impl Simulation {
    pub(crate) fn new(
        servers: &[usize],
        change: impl Fn(usize, &mut DirectorySettings),
    ) -> Simulation {
        Self::seeded(servers, 7, change)
    }

    pub(crate) fn seeded(
        servers: &[usize],
        seed: u64,
        change: impl Fn(usize, &mut DirectorySettings),
    ) -> Simulation {
        let directories = servers.iter().enumerate().map(|(number, server_count)| {
            let mut settings = DirectorySettings {
                server_count: *server_count,
                lifetimes: lifetimes(),
                ..DirectorySettings::default()
            };
            change(number, &mut settings);
            settings
        });
        let settings = Settings {
            directories: directories.collect(),
            tenants: tenant_bases(servers.len()),
            max_users: 100_000,
            max_queue: 10_000,
            seed,
            wall_clock_offset_ms: 1_800_000_000_000,
        };
        Simulation {
            now: 0,
            directory: Directory::new(settings),
            admission: Admission::new(admission_settings(100, 10_000.0)),
            servers: servers.iter().map(|n| vec![Server::new(); *n]).collect(),
            results: BTreeMap::new(),
            result_count: 0,
            arrived_at: HashMap::new(),
            admitted: BTreeMap::new(),
            rejected: BTreeMap::new(),
            migrated: Vec::new(),
            other_entry: None,
        }
    }

    pub(crate) fn directory_input(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.directory.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Search {
                    id,
                    directory,
                    server,
                    query,
                } => self.search(id, directory, server, query),
                Output::CancelSearch(id) => self.results.retain(|_, result| result.search != id),
                Output::LookupFinished(user) => {
                    let mut out = Vec::new();
                    self.admission
                        .user_updated(self.now, self.directory.roster(), &user, &mut out);
                    self.handle_admission(out);
                }
                Output::UserMigrated(user) => self.migrated.push(user),
            }
        }
    }

    pub(crate) fn search(&mut self, id: SearchId, directory: usize, server: usize, query: Query) {
        let server = &mut self.servers[directory][server];
        let users = if let Query::Users(users) = &query {
            users.clone()
        } else {
            Vec::new()
        };
        server.searches.push(Search {
            at: self.now,
            users: users.len(),
        });
        if !server.answers {
            return;
        }
        let entries = |user: &User| {
            let found = server.tree.get(&**user).cloned().unwrap_or_default();
            let user = user.clone();
            found.into_iter().map(move |entry| DirectoryEntry {
                user: user.clone(),
                dn: entry.dn,
                person: PersonId(entry.person),
            })
        };
        let mut found: Vec<DirectoryEntry> = if server.loaded {
            users.iter().flat_map(entries).collect()
        } else {
            Vec::new()
        };
        if let Some(entry) = &self.other_entry {
            found = vec![entry.clone()];
        }
        let answer = SearchResponse {
            entries: found,
            change_number: server.change_number,
            base_exists: server.loaded,
            newest_modify_timestamp: None,
        };
        let outcome = if server.rejects {
            Err(SearchError::Unavailable)
        } else {
            Ok(answer)
        };
        self.result_count += 1;
        let arrival = (self.now + server.response_time, self.result_count);
        let result = SearchResult {
            search: id,
            outcome,
        };
        self.results.insert(arrival, result);
    }

    pub(crate) fn handle_admission(&mut self, out: Vec<AdmissionOutput<u64>>) {
        for out in out {
            match out {
                AdmissionOutput::Admit {
                    request: call,
                    admitted,
                } => {
                    assert_eq!(admitted.waited, self.now - self.arrived_at[&call]);
                    let admitted = Admitted {
                        tenant: admitted.tenant,
                        waited: admitted.waited,
                    };
                    assert!(self.admitted.insert(call, admitted).is_none());
                }
                AdmissionOutput::Reject {
                    request: call,
                    reason,
                    ..
                } => {
                    let waited = self.now - self.arrived_at[&call];
                    let rejection = Rejection { reason, waited };
                    assert!(self.rejected.insert(call, rejection).is_none());
                }
                AdmissionOutput::LookUp { user, urgent } => {
                    self.directory_input(Input::LookUp { user, urgent });
                }
            }
        }
    }

    pub(crate) fn call(&mut self, call: u64, user: &str) {
        self.arrived_at.insert(call, self.now);
        let arrival = Arrival {
            request: call,
            user: Some(user.into()),
            route_tenant: None,
            class: 0,
            remaining: 2 * S,
        };
        let mut out = Vec::new();
        self.admission
            .arrive(self.now, self.directory.roster(), arrival, &mut out);
        self.handle_admission(out);
    }

    /// Advances the simulated time to `until`, and handles everything that becomes due by then.
    pub(crate) fn run_until(&mut self, until: Time) {
        loop {
            let answer = self.results.keys().next().map(|k| k.0);
            let due = [
                answer,
                self.directory.next_due(self.now),
                self.admission.next_due(),
            ];
            let Some(next) = due.into_iter().flatten().min().filter(|t| *t <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if answer.is_some_and(|a| a <= self.now) {
                if let Some((_, result)) = self.results.pop_first() {
                    let SearchResult { search, outcome } = result;
                    self.directory_input(Input::SearchEnded { search, outcome });
                }
            } else {
                self.directory_input(Input::Tick);
                let mut out = Vec::new();
                self.admission
                    .tick(self.now, self.directory.roster(), &mut out);
                self.handle_admission(out);
            }
        }
        self.now = until;
        self.directory_input(Input::Tick);
    }

    pub(crate) fn change_servers(&mut self, directory: usize, change: impl FnMut(&mut Server)) {
        self.servers[directory].iter_mut().for_each(change);
    }

    pub(crate) fn tenant(&self, user: &str) -> Option<u16> {
        match self.directory.roster().resolve(user, self.now) {
            Resolution::Tenant { tenant, .. } => Some(tenant.0),
            _ => None,
        }
    }

    pub(crate) fn longest_wait(&self) -> Time {
        let admitted = self.admitted.values().map(|admitted| admitted.waited);
        admitted
            .chain(self.rejected.values().map(|rejection| rejection.waited))
            .max()
            .unwrap_or(0)
    }
}
