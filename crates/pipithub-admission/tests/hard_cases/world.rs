//! The scripted world of the cases: directory servers, the directory core and admission, in simulated time.

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

/// One scripted server: its tree, how far it has come, how it behaves.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) tree: HashMap<String, Vec<(Dn, u64)>>,
    pub(crate) mark: Option<u64>,
    pub(crate) takes: Time,
    pub(crate) answers: bool,
    pub(crate) loaded: bool,
    pub(crate) refuses: bool,
    pub(crate) asked: Vec<(Time, usize)>,
}

impl Server {
    pub(crate) fn new() -> Self {
        let (tree, asked) = (HashMap::new(), Vec::new());
        Server {
            tree,
            mark: None,
            takes: 2 * MS,
            answers: true,
            loaded: true,
            refuses: false,
            asked,
        }
    }

    pub(crate) fn put(&mut self, user: &str, ou: &str, person: u64) {
        self.tree.insert(
            user.into(),
            vec![(dn(&format!("uid={user},ou={ou},dc=example")), person)],
        );
    }
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) core: Directory,
    pub(crate) admission: Admission<u64>,
    pub(crate) servers: Vec<Vec<Server>>,
    pub(crate) due: BTreeMap<(Time, u64), (SearchId, Result<SearchResponse, SearchError>)>,
    pub(crate) number: u64,
    pub(crate) came: HashMap<u64, Time>,
    /// Calls let in: tenant, and how long they waited.
    pub(crate) admitted: BTreeMap<u64, (TenantId, Time)>,
    pub(crate) refused: BTreeMap<u64, (RejectReason, Time)>,
    pub(crate) changed: Vec<(Time, User)>,
    /// Told in place of whatever was asked for.
    pub(crate) wrong: Option<(User, Vec<(Dn, u64)>)>,
}

pub(crate) fn lifetimes() -> Lifetimes {
    Lifetimes {
        fresh: 60 * S,
        max_stale: 3_600 * S,
        negative: 10 * S,
    }
}

impl World {
    pub(crate) fn new(servers: &[usize], change: impl Fn(usize, &mut DirectorySettings)) -> World {
        Self::seeded(servers, 7, change)
    }

    pub(crate) fn seeded(
        servers: &[usize],
        seed: u64,
        change: impl Fn(usize, &mut DirectorySettings),
    ) -> World {
        let directory = |(n, count): (usize, &usize)| {
            let mut settings = DirectorySettings {
                server_count: *count,
                lifetimes: lifetimes(),
                ..DirectorySettings::default()
            };
            change(n, &mut settings);
            settings
        };
        let bases = |n| {
            ["north", "south"].map(|ou| TenantBase {
                directory: n,
                base: dn(&format!("ou={ou},dc=example")),
            })
        };
        let settings = Settings {
            directories: servers.iter().enumerate().map(directory).collect(),
            // With one directory both tenants are in it; with two, each has its own.
            tenants: if servers.len() == 1 {
                bases(0).to_vec()
            } else {
                vec![bases(0)[0].clone(), bases(1)[1].clone()]
            },
            max_users: 100_000,
            max_queue: 10_000,
            seed,
            wall_clock_offset_ms: 1_800_000_000_000,
        };
        let quotas = QuotaSettings {
            tenants: vec![
                TenantQuota {
                    max_queued: 100,
                    ..TenantQuota::default()
                };
                2
            ],
            class_weights: vec![1.0],
            limit: LimitRange {
                min: 8.0,
                max: 10_000.0,
            },
            max_queue_wait: 20 * MS,
        };
        World {
            now: 0,
            core: Directory::new(settings),
            admission: Admission::new(AdmissionSettings {
                quotas,
                max_identity_wait: 40 * MS,
                max_waiting: 4_096,
            }),
            servers: servers.iter().map(|n| vec![Server::new(); *n]).collect(),
            due: BTreeMap::new(),
            number: 0,
            came: HashMap::new(),
            admitted: BTreeMap::new(),
            refused: BTreeMap::new(),
            changed: Vec::new(),
            wrong: None,
        }
    }

