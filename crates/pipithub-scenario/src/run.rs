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
use crate::process::Process;
use crate::scenario::{Scenario, Trouble};

#[cfg(test)]
mod tests;

/// The queue that calls go to.
pub const QUEUE: &str = "calls";
const SECOND: u64 = 1_000_000_000;

/// What came of a day.
#[derive(Debug)]
pub struct Judged {
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Service by window.
    pub report: Report,
    /// What went wrong when, in seconds from the first call.
    pub faults: Vec<(f64, String)>,
    /// Calls published.
    pub calls: usize,
    /// Answers that the client itself got.
    pub answered: usize,
    /// Where logs and records are.
    pub folder: PathBuf,
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum Act {
    Kill(usize),
    Gone(usize),
    Start(usize),
    Drain(usize),
    Say(usize, &'static str),
    Delay(u64),
    Store(String),
    KillFront(usize),
    StartFront(usize),
    CutBroker,
    Directory(usize, String),
    Stale(usize, bool),
    Move(usize, usize),
}

/// The words under which reports and logs name an act; readers of reports rely on them.
impl std::fmt::Display for Act {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Act::Kill(worker) => write!(f, "Kill({worker})"),
            Act::Gone(worker) => write!(f, "Gone({worker})"),
            Act::Start(worker) => write!(f, "Start({worker})"),
            Act::Drain(worker) => write!(f, "Drain({worker})"),
            Act::Say(worker, line) => write!(f, "Say({worker}, {line:?})"),
            Act::Delay(by) => write!(f, "Delay({by})"),
            Act::Store(line) => write!(f, "Store({line:?})"),
            Act::KillFront(front) => write!(f, "KillFront({front})"),
            Act::StartFront(front) => write!(f, "StartFront({front})"),
            Act::CutBroker => write!(f, "CutBroker"),
            Act::Directory(server, line) => write!(f, "Directory({server}, {line:?})"),
            Act::Stale(server, stale) => write!(f, "Stale({server}, {stale})"),
            Act::Move(user, side) => write!(f, "Move({user}, {side})"),
        }
    }
}

struct Slot {
    process: Option<Process>,
    listed: Option<Listed>,
    /// Of processes that are dead and still listed.
    dead: Vec<Listed>,
}

struct Stage<'a> {
    day: &'a Scenario,
    binary: &'a Path,
    folder: PathBuf,
    list: ListServer,
    store: StoreServer,
    broker: Process,
    slots: Vec<Slot>,
    fronts: Vec<Option<Process>>,
    baseline: Option<String>,
    started: u64,
    faults: Vec<(u64, String)>,
    directories: Vec<DirectoryServer>,
    /// Which of them hear of no moves.
    stale: Vec<bool>,
    moved: Recorder,
}

