//! The overhead of tenants, while their directory is up, slow or dead.

use std::path::Path;

use pipithub_amqp::Login;
use pipithub_scenario::client::QueueClient;

use crate::load::{Arrivals, KEY, KEY_ID, Load, LoadResult};
use crate::testbed::{REPLY_QUEUE, Testbed, wait_for_consumer};
use crate::{Result, latency};

/// Calls per second.
const RATE: f64 = 200.0;
const WARM_UP_SECONDS: u64 = 4;
/// The number of users of the directory.
const USERS: u64 = 100;
/// The number of users who have called before the directory becomes slow or dies.
const KNOWN_USERS: u64 = 70;

/// A state of the directory during a measurement.
struct Case {
    name: &'static str,
    /// The command that brings the directory into this state; `None` for a gateway without tenants.
    directory_command: Option<&'static str>,
}

const CASES: [Case; 4] = [
    Case {
        name: "no tenants",
        directory_command: None,
    },
    Case {
        name: "up",
        directory_command: Some("good"),
    },
    Case {
        name: "slow",
        directory_command: Some("delay 1990"),
    },
    Case {
        name: "dead",
        directory_command: Some("silent on"),
    },
];

/// Measures the gateway without tenants and with them. Of the 100 users, 30 are unknown when the directory becomes slow
/// or dies.
pub(crate) async fn measure(testbed: &Testbed) -> Result<()> {
    let workers = testbed.start_workers().await?;
    let worker_list: String = workers
        .iter()
        .map(|worker| format!("worker \"{}\"; ", worker.address))
        .collect();
    let tree = testbed.write_file("tree.ldif", &directory_tree())?;
    println!(
        "{} workers that run each call for 2 ms; 200 calls per second, {} s per measurement",
        testbed.workers, testbed.seconds
    );
    for case in &CASES {
        measure_case(testbed, case, &worker_list, &tree).await?;
    }
    Ok(())
}

async fn measure_case(
    testbed: &Testbed,
    case: &Case,
    worker_list: &str,
    tree: &Path,
) -> Result<()> {
    let broker = testbed.start_broker().await?;
    let tree = tree.display().to_string();
    let mut directory = testbed
        .start_emulator(&["directory", "--commands", "--tree", &tree])
        .await?;
    let has_tenants = case.directory_command.is_some();
    let tenants = has_tenants.then(|| tenant_settings(&directory.address));
    let settings = gateway_settings(&broker.address, worker_list, tenants.as_deref());
    let gateway = testbed.start_gateway(&settings)?;
    wait_for_consumer(&broker.address).await;
    let mut client = QueueClient::start(&broker.address, Login::default(), REPLY_QUEUE);
    let known_users = has_tenants.then_some(KNOWN_USERS);
    run_load(&mut client, WARM_UP_SECONDS, 1, known_users).await?;
    if let Some(command) = case.directory_command {
        directory.send_line(command).await?;
    }
    let known = run_load(&mut client, testbed.seconds, 2, known_users).await?;
    print_result(&format!("{}, known users", case.name), &known);
    if has_tenants {
        let all = run_load(&mut client, testbed.seconds, 3, Some(USERS)).await?;
        print_result(&format!("{}, 3 of 10 unknown", case.name), &all);
    }
    gateway.kill().await;
    directory.kill().await;
    broker.kill().await;
    Ok(())
}

async fn run_load(
    client: &mut QueueClient,
    seconds: u64,
    part: usize,
    users: Option<u64>,
) -> Result<LoadResult> {
    let load = Load {
        arrivals: Arrivals::Rate(RATE),
        seconds,
        part,
        users,
    };
    load.run(client).await
}

fn print_result(name: &str, result: &LoadResult) {
    latency::print(name, &result.latency);
    println!(
        "  {} of {} not served",
        result.not_served,
        result.latency.len()
    );
}

fn directory_tree() -> String {
    let mut tree = String::from(
        "dn: dc=example\nobjectClass: domain\n\ndn: ou=north,dc=example\nobjectClass: organizationalUnit\n\n",
    );
    for user in 0..USERS {
        tree +=
            &format!("dn: uid=u{user},ou=north,dc=example\nobjectClass: person\nuid: u{user}\n\n");
    }
    tree
}

fn tenant_settings(directory: &str) -> String {
    format!(
        "signatures {{ key \"{KEY_ID}\" text=\"{KEY}\" }}\n\
         directory \"campus\" {{ server \"{directory}\"; tls \"none\"; base \"dc=example\"; \
         mark-attribute \"contextCSN\"; fresh \"1s\" }}\n\
         tenant \"north\" {{ directory \"campus\" base=\"ou=north,dc=example\"; function \"*\" }}\n"
    )
}

fn gateway_settings(broker: &str, worker_list: &str, tenants: Option<&str>) -> String {
    let identity = if tenants.is_some() {
        "; identity \"signed\""
    } else {
        ""
    };
    format!(
        "class \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n{}\
         amqp \"b\" {{ address \"{broker}\"; queue \"calls\" {{ prefetch 2000; lanes 64{identity} }} }}\n\
         workers {{ {worker_list} }}\nlog level=\"error\"\n",
        tenants.unwrap_or_default()
    )
}
