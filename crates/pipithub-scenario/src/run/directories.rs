//! The directory servers of a scenario with tenants.

use std::net::SocketAddr;

use pipithub_conformance::record::Seen;
use pipithub_emulator::directory::{DirectoryServer, DirectorySettings};
use pipithub_emulator::recorder::Recorder;

use crate::load::{TENANTS, initial_tenant};
use crate::scenario::TenantSpec;

/// The name of the directory in records.
const OBSERVER: &str = "directory";

/// Servers of one directory, each with a copy of its own.
pub(super) struct Directories {
    servers: Vec<DirectoryServer>,
    /// Whether each server misses migrations.
    stale: Vec<bool>,
    recorder: Recorder,
}

impl Directories {
    /// Starts the servers with all users in their first tenant; there are none without tenants.
    pub(super) async fn start(
        tenants: Option<&TenantSpec>,
        listen: SocketAddr,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let mut servers = Vec::new();
        if let Some(spec) = tenants {
            for user in 0..spec.users {
                note_membership(&recorder, user, initial_tenant(user));
            }
            let tree = directory_tree(spec.users);
            for _ in 0..spec.servers {
                let settings = DirectorySettings {
                    tree: tree.clone(),
                    ..DirectorySettings::default()
                };
                servers.push(DirectoryServer::start(listen, settings).await?);
            }
        }
        Ok(Directories {
            stale: vec![false; servers.len()],
            servers,
            recorder,
        })
    }

    /// The addresses of the servers.
    pub(super) fn addresses(&self) -> Vec<String> {
        self.servers
            .iter()
            .map(|server| server.address().to_string())
            .collect()
    }

    /// Gives a server a command that starts or ends a fault; one that it does not know is ignored.
    pub(super) fn command(&self, server: usize, command: &str) {
        let _ = self.servers[server].command(command);
    }

    /// Makes a server miss migrations from now on, or ends that and copies the entries of a server that missed none.
    pub(super) fn set_stale(&mut self, server: usize, stale: bool) {
        self.stale[server] = stale;
        if stale {
            return;
        }
        let current = (0..self.servers.len()).find(|other| !self.stale[*other] && *other != server);
        if let Some(current) = current {
            self.servers[server].copy_from(&self.servers[current]);
        }
    }

    /// Moves a user to the other tenant on all servers that are not stale.
    pub(super) fn migrate(&self, user: usize, tenant: usize) {
        // The migration is recorded first, because a front end may act on it as soon as a server has it.
        note_membership(&self.recorder, user, tenant);
        let old_tenant = TENANTS[1 - tenant];
        let name = format!("uid=u{user},ou={old_tenant},dc=example");
        let superior = format!("ou={},dc=example", TENANTS[tenant]);
        for (server, stale) in self.servers.iter().zip(&self.stale) {
            if !stale {
                server.move_to(&name, &superior);
            }
        }
    }
}

fn note_membership(recorder: &Recorder, user: usize, tenant: usize) {
    let membership = Seen::UserMigrated {
        user: format!("u{user}"),
        tenant: TENANTS[tenant].to_string(),
    };
    recorder.record(OBSERVER, membership);
}

/// The entries of the tenants and their users, as LDIF.
fn directory_tree(users: usize) -> String {
    let mut tree = String::from("dn: dc=example\nobjectClass: domain\n\n");
    for tenant in TENANTS {
        tree += &format!("dn: ou={tenant},dc=example\nobjectClass: organizationalUnit\n\n");
    }
    for user in 0..users {
        let tenant = TENANTS[initial_tenant(user)];
        tree += &format!(
            "dn: uid=u{user},ou={tenant},dc=example\nobjectClass: person\nuid: u{user}\n\n"
        );
    }
    tree
}
