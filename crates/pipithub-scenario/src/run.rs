//! Runs a day and judges it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pipithub_amqp::Login;
use pipithub_clock::{Clock, wall_ms, wall_ns};
use pipithub_conformance::record::{Record, Seen};
use pipithub_conformance::report::{Report, report};
use pipithub_conformance::rules::{Breach, ClassRules, Idempotency, RuleConfig, check};
use pipithub_emulator::directory::{DirectoryServer, DirectorySettings};
use pipithub_emulator::list::{ListServer, Listed};
use pipithub_emulator::recorder::Recorder;
use pipithub_emulator::store::{StoreServer, StoreSettings};
use tracing::info;

use crate::client::{QueueClient, consumers};
use crate::load;
use crate::outcome::InjectedFault;
use crate::process::Process;
use crate::scenario::{Fault, Scenario};

#[cfg(test)]
mod tests;

/// The queue that calls go to.
pub const QUEUE: &str = "calls";
const SECOND: u64 = 1_000_000_000;

/// What came of a day.
#[derive(Debug)]
pub struct Outcome {
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Service by window.
    pub report: Report,
    /// What went wrong when, in seconds from the first call.
    pub faults: Vec<InjectedFault>,
    /// Calls published.
    pub calls: usize,
    /// Answers that the client itself got.
    pub answered: usize,
    /// Where logs and records are.
    pub folder: PathBuf,
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum Action {
    Kill(usize),
    Remove(usize),
    Start(usize),
    Drain(usize),
    SendCommand(usize, &'static str),
    DelayEndpointList(u64),
    StoreCommand(String),
    KillFrontEnd(usize),
    StartFrontEnd(usize),
    DropBrokerConnections,
    DirectoryFault(usize, String),
    StaleDirectoryChange(usize, bool),
    MigrateUser(usize, usize),
}

/// The words under which reports and logs name an act; readers of reports rely on them.
impl std::fmt::Display for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Action::Kill(worker) => write!(f, "Kill({worker})"),
            Action::Remove(worker) => write!(f, "Gone({worker})"),
            Action::Start(worker) => write!(f, "Start({worker})"),
            Action::Drain(worker) => write!(f, "Drain({worker})"),
            Action::SendCommand(worker, line) => write!(f, "Say({worker}, {line:?})"),
            Action::DelayEndpointList(by) => write!(f, "Delay({by})"),
            Action::StoreCommand(line) => write!(f, "Store({line:?})"),
            Action::KillFrontEnd(front_end) => write!(f, "KillFront({front_end})"),
            Action::StartFrontEnd(front_end) => write!(f, "StartFront({front_end})"),
            Action::DropBrokerConnections => write!(f, "CutBroker"),
            Action::DirectoryFault(server, line) => write!(f, "Directory({server}, {line:?})"),
            Action::StaleDirectoryChange(server, stale) => write!(f, "Stale({server}, {stale})"),
            Action::MigrateUser(user, side) => write!(f, "Move({user}, {side})"),
        }
    }
}

struct Slot {
    process: Option<Process>,
    listed: Option<Listed>,
    /// Of processes that are dead and still listed.
    dead: Vec<Listed>,
}

struct Cluster<'a> {
    scenario: &'a Scenario,
    binary: &'a Path,
    folder: PathBuf,
    list: ListServer,
    store: StoreServer,
    broker: Process,
    slots: Vec<Slot>,
    front_ends: Vec<Option<Process>>,
    baseline: Option<String>,
    started: u64,
    faults: Vec<(u64, String)>,
    directories: Vec<DirectoryServer>,
    /// Which of them hear of no moves.
    stale: Vec<bool>,
    migrations: Recorder,
}

