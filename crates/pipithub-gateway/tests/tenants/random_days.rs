//! Days of moves, faults of directories and stale replicas, from seeds: no call may run for another tenant.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pipithub_emulator::clock::wall_ns;
use pipithub_emulator::directory::DirectoryServer;
use pipithub_gateway::Gateway;
use pipithub_scenario::client::{Publish, QueueClient};
use pipithub_scenario::random::SplitMix64;

use crate::rig::{Stage, answer, call, directory, tree};

const SIDES: [&str; 2] = ["north", "south"];
const USERS: usize = 40;
const CALL_INTERVAL: Duration = Duration::from_millis(4);
/// Seconds between two changes of the directories' faults.
const FAULT_INTERVAL: f64 = 0.4;
/// Seconds until the first fault.
const FIRST_FAULT: f64 = 0.5;
/// The part of the calls that name a side by chance instead of their user's.
const RANDOM_SIDE_PART: f64 = 0.1;
/// The part of the calls after which their user moves.
const MOVE_PART: f64 = 0.02;
/// How long after a move a call may still be sent to the side that was left.
///
/// The bound that the settings state is the hard one, 1 s, counted from when a server that can be reached knows: half of
/// `fresh` until it is heard, after up to 400 ms of a fault and 600 ms of its breaker. Then the way to a worker, on a
/// machine that is busy.
const CROSSING_BOUND: Duration = Duration::from_secs(4);

/// A user on a side, from a time on.
struct Stay {
    from: u64,
    side: &'static str,
}

struct User {
    name: String,
    side: &'static str,
    /// By the newest server's entries, in the order of time.
    stays: Vec<Stay>,
}

impl User {
    fn new(number: usize) -> Self {
        let side = SIDES[number % SIDES.len()];
        User {
            name: format!("u{number}"),
            side,
            stays: vec![Stay { from: 0, side }],
        }
    }

    /// Whether the user was on this side at this time, or had left it no longer before than the bound.
    fn was_on(&self, side: &str, at: u64) -> bool {
        let bound = CROSSING_BOUND.as_nanos() as u64;
        self.stays.iter().enumerate().any(|(number, stay)| {
            let until = self
                .stays
                .get(number + 1)
                .map_or(u64::MAX, |next| next.from);
            stay.side == side && stay.from <= at && until.saturating_add(bound) >= at
        })
    }

    fn dn(&self) -> String {
        format!("uid={},ou={},dc=example", self.name, self.side)
    }
}

/// What a call asked for.
struct Wanted {
    user: usize,
    side: &'static str,
}

struct DayResult {
    calls: usize,
    runs: usize,
    /// Calls that ran on a side on which their user had not been for longer than the bound.
    crossings: Vec<String>,
}

struct Day {
    seed: u64,
    random: SplitMix64,
    users: Vec<User>,
    /// The server that hears of no moves.
    stale: usize,
    wanted: BTreeMap<String, Wanted>,
    answered: usize,
    client: QueueClient,
    _gateway: Gateway,
    servers: [DirectoryServer; 2],
    stage: Stage,
}

impl Day {
    async fn start(seed: u64) -> Day {
        let stage = Stage::new(&format!("day{seed}")).await;
        let users: Vec<User> = (0..USERS).map(User::new).collect();
        let entries: Vec<(String, &str)> = users.iter().map(|u| (u.name.clone(), u.side)).collect();
        let text = tree(&entries);
        let servers = [directory(&text, false).await, directory(&text, false).await];
        let config = stage.config(
            &[&servers[0], &servers[1]],
            "tls \"none\"; mark-attribute \"contextCSN\"; fresh \"200ms\"; stale-most \"1s\"; negative \"300ms\"; \
             time-out \"300ms\"; retry-first \"100ms\"; retry-most \"400ms\"; failures 2; rate 200",
            "",
        );
        Day {
            seed,
            random: SplitMix64::new(seed),
            users,
            stale: 0,
            wanted: BTreeMap::new(),
            answered: 0,
            _gateway: Gateway::start(&config),
            client: stage.client(),
            servers,
            stage,
        }
    }