    pub(crate) fn core(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.core.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Search {
                    id,
                    directory,
                    server,
                    query,
                } => self.search(id, directory, server, query),
                Output::CancelSearch(id) => self.due.retain(|_, (due, _)| *due != id),
                Output::LookupFinished(user) => {
                    let mut out = Vec::new();
                    self.admission
                        .user_updated(self.now, self.core.roster(), &user, &mut out);
                    self.handle_admission(out);
                }
                Output::UserMigrated(user) => self.changed.push((self.now, user)),
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
        server.asked.push((self.now, users.len()));
        if !server.answers {
            return;
        }
        let entries = |user: &User| {
            let found = server.tree.get(&**user).cloned().unwrap_or_default();
            let user = user.clone();
            found.into_iter().map(move |(dn, person)| DirectoryEntry {
                user: user.clone(),
                dn,
                person: PersonId(person),
            })
        };
        let mut found: Vec<DirectoryEntry> = if server.loaded {
            users.iter().flat_map(entries).collect()
        } else {
            Vec::new()
        };
        if let Some((user, entries)) = &self.wrong {
            let told = |(dn, person): &(Dn, u64)| DirectoryEntry {
                user: user.clone(),
                dn: dn.clone(),
                person: PersonId(*person),
            };
            found = entries.iter().map(told).collect();
        }
        let answer = SearchResponse {
            entries: found,
            change_number: server.mark,
            base_exists: server.loaded,
            newest_modify_timestamp: None,
        };
        let outcome = if server.refuses {
            Err(SearchError::Unavailable)
        } else {
            Ok(answer)
        };
        self.number += 1;
        self.due
            .insert((self.now + server.takes, self.number), (id, outcome));
    }

    pub(crate) fn handle_admission(&mut self, out: Vec<AdmissionOutput<u64>>) {
        for out in out {
            match out {
                AdmissionOutput::Admit {
                    request: call,
                    admitted,
                } => {
                    assert_eq!(admitted.waited, self.now - self.came[&call]);
                    assert!(
                        self.admitted
                            .insert(call, (admitted.tenant, admitted.waited))
                            .is_none()
                    );
                }
                AdmissionOutput::Reject {
                    request: call,
                    reason,
                    ..
                } => {
                    assert!(
                        self.refused
                            .insert(call, (reason, self.now - self.came[&call]))
                            .is_none()
                    );
                }
                AdmissionOutput::LookUp { user, urgent } => {
                    self.core(Input::LookUp { user, urgent });
                }
            }
        }
    }

    pub(crate) fn call(&mut self, call: u64, user: &str) {
        self.came.insert(call, self.now);
        let arrival = Arrival {
            request: call,
            user: Some(user.into()),
            route_tenant: None,
            class: 0,
            remaining: 2 * S,
        };
        let mut out = Vec::new();
        self.admission
            .arrive(self.now, self.core.roster(), arrival, &mut out);
        self.handle_admission(out);
    }

    /// Everything that is due up to then happens.
    pub(crate) fn run(&mut self, until: Time) {
        loop {
            let answer = self.due.keys().next().map(|k| k.0);
            let due = [
                answer,
                self.core.next_due(self.now),
                self.admission.next_due(),
            ];
            let Some(next) = due.into_iter().flatten().min().filter(|t| *t <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if answer.is_some_and(|a| a <= self.now) {
                if let Some((_, (search, outcome))) = self.due.pop_first() {
                    self.core(Input::SearchEnded { search, outcome });
                }
            } else {
                self.core(Input::Tick);
                let mut out = Vec::new();
                self.admission.tick(self.now, self.core.roster(), &mut out);
                self.handle_admission(out);
            }
        }
        self.now = until;
        self.core(Input::Tick);
    }

    pub(crate) fn all(&mut self, directory: usize, change: impl FnMut(&mut Server)) {
        self.servers[directory].iter_mut().for_each(change);
    }

    pub(crate) fn tenant(&self, user: &str) -> Option<u16> {
        match self.core.roster().resolve(user, self.now) {
            Resolution::Tenant { tenant, .. } => Some(tenant.0),
            _ => None,
        }
    }

    pub(crate) fn longest_wait(&self) -> Time {
        let admitted = self.admitted.values().map(|a| a.1);
        admitted
            .chain(self.refused.values().map(|r| r.1))
            .max()
            .unwrap_or(0)
    }
}
