//! `pipithub tenants explain`: what every server says of a user, and what a front end would make of it.

use std::sync::Arc;

use pipithub_directory::{
    Directory, Input, Output, Query, Resolution, SearchError, SearchResponse, Settings,
};
use pipithub_engine::Tenant;
use pipithub_gateway::directory::query_server;
use pipithub_settings::{Config, DirectoryConfig, TenantsConfig};

/// Users and look-ups that the directory core has room for; it looks up one.
const MAX_USERS: usize = 16;
const MAX_QUEUE: usize = 16;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// Prints what the servers say of a user and whose the user is; `None` where that is nobody's or not known.
pub(super) async fn tenant_of(tenants: &TenantsConfig, user: &str) -> Option<usize> {
    let user: Arc<str> = pipithub_ldap::dn::fold(user).into();
    let mut core = new_core(tenants);
    let relevant = core.roster().directories_for(&user).to_vec();
    if relevant.is_empty() {
        println!("{user}: no directory has the realm of this name");
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

/// Prints whether a tenant's users may run a function, and tells it.
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
        tenants: tenants.tenants.iter().map(|t| t.place.clone()).collect(),
        max_users: MAX_USERS,
        max_queue: MAX_QUEUE,
        seed: 1,
        wall_clock_offset_ms: 0,
    })
}

/// Asks every server of a directory about a user.
async fn print_answers(directory: &DirectoryConfig, user: &Arc<str>) {
    for (index, server) in directory.servers.iter().enumerate() {
        let description =
            match query_server(directory, index, Query::Users(vec![user.clone()])).await {
                Err(reason) => format!("no answer: {reason}"),
                Ok(answer) if !answer.base_exists => "its tree is not there".to_string(),
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

/// Has the core that a front end decides by look up a user, with the servers' answers.
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
            println!("{user}: {name}'s");
        }
        Resolution::NoTenant => {
            println!("{user}: no tenant's; calls are refused (no-tenant)");
        }
        Resolution::Ambiguous => {
            println!("{user}: claimed more than once; calls are refused (claimed-twice)");
        }
        Resolution::Unknown => println!(
            "{user}: not known; calls wait {} ms and are refused (user-unknown)",
            tenants.admission.max_identity_wait / NANOSECONDS_PER_MILLISECOND
        ),
    }
}