/// The acts of a day, by time.
fn acts(day: &Scenario, seed: u64) -> Vec<(u64, Act)> {
    let moves = load::moves(day, seed).into_iter();
    let mut acts: Vec<(u64, Act)> = moves
        .map(|(at, user, side)| (at, Act::Move(user, side)))
        .collect();
    let dies = |acts: &mut Vec<(u64, Act)>, worker: usize, at: u64, length: u64| {
        acts.push((at, Act::Kill(worker)));
        acts.push((at + day.list_lag, Act::Gone(worker)));
        acts.push((at + length.max(day.list_lag + 1), Act::Start(worker)));
    };
    for step in &day.steps {
        let (at, end) = (step.at, step.at + step.length);
        match step.trouble {
            Trouble::Crash { worker } => dies(&mut acts, worker, at, step.length),
            Trouble::Deploy { every, count } => {
                for n in 0..count.min(day.workers) {
                    let at = at + every * n as u64;
                    // Drained, given time to finish, stopped; its successor comes up meanwhile.
                    acts.push((at, Act::Drain(n)));
                    acts.push((at + every.max(SECOND), Act::Kill(n)));
                    acts.push((at + every.max(SECOND) + 1, Act::Gone(n)));
                    acts.push((at + every.max(SECOND) + 2, Act::Start(n)));
                }
            }
            Trouble::LateList { by } => {
                acts.push((at, Act::Delay(by)));
                acts.push((end, Act::Delay(0)));
            }
            Trouble::Silent { worker } => {
                acts.push((at, Act::Say(worker, "silent on")));
                acts.push((end, Act::Say(worker, "silent off")));
            }
            Trouble::SlowStore { factor } => {
                acts.push((at, Act::Store(format!("SLOW {factor}"))));
                acts.push((end, Act::Store("SLOW 1".into())));
            }
            Trouble::HaltStore => {
                acts.push((at, Act::Store("HALT".into())));
                acts.push((end, Act::Store("GO".into())));
            }
            Trouble::KillFront { front } => {
                acts.push((at, Act::KillFront(front)));
                acts.push((end, Act::StartFront(front)));
            }
            Trouble::CutBroker => acts.push((at, Act::CutBroker)),
            Trouble::LoseZone { zone } => {
                let lost = (0..day.workers).filter(|w| w % day.zones == zone);
                lost.for_each(|worker| dies(&mut acts, worker, at, step.length));
            }
            Trouble::Directory { server, ref fault } => {
                acts.push((at, Act::Directory(server, fault.clone())));
                acts.push((end, Act::Directory(server, "good".into())));
            }
            Trouble::StaleDirectory { server } => {
                acts.push((at, Act::Stale(server, true)));
                acts.push((end, Act::Stale(server, false)));
            }
            Trouble::LittleTime { .. }
            | Trouble::OneOff { .. }
            | Trouble::Hot { .. }
            | Trouble::MoveUsers { .. }
            | Trouble::Storm { .. } => {}
        }
    }
    acts.sort_by_key(|(at, _)| *at);
    acts
}