/// The acts of a day, by time.
fn actions(scenario: &Scenario, seed: u64) -> Vec<(u64, Action)> {
    let migrations = load::migrations(scenario, seed).into_iter();
    let mut actions: Vec<(u64, Action)> = migrations
        .map(|(at, user, side)| (at, Action::MigrateUser(user, side)))
        .collect();
    let dies = |actions: &mut Vec<(u64, Action)>, worker: usize, at: u64, duration: u64| {
        actions.push((at, Action::Kill(worker)));
        actions.push((at + scenario.endpoint_list_delay, Action::Remove(worker)));
        actions.push((
            at + duration.max(scenario.endpoint_list_delay + 1),
            Action::Start(worker),
        ));
    };
    for scheduled in &scenario.faults {
        let (at, end) = (scheduled.at, scheduled.at + scheduled.duration);
        match scheduled.fault {
            Fault::Crash { worker } => dies(&mut actions, worker, at, scheduled.duration),
            Fault::RollingDeploy { every, count } => {
                for n in 0..count.min(scenario.workers) {
                    let at = at + every * n as u64;
                    // Drained, given time to finish, stopped; its successor comes up meanwhile.
                    actions.push((at, Action::Drain(n)));
                    actions.push((at + every.max(SECOND), Action::Kill(n)));
                    actions.push((at + every.max(SECOND) + 1, Action::Remove(n)));
                    actions.push((at + every.max(SECOND) + 2, Action::Start(n)));
                }
            }
            Fault::DelayEndpointList { by } => {
                actions.push((at, Action::DelayEndpointList(by)));
                actions.push((end, Action::DelayEndpointList(0)));
            }
            Fault::SilentWorker { worker } => {
                actions.push((at, Action::SendCommand(worker, "silent on")));
                actions.push((end, Action::SendCommand(worker, "silent off")));
            }
            Fault::SlowStore { factor } => {
                actions.push((at, Action::StoreCommand(format!("SLOW {factor}"))));
                actions.push((end, Action::StoreCommand("SLOW 1".into())));
            }
            Fault::RejectStoreRequests => {
                actions.push((at, Action::StoreCommand("HALT".into())));
                actions.push((end, Action::StoreCommand("GO".into())));
            }
            Fault::KillFrontEnd { front_end } => {
                actions.push((at, Action::KillFrontEnd(front_end)));
                actions.push((end, Action::StartFrontEnd(front_end)));
            }
            Fault::DropBrokerConnections => actions.push((at, Action::DropBrokerConnections)),
            Fault::ZoneOutage { zone } => {
                let lost = (0..scenario.workers).filter(|w| w % scenario.zones == zone);
                lost.for_each(|worker| dies(&mut actions, worker, at, scheduled.duration));
            }
            Fault::DirectoryFault { server, ref fault } => {
                actions.push((at, Action::DirectoryFault(server, fault.clone())));
                actions.push((end, Action::DirectoryFault(server, "good".into())));
            }
            Fault::StaleDirectory { server } => {
                actions.push((at, Action::StaleDirectoryChange(server, true)));
                actions.push((end, Action::StaleDirectoryChange(server, false)));
            }
            Fault::ShortTimeouts { .. }
            | Fault::OneTimeFunctions { .. }
            | Fault::HotFunction { .. }
            | Fault::MigrateUsers { .. }
            | Fault::TenantSurge { .. } => {}
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

impl Cluster<'_> {
    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Starts a worker; the first ones have been up for long: a day begins with a warm fleet that holds nothing.
    async fn start_worker(&mut self, n: usize, first: bool) -> std::io::Result<()> {
        self.started += 1;
        let mut arguments: Vec<String> =
            ["standin", "worker", "--listen", "127.0.0.1:0", "--commands"]
                .map(Into::into)
                .into();
        arguments.extend(["--store".into(), self.store.address().to_string()]);
        arguments.extend([
            "--record".into(),
            self.path(&format!("worker-{}.jsonl", self.started)),
        ]);
        arguments.extend(self.scenario.worker_arguments.iter().cloned());
        if first {
            arguments.extend(["--cold-from".into(), "1".into()]);
        }
        let process =
            Process::start_emulator(self.binary, &arguments, &self.folder.join("workers.log"))
                .await?;
        let (ip, port) = process
            .address
            .rsplit_once(':')
            .unwrap_or(("127.0.0.1", "0"));
        let listed = Listed {
            ip: ip.to_string(),
            port: port.parse().unwrap_or(0),
            uid: format!("worker-{n}-{}", self.started),
            zone: format!("zone-{}", n % self.scenario.zones),
            state: "live".into(),
            memory_mb: 24_000.0,
            started_ms: if first { 0 } else { wall_ms() },
        };
        self.list.set(listed.clone());
        (self.slots[n].process, self.slots[n].listed) = (Some(process), Some(listed));
        Ok(())
    }

    fn start_front_end(&mut self, n: usize) -> std::io::Result<()> {
        let config = self.path(&format!("front-{n}.kdl"));
        let mut arguments = vec!["serve".to_string(), "--config".into(), config];
        if let Some(baseline) = &self.baseline {
            arguments.extend(["--baseline".to_string(), baseline.clone()]);
        }
        let log = self.folder.join(format!("front-{n}.log"));
        self.front_ends[n] = Some(Process::start_gateway(self.binary, &arguments, &log)?);
        Ok(())
    }

    async fn apply(&mut self, action: Action) -> std::io::Result<()> {
        let told = action.to_string();
        match action {
            Action::Kill(n) => {
                if let Some(process) = self.slots[n].process.take() {
                    process.kill().await;
                }
                let dead = self.slots[n].listed.take();
                self.slots[n].dead.extend(dead);
            }
            Action::Remove(n) => {
                for listed in std::mem::take(&mut self.slots[n].dead) {
                    self.list.set(Listed {
                        state: "gone".into(),
                        ..listed
                    });
                }
            }
            Action::Start(n) => {
                if self.slots[n].process.is_none() {
                    self.start_worker(n, false).await?;
                }
            }
            Action::Drain(n) => {
                if let Some(listed) = &self.slots[n].listed {
                    self.list.set(Listed {
                        state: "draining".into(),
                        ..listed.clone()
                    });
                }
            }
            Action::SendCommand(n, line) => {
                if let Some(process) = &mut self.slots[n].process {
                    let _ = process.send_line(line).await;
                }
            }
            Action::DelayEndpointList(by) => self.list.set_delay(Duration::from_nanos(by)),
            Action::StoreCommand(line) => match line.split_once(' ') {
                Some((_, factor)) => self.store.control().slow(factor.parse().unwrap_or(1.0)),
                None => self.store.control().halt(line == "HALT"),
            },
            Action::KillFrontEnd(n) => {
                if let Some(process) = self.front_ends[n].take() {
                    process.kill().await;
                }
            }
            Action::StartFrontEnd(n) => {
                if self.front_ends[n].is_none() {
                    self.start_front_end(n)?;
                }
            }
            Action::DropBrokerConnections => self.broker.send_line("cut").await?,
            Action::DirectoryFault(server, line) => drop(self.directories[server].command(&line)),
            Action::StaleDirectoryChange(server, stale) => {
                self.stale[server] = stale;
                if let Some(current) =
                    (0..self.directories.len()).find(|n| !self.stale[*n] && *n != server)
                    && !stale
                {
                    self.directories[server].copy_from(&self.directories[current]);
                }
            }
            Action::MigrateUser(user, side) => {
                // Noted first: a front end may act on it before the next line runs.
                let (name, tenant) = (format!("u{user}"), load::TENANTS[side].to_string());
                self.migrations
                    .note("directory", Seen::Moved { user: name, tenant });
                let from = format!("uid=u{user},ou={},dc=example", load::TENANTS[1 - side]);
                for (n, directory) in self.directories.iter().enumerate() {
                    if !self.stale[n] {
                        directory.move_to(&from, &format!("ou={},dc=example", load::TENANTS[side]));
                    }
                }
                return Ok(());
            }
        }
        info!(act = told, "drill");
        self.faults.push((wall_ns(), told));
        Ok(())
    }
}

/// The settings of a front end.
fn settings(
    scenario: &Scenario,
    n: usize,
    broker: &str,
    list: &str,
    remember: &str,
    directories: &[String],
) -> String {
    let classes: String = scenario
        .classes
        .iter()
        .map(|c| {
            let ms = |ns: u64| ns as f64 / 1e6;
            let dedup = match c.effect.as_str() {
                "keyed" => format!(" dedup-window=\"{}ms\"", ms(c.deduplication_window)),
                _ => String::new(),
            };
            format!(
                "class {:?} worth={} effect={:?} aim=\"{}ms\" give-up=\"{}ms\" late-worth=0.3{dedup}\n",
                c.name,
                c.priority_weight,
                c.effect,
                ms(c.latency_objective),
                ms(c.client_timeout)
            )
        })
        .collect();
    let (tenants, identity) = match &scenario.tenants {
        None => (String::new(), ""),
        Some(spec) => {
            let servers: String = directories
                .iter()
                .map(|d| format!("    server {d:?}\n"))
                .collect();
            let each = |t: &str| {
                format!(
                    "tenant {t:?} {{ directory \"campus\" base=\"ou={t},dc=example\"; function \"{t}-*\" }}\n"
                )
            };
            let tenants: String = load::TENANTS.iter().map(|t| each(t)).collect();
            let text = format!(
                "signatures {{ key \"desk\" text={:?} }}\ndirectory \"campus\" {{\n{servers}    tls \"none\"\n    \
                 base \"dc=example\"\n    mark-attribute \"contextCSN\"\n{}\n}}\n{tenants}",
                load::KEY,
                spec.settings
            );
            (text, "; identity \"signed\"")
        }
    };
    format!(
        "front-end \"front-{n}\" peers={}\n{classes}{tenants}amqp \"broker\" {{\n    address {broker:?}\n    retry-first \"20ms\"\n    \
         retry-most \"500ms\"\n    queue \"{QUEUE}\" {{ prefetch 100; lanes 4; memory-mb 4000{identity} }}\n}}\n\
         workers {{\n    list \"http://{list}\"\n    remember {remember:?}\n}}\nlog level=\"info\"\n{}\n",
        scenario.front_ends, scenario.settings
    )
}

/// The rules' figures of a day.
pub fn rule_config(scenario: &Scenario) -> RuleConfig {
    let idempotency = |text: &str| match text {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::WithKey,
        _ => Idempotency::NonIdempotent,
    };
    let class = |c: &crate::scenario::ClassSpec| ClassRules {
        idempotency: idempotency(&c.effect),
        client_timeout: c.client_timeout,
        latency_objective: c.latency_objective,
        priority_weight: c.priority_weight,
        deduplication_window: c.deduplication_window,
    };
    let config = pipithub_settings::Config::parse(
        "drill",
        &settings(
            scenario,
            0,
            "127.0.0.1:1",
            "127.0.0.1:1",
            "x",
            &["127.0.0.1:1".into()],
        ),
    );
    let rate_limit = config.ok().and_then(|c| c.engine.policy.loading.rate_limit);
    RuleConfig {
        classes: scenario
            .classes
            .iter()
            .map(|c| (c.name.clone(), class(c)))
            .collect(),
        queue: QUEUE.into(),
        slack: scenario.slack,
        drain_grace: scenario.drain_grace,
        load_rate_limit: rate_limit.map(|r| (r.window, r.burst, r.per_request)),
        migration_grace: scenario.tenants.as_ref().map(|t| t.bound),
        published_until: None,
    }
}

/// Runs a day from a seed; `progress` is told each second, and `baseline` names a policy in the module's place.
#[expect(
    clippy::cognitive_complexity,
    clippy::too_many_lines,
    reason = "not split yet; see the roadmap"
)]
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    binary: &Path,
    folder: &Path,
    baseline: Option<&str>,
    mut progress: impl FnMut(f64, usize, &BTreeMap<String, usize>),
) -> Result<Outcome, Box<dyn std::error::Error + Send + Sync>> {
    std::fs::create_dir_all(folder)?;
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let list = ListServer::start(any, Recorder::file(&folder.join("list.jsonl"))?).await?;
    let store = StoreServer::start(any, StoreSettings::default()).await?;
    let record = folder.join("broker.jsonl").display().to_string();
    let arguments = [
        "standin",
        "broker",
        "--listen",
        "127.0.0.1:0",
        "--commands",
        "--queue",
        QUEUE,
        "--record",
        &record,
    ];
    let broker = Process::start_emulator(
        binary,
        &arguments.map(String::from),
        &folder.join("broker.log"),
    )
    .await?;
    let address = broker.address.clone();
    let migrations = Recorder::file(&folder.join("directory.jsonl"))?;
    let mut directories = Vec::new();
    if let Some(tenants) = &scenario.tenants {
        let mut tree = String::from("dn: dc=example\nobjectClass: domain\n\n");
        for tenant in load::TENANTS {
            tree += &format!("dn: ou={tenant},dc=example\nobjectClass: organizationalUnit\n\n");
        }
        for user in 0..tenants.users {
            let tenant = load::TENANTS[user % 2];
            tree += &format!(
                "dn: uid=u{user},ou={tenant},dc=example\nobjectClass: person\nuid: u{user}\n\n"
            );
            migrations.note(
                "directory",
                Seen::Moved {
                    user: format!("u{user}"),
                    tenant: tenant.into(),
                },
            );
        }
        for _ in 0..tenants.servers {
            let settings = DirectorySettings {
                tree: tree.clone(),
                ..DirectorySettings::default()
            };
            directories.push(DirectoryServer::start(any, settings).await?);
        }
    }
    let addresses: Vec<String> = directories
        .iter()
        .map(|d| d.address().to_string())
        .collect();
    let slots = (0..scenario.workers)
        .map(|_| Slot {
            process: None,
            listed: None,
            dead: Vec::new(),
        })
        .collect();
    let mut cluster = Cluster {
        scenario,
        binary,
        folder: folder.to_path_buf(),
        list,
        store,
        broker,
        slots,
        front_ends: (0..scenario.front_ends).map(|_| None).collect(),
        baseline: baseline.map(str::to_string),
        started: 0,
        faults: Vec::new(),
        stale: vec![false; directories.len()],
        directories,
        migrations,
    };
    for n in 0..scenario.workers {
        cluster.start_worker(n, true).await?;
    }
    for n in 0..scenario.front_ends {
        let remember = cluster.path(&format!("front-{n}-list.json"));
        let text = settings(
            scenario,
            n,
            &address,
            &cluster.list.address().to_string(),
            &remember,
            &addresses,
        );
        // A file with a fault would only show as a front end that never comes.
        pipithub_settings::Config::parse("drill settings", &text)
            .map_err(|f| format!("{f}: {:?}", f.lines()))?;
        std::fs::write(cluster.path(&format!("front-{n}.kdl")), text)?;
        cluster.start_front_end(n)?;
    }
    let clock = Clock::default();
    while consumers(&address, Login::default(), QUEUE).await != Some(scenario.front_ends as u32) {
        if clock.now() > 30 * SECOND {
            return Err("the front ends do not consume".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let calls = load::calls(scenario, seed, QUEUE);
    let total = calls.len();
    let actions = actions(scenario, seed);
    let mut client = QueueClient::start(&address, Login::default(), "answers");
    let began = wall_ns();
    let start = Clock::default();
    let mut calls = calls.into_iter().peekable();
    let mut actions = actions.into_iter().peekable();
    let mut verdicts: BTreeMap<String, usize> = BTreeMap::new();
    let mut answered = 0;
    let mut sent = 0;
    let longest = scenario
        .classes
        .iter()
        .map(|c| c.client_timeout)
        .max()
        .unwrap_or(0);
    let end = scenario.duration + 2 * longest + 4 * SECOND;
    let mut second = SECOND;
    while (sent < total || actions.peek().is_some() || answered < total) && start.now() < end {
        let next = [
            calls.peek().map(|c| c.0),
            actions.peek().map(|a| a.0),
            Some(second),
        ];
        let due = next.into_iter().flatten().min();
        tokio::select! {
            () = start.sleep_until(due) => {
                while let Some((_, call)) = calls.next_if(|c| c.0 <= start.now()) {
                    client.calls.send(call).await?;
                    sent += 1;
                }
                if let Some((_, action)) = actions.next_if(|a| a.0 <= start.now()) {
                    cluster.apply(action).await?;
                }
                if start.now() >= second {
                    progress(second as f64 / 1e9, sent, &verdicts);
                    second += SECOND;
                }
            }
            answer = client.answers.recv() => {
                let Some(answer) = answer else { return Err("the client has ended".into()) };
                *verdicts.entry(answer.verdict).or_default() += 1;
                answered += 1;
            }
        }
    }
    let faults = std::mem::take(&mut cluster.faults);
    let judged_folder = cluster.folder.clone();
    drop(client);
    // All processes end here; what they saw is on disk.
    for front_end in cluster.front_ends.into_iter().flatten() {
        front_end.kill().await;
    }
    for process in cluster.slots.into_iter().filter_map(|s| s.process) {
        process.kill().await;
    }
    cluster.broker.kill().await;
    let records = records(&judged_folder)?;
    let config = rule_config(scenario);
    let published = pipithub_conformance::rules::request_traces(&records, &config).len();
    let breaches = check(&records, &config);
    let since = |t: u64| t.saturating_sub(began) as f64 / 1e9;
    Ok(Outcome {
        breaches,
        report: report(&records, &config, 2 * SECOND),
        faults: faults
            .into_iter()
            .map(|(at, description)| InjectedFault {
                at_s: since(at),
                description,
            })
            .collect(),
        calls: published,
        answered,
        folder: judged_folder,
    })
}

/// All records of a folder.
pub fn records(folder: &Path) -> Result<Vec<Record>, Box<dyn std::error::Error + Send + Sync>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            let text = std::fs::read_to_string(&path)?;
            all.extend(Record::read_all(&text).map_err(|e| format!("{}: {e}", path.display()))?);
        }
    }
    all.sort_by_key(|r| r.time_ns);
    // Nothing seen by any worker would make every rule easy to keep.
    if !all.iter().any(|r| matches!(r.seen, Seen::Call { .. })) {
        return Err("no call reached a worker".into());
    }
    Ok(all)
}