    /// Sends calls for this long, and waits until all are answered.
    async fn run(mut self, length: Duration) -> DayResult {
        let began = Instant::now();
        let mut next_fault = FIRST_FAULT;
        let mut pause = tokio::time::interval(CALL_INTERVAL);
        while began.elapsed() < length {
            pause.tick().await;
            while self.client.answers.try_recv().is_ok() {
                self.answered += 1;
            }
            let user = self.random.below(self.users.len());
            let call = self.draw_call(user);
            self.client.calls.send(call).await.expect("running");
            if self.random.unit() < MOVE_PART {
                self.move_user(user);
            }
            if began.elapsed().as_secs_f64() > next_fault {
                next_fault += FAULT_INTERVAL;
                self.change_faults();
            }
        }
        while self.answered < self.wanted.len() {
            answer(&mut self.client).await;
            self.answered += 1;
        }
        DayResult {
            calls: self.wanted.len(),
            runs: self.stage.sent().len(),
            crossings: self.crossings(),
        }
    }

    fn draw_call(&mut self, user: usize) -> Publish {
        let side = if self.random.unit() < RANDOM_SIDE_PART {
            SIDES[self.random.below(2)]
        } else {
            self.users[user].side
        };
        let id = format!("{}-{}", self.seed, self.wanted.len());
        let call = call(&id, &self.users[user].name, &format!("{side}-map"));
        self.wanted.insert(id, Wanted { user, side });
        call
    }

    /// Moves a user to the other side at one server; the other may not hear of it until its fault is over.
    fn move_user(&mut self, user: usize) {
        let user = &mut self.users[user];
        let to = if user.side == "north" {
            "south"
        } else {
            "north"
        };
        for (number, server) in self.servers.iter().enumerate() {
            if number != self.stale {
                server.move_to(&user.dn(), &format!("ou={to},dc=example"));
            }
        }
        user.side = to;
        user.stays.push(Stay {
            from: wall_ns(),
            side: to,
        });
    }

    /// Ends the faults of the directory servers, and begins another one.
    fn change_faults(&mut self) {
        for server in &self.servers {
            server.set_faults(|f| *f = Default::default());
        }
        let one = &self.servers[self.random.below(2)];
        match self.random.below(8) {
            0 => one.set_faults(|f| f.silent = true),
            1 => one.set_faults(|f| f.delay = Duration::from_millis(290)),
            2 => one.set_faults(|f| f.drop_every = 2),
            3 => one.set_faults(|f| f.wrong = true),
            4 => one.set_faults(|f| f.loading = true),
            5 => one.cut(),
            6 => self
                .servers
                .iter()
                .for_each(|s| s.set_faults(|f| f.busy = true)),
            _ => {
                // The stale one hears of everything it missed, and the other falls behind.
                self.servers[self.stale].copy_from(&self.servers[1 - self.stale]);
                self.stale = 1 - self.stale;
            }
        }
    }

    fn crossings(&self) -> Vec<String> {
        let mut crossings = Vec::new();
        for run in self.stage.sent() {
            let wanted = &self.wanted[&run.request];
            let user = &self.users[wanted.user];
            let side = run.function.strip_suffix("-map").unwrap_or_default();
            if !user.was_on(side, run.at) || wanted.side != side {
                crossings.push(format!(
                    "{} of {} ran {}",
                    run.request, user.name, run.function
                ));
            }
        }
        crossings
    }
}

async fn run_day(seed: u64) -> DayResult {
    Day::start(seed).await.run(Duration::from_secs(8)).await
}

/// `PIPITHUB_SEEDS` sets how many days are run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_call_crosses_tenants_on_days_of_moves_faults_and_stale_replicas() {
    let seeds: u64 = std::env::var("PIPITHUB_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(4);
    let mut days = tokio::task::JoinSet::new();
    let mut total = DayResult {
        calls: 0,
        runs: 0,
        crossings: Vec::new(),
    };
    let mut add = |day: DayResult| {
        total.calls += day.calls;
        total.runs += day.runs;
        total.crossings.extend(day.crossings);
    };
    for seed in 0..seeds {
        if days.len() >= 4
            && let Some(day) = days.join_next().await
        {
            add(day.expect("a day ends"));
        }
        days.spawn(run_day(seed));
    }
    while let Some(day) = days.join_next().await {
        add(day.expect("a day ends"));
    }
    let DayResult {
        calls,
        runs,
        crossings,
    } = total;
    println!(
        "{seeds} days, {calls} calls, {runs} sent, {} crossings",
        crossings.len()
    );
    assert!(crossings.is_empty(), "{crossings:?}");
    assert!(
        runs * 2 > calls,
        "only {runs} of {calls} were sent: the days show nothing"
    );
}