impl Stage<'_> {
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
        arguments.extend(self.day.worker_arguments.iter().cloned());
        if first {
            arguments.extend(["--cold-from".into(), "1".into()]);
        }
        let process =
            Process::standin(self.binary, &arguments, &self.folder.join("workers.log")).await?;
        let (ip, port) = process
            .address
            .rsplit_once(':')
            .unwrap_or(("127.0.0.1", "0"));
        let listed = Listed {
            ip: ip.to_string(),
            port: port.parse().unwrap_or(0),
            uid: format!("worker-{n}-{}", self.started),
            zone: format!("zone-{}", n % self.day.zones),
            state: "live".into(),
            memory_mb: 24_000.0,
            started_ms: if first { 0 } else { wall_ms() },
        };
        self.list.set(listed.clone());
        (self.slots[n].process, self.slots[n].listed) = (Some(process), Some(listed));
        Ok(())
    }

    fn start_front(&mut self, n: usize) -> std::io::Result<()> {
        let config = self.path(&format!("front-{n}.kdl"));
        let mut arguments = vec!["serve".to_string(), "--config".into(), config];
        if let Some(baseline) = &self.baseline {
            arguments.extend(["--baseline".to_string(), baseline.clone()]);
        }
        let log = self.folder.join(format!("front-{n}.log"));
        self.fronts[n] = Some(Process::gateway(self.binary, &arguments, &log)?);
        Ok(())
    }

    async fn act(&mut self, act: Act) -> std::io::Result<()> {
        let told = act.to_string();
        match act {
            Act::Kill(n) => {
                if let Some(process) = self.slots[n].process.take() {
                    process.kill().await;
                }
                let dead = self.slots[n].listed.take();
                self.slots[n].dead.extend(dead);
            }
            Act::Gone(n) => {
                for listed in std::mem::take(&mut self.slots[n].dead) {
                    self.list.set(Listed {
                        state: "gone".into(),
                        ..listed
                    });
                }
            }
            Act::Start(n) => {
                if self.slots[n].process.is_none() {
                    self.start_worker(n, false).await?;
                }
            }
            Act::Drain(n) => {
                if let Some(listed) = &self.slots[n].listed {
                    self.list.set(Listed {
                        state: "draining".into(),
                        ..listed.clone()
                    });
                }
            }
            Act::Say(n, line) => {
                if let Some(process) = &mut self.slots[n].process {
                    let _ = process.say(line).await;
                }
            }
            Act::Delay(by) => self.list.set_delay(Duration::from_nanos(by)),
            Act::Store(line) => match line.split_once(' ') {
                Some((_, factor)) => self.store.control().slow(factor.parse().unwrap_or(1.0)),
                None => self.store.control().halt(line == "HALT"),
            },
            Act::KillFront(n) => {
                if let Some(process) = self.fronts[n].take() {
                    process.kill().await;
                }
            }
            Act::StartFront(n) => {
                if self.fronts[n].is_none() {
                    self.start_front(n)?;
                }
            }
            Act::CutBroker => self.broker.say("cut").await?,
            Act::Directory(server, line) => drop(self.directories[server].command(&line)),
            Act::Stale(server, stale) => {
                self.stale[server] = stale;
                if let Some(current) =
                    (0..self.directories.len()).find(|n| !self.stale[*n] && *n != server)
                    && !stale
                {
                    self.directories[server].copy_from(&self.directories[current]);
                }
            }
            Act::Move(user, side) => {
                // Noted first: a front end may act on it before the next line runs.
                let (name, tenant) = (format!("u{user}"), load::TENANTS[side].to_string());
                self.moved
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
    day: &Scenario,
    n: usize,
    broker: &str,
    list: &str,
    remember: &str,
    directories: &[String],
) -> String {
    let classes: String = day
        .classes
        .iter()
        .map(|c| {
            let ms = |ns: u64| ns as f64 / 1e6;
            let dedup = match c.effect.as_str() {
                "keyed" => format!(" dedup-window=\"{}ms\"", ms(c.dedup_window)),
                _ => String::new(),
            };
            format!(
                "class {:?} worth={} effect={:?} aim=\"{}ms\" give-up=\"{}ms\" late-worth=0.3{dedup}\n",
                c.name,
                c.worth,
                c.effect,
                ms(c.aim),
                ms(c.give_up)
            )
        })
        .collect();
    let (tenants, identity) = match &day.tenants {
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
        day.fronts, day.settings
    )
}

/// The rules' figures of a day.
pub fn rule_config(day: &Scenario) -> RuleConfig {
    let idempotency = |text: &str| match text {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::WithKey,
        _ => Idempotency::NonIdempotent,
    };
    let class = |c: &crate::scenario::ClassSpec| ClassRules {
        idempotency: idempotency(&c.effect),
        client_timeout: c.give_up,
        latency_objective: c.aim,
        priority_weight: c.worth,
        deduplication_window: c.dedup_window,
    };
    let config = pipithub_settings::Config::parse(
        "drill",
        &settings(
            day,
            0,
            "127.0.0.1:1",
            "127.0.0.1:1",
            "x",
            &["127.0.0.1:1".into()],
        ),
    );
    let rate_limit = config.ok().and_then(|c| c.engine.policy.loading.rate_limit);
    RuleConfig {
        classes: day
            .classes
            .iter()
            .map(|c| (c.name.clone(), class(c)))
            .collect(),
        queue: QUEUE.into(),
        slack: day.slack,
        drain_grace: day.drain_grace,
        load_rate_limit: rate_limit.map(|r| (r.window, r.burst, r.per_request)),
        migration_grace: day.tenants.as_ref().map(|t| t.bound),
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
    day: &Scenario,
    seed: u64,
    binary: &Path,
    folder: &Path,
    baseline: Option<&str>,
    mut progress: impl FnMut(f64, usize, &BTreeMap<String, usize>),
) -> Result<Judged, Box<dyn std::error::Error + Send + Sync>> {
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
    let broker = Process::standin(
        binary,
        &arguments.map(String::from),
        &folder.join("broker.log"),
    )
    .await?;
    let address = broker.address.clone();
    let moved = Recorder::file(&folder.join("directory.jsonl"))?;
    let mut directories = Vec::new();
    if let Some(tenants) = &day.tenants {
        let mut tree = String::from("dn: dc=example\nobjectClass: domain\n\n");
        for tenant in load::TENANTS {
            tree += &format!("dn: ou={tenant},dc=example\nobjectClass: organizationalUnit\n\n");
        }
        for user in 0..tenants.users {
            let tenant = load::TENANTS[user % 2];
            tree += &format!(
                "dn: uid=u{user},ou={tenant},dc=example\nobjectClass: person\nuid: u{user}\n\n"
            );
            moved.note(
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
    let slots = (0..day.workers)
        .map(|_| Slot {
            process: None,
            listed: None,
            dead: Vec::new(),
        })
        .collect();
    let mut stage = Stage {
        day,
        binary,
        folder: folder.to_path_buf(),
        list,
        store,
        broker,
        slots,
        fronts: (0..day.fronts).map(|_| None).collect(),
        baseline: baseline.map(str::to_string),
        started: 0,
        faults: Vec::new(),
        stale: vec![false; directories.len()],
        directories,
        moved,
    };
    for n in 0..day.workers {
        stage.start_worker(n, true).await?;
    }
    for n in 0..day.fronts {
        let remember = stage.path(&format!("front-{n}-list.json"));
        let text = settings(
            day,
            n,
            &address,
            &stage.list.address().to_string(),
            &remember,
            &addresses,
        );
        // A file with a fault would only show as a front end that never comes.
        pipithub_settings::Config::parse("drill settings", &text)
            .map_err(|f| format!("{f}: {:?}", f.lines()))?;
        std::fs::write(stage.path(&format!("front-{n}.kdl")), text)?;
        stage.start_front(n)?;
    }
    let clock = Clock::default();
    while consumers(&address, Login::default(), QUEUE).await != Some(day.fronts as u32) {
        if clock.now() > 30 * SECOND {
            return Err("the front ends do not consume".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let calls = load::calls(day, seed, QUEUE);
    let total = calls.len();
    let acts = acts(day, seed);
    let mut client = QueueClient::start(&address, Login::default(), "answers");
    let began = wall_ns();
    let start = Clock::default();
    let mut calls = calls.into_iter().peekable();
    let mut acts = acts.into_iter().peekable();
    let mut verdicts: BTreeMap<String, usize> = BTreeMap::new();
    let mut answered = 0;
    let mut sent = 0;
    let longest = day.classes.iter().map(|c| c.give_up).max().unwrap_or(0);
    let end = day.length + 2 * longest + 4 * SECOND;
    let mut second = SECOND;
    while (sent < total || acts.peek().is_some() || answered < total) && start.now() < end {
        let next = [
            calls.peek().map(|c| c.0),
            acts.peek().map(|a| a.0),
            Some(second),
        ];
        let due = next.into_iter().flatten().min();
        tokio::select! {
            () = start.sleep_until(due) => {
                while let Some((_, call)) = calls.next_if(|c| c.0 <= start.now()) {
                    client.calls.send(call).await?;
                    sent += 1;
                }
                if let Some((_, act)) = acts.next_if(|a| a.0 <= start.now()) {
                    stage.act(act).await?;
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
    let faults = std::mem::take(&mut stage.faults);
    let judged_folder = stage.folder.clone();
    drop(client);
    // All processes end here; what they saw is on disk.
    for front in stage.fronts.into_iter().flatten() {
        front.kill().await;
    }
    for process in stage.slots.into_iter().filter_map(|s| s.process) {
        process.kill().await;
    }
    stage.broker.kill().await;
    let records = records(&judged_folder)?;
    let config = rule_config(day);
    let published = pipithub_conformance::rules::request_traces(&records, &config).len();
    let breaches = check(&records, &config);
    let since = |t: u64| t.saturating_sub(began) as f64 / 1e9;
    Ok(Judged {
        breaches,
        report: report(&records, &config, 2 * SECOND),
        faults: faults.into_iter().map(|(t, f)| (since(t), f)).collect(),
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
