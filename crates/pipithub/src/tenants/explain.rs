//! `pipithub tenants explain`: the answer of every directory server about a user, and the resulting tenant.

use std::sync::Arc;

use pipithub_directory::{
    Directory, Input, Output, Query, Resolution, SearchError, SearchResponse, Settings,
};
use pipithub_engine::Tenant;
use pipithub_gateway::directory::query_server;
use pipithub_settings::{Config, DirectoryConfig, TenantsConfig};

/// The maximum number of cached users of the directory core; only one user is looked up.
const MAX_USERS: usize = 16;
/// The maximum number of pending look-ups of the directory core.
const MAX_QUEUE: usize = 16;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// Prints the answers of all servers about a user, and returns the index of the user's tenant.
///
/// `None` if the user belongs to no tenant or to several, or could not be looked up.
pub(super) async fn tenant_of(tenants: &TenantsConfig, user: &str) -> Option<usize> {
    let user: Arc<str> = pipithub_ldap::dn::fold(user).into();
    let mut core = new_core(tenants);
    let relevant = core.roster().directories_for(&user).to_vec();
    if relevant.is_empty() {
        println!("{user}: no directory is responsible for the realm of this name");
    }
    for directory in relevant {
        print_answers(&tenants.directories[usize::from(directory)], &user).await;
    }
    look_up(&mut core, tenants, &user).await;
    let resolution = core.roster().resolve(&user, 1);
    print_resolution(tenants, &user, &resolution);
    match resolution {
        Resolution::Tenant { tenant, .. } => Some(usize::from(tenant.0)),
        Resolution::NoTenant | Resolution::Ambiguous | Resolution::Unknown => None,
    }
}

/// Prints and returns whether users of a tenant may run a function.
pub(super) fn may_run(config: &Config, tenant: usize, function: &str) -> bool {
    let tenant = Tenant(tenant as u16);
    let may_run = config.engine.owners.allow(Some(tenant), function);
    let verdict = if may_run {
        "may be run"
    } else {
        "refused (other-tenant)"
    };
    println!("{function}: {verdict}");
    may_run
}

fn new_core(tenants: &TenantsConfig) -> Directory {
    let directories = tenants.directories.iter();
    Directory::new(Settings {
        directories: directories.map(|one| one.lookups.clone()).collect(),
        tenants: tenants
            .tenants
            .iter()
            .map(|t| t.search_base.clone())
            .collect(),
        max_users: MAX_USERS,
        max_queue: MAX_QUEUE,
        seed: 1,
        wall_clock_offset_ms: 0,
    })
}

/// Looks a user up on every server of a directory and prints the answers.
async fn print_answers(directory: &DirectoryConfig, user: &Arc<str>) {
    for (index, server) in directory.servers.iter().enumerate() {
        let description =
            match query_server(directory, index, Query::Users(vec![user.clone()])).await {
                Err(reason) => format!("no answer: {reason}"),
                Ok(answer) if !answer.base_exists => "the base entry does not exist".to_string(),
                Ok(answer) => describe(&answer),
            };
        println!("{} {}: {description}", directory.name, server.address);
    }
}

fn describe(answer: &SearchResponse) -> String {
    let change = answer
        .change_number
        .map_or("no mark".to_string(), |number| format!("mark {number}"));
    let names: Vec<String> = answer
        .entries
        .iter()
        .map(|entry| entry.dn.to_string())
        .collect();
    if names.is_empty() {
        format!("nobody of this name ({change})")
    } else {
        format!("{} ({change})", names.join(" and "))
    }
}

/// Looks a user up with the same core that a front end uses, by querying the servers that the core selects.
async fn look_up(core: &mut Directory, tenants: &TenantsConfig, user: &Arc<str>) {
    let mut outputs = Vec::new();
    let wanted = Input::LookUp {
        user: user.clone(),
        urgent: true,
    };
    core.handle(0, wanted, &mut outputs);
    while let Some(output) = outputs.pop() {
        let Output::Search {
            id,
            directory,
            server,
            query,
        } = output
        else {
            continue;
        };
        let answer = query_server(&tenants.directories[directory], server, query).await;
        let ended = Input::SearchEnded {
            search: id,
            outcome: answer.map_err(|_| SearchError::ConnectionLost),
        };
        core.handle(1, ended, &mut outputs);
    }
}

fn print_resolution(tenants: &TenantsConfig, user: &str, resolution: &Resolution) {
    match resolution {
        Resolution::Tenant { tenant, .. } => {
            let name = &tenants.tenants[usize::from(tenant.0)].name;
            println!("{user}: belongs to tenant {name}");
        }
        Resolution::NoTenant => {
            println!("{user}: belongs to no tenant; calls are refused (no-tenant)");
        }
        Resolution::Ambiguous => {
            println!("{user}: found in more than one tenant; calls are refused (claimed-twice)");
        }
        Resolution::Unknown => println!(
            "{user}: could not be looked up; calls wait {} ms and are then refused (user-unknown)",
            tenants.admission.max_identity_wait / NANOSECONDS_PER_MILLISECOND
        ),
    }
}
