//! Whether a fleet knew itself: claims of its members beside what was true.
//!
//! Truth is the rig's own: which process ran when, from which disk, which links it spoilt. The numbers that runs used
//! are read from datagrams on the way. Only the claims are the members' own, for they are what is judged.

use std::collections::BTreeMap;

/// Nanoseconds of Unix time.
pub type Time = u64;

/// What a run found on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// What the run before left.
    Current,
    /// Nothing.
    Empty,
    /// An older copy.
    Stale,
}

/// One process, from start to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name it was started with.
    pub name: String,
    /// When.
    pub started: Time,
    /// When it was ended; `None`: it runs.
    pub ended: Option<Time>,
    /// From which disk.
    pub disk: Disk,
    /// The generation that this disk gives.
    pub expected_generation: u64,
    /// When it was paused.
    pub paused: Vec<(Time, Time)>,
}

/// What a run claimed at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// When.
    pub at: Time,
    /// Which run, as an index into the history's.
    pub run: usize,
    /// It says that it takes part.
    pub joined: bool,
    /// Which generation it says that it is.
    pub generation: u64,
    /// What it says of its disk.
    pub disk: String,
    /// Others, by name, and whether it holds them for dead.
    pub others: BTreeMap<String, bool>,
}

/// All that was seen of a day.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The runs.
    pub runs: Vec<Run>,
    /// Claims, by time.
    pub claims: Vec<Claim>,
    /// Under which generation each run took part, and when first, from datagrams on their way.
    pub generations_used: Vec<(usize, u64, Time)>,
    /// When links were spoilt.
    pub disturbances: Vec<(Time, Time)>,
    /// When all was over and settled.
    pub end: Time,
}

/// How much time the fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// A death is known to all after this.
    pub detection: Time,
    /// Whatever was wrong, all is known again after this.
    pub convergence: Time,
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No two runs spoke under one number of one name, where the fleet had time to know of the first.
    UniqueGeneration,
    /// A death is found by all.
    FailureDetected,
    /// Who was there and could be reached was held for dead by nobody.
    NoFalsePositive,
    /// A run that started from an old or empty disk says so, under a number that was never used.
    StaleDiskReported,
    /// Of two runs under one name one takes part.
    SingleRunPerName,
    /// In the end all believe what is true.
    Convergence,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] = [
        Rule::UniqueGeneration,
        Rule::FailureDetected,
        Rule::NoFalsePositive,
        Rule::StaleDiskReported,
        Rule::SingleRunPerName,
        Rule::Convergence,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Rule::UniqueGeneration => "one run for each number",
            Rule::FailureDetected => "the dead are found",
            Rule::NoFalsePositive => "the living are kept",
            Rule::StaleDiskReported => "old disks are known",
            Rule::SingleRunPerName => "one run for each name",
            Rule::Convergence => "one fleet in the end",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

impl History {
    fn undisturbed(&self, from: Time, to: Time) -> bool {
        !self
            .disturbances
            .iter()
            .any(|(a, b)| *a <= to && *b >= from)
    }

    /// Whether a run was there and awake all the time.
    fn responsive(&self, run: usize, from: Time, to: Time) -> bool {
        let r = &self.runs[run];
        r.started <= from
            && r.ended.is_none_or(|e| e > to)
            && !r.paused.iter().any(|(a, b)| *a <= to && *b >= from)
    }

    /// Whether a name had another run at some time within.
    fn other_run(&self, run: usize, from: Time, to: Time) -> bool {
        let of = &self.runs[run].name;
        let within = |r: &Run| r.started <= to && r.ended.is_none_or(|e| e >= from);
        self.runs
            .iter()
            .enumerate()
            .any(|(n, r)| n != run && r.name == *of && within(r))
    }
}

/// Judges a history.
#[expect(clippy::too_many_lines, reason = "not split yet; see the roadmap")]
pub fn check(history: &History, bounds: Bounds) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut breach = |rule: Rule, what: String| breaches.push(Breach { rule, what });
    let seconds =
        |t: Time| t.saturating_sub(history.runs.first().map_or(0, |r| r.started)) as f64 / 1e9;

    let mut first_uses: BTreeMap<(&str, u64), (usize, Time)> = BTreeMap::new();
    let mut generations_used = history.generations_used.clone();
    generations_used.sort_unstable_by_key(|(_, _, at)| *at);
    for (run, generation, at) in &generations_used {
        let name = history.runs[*run].name.as_str();
        let (first, since) = *first_uses.entry((name, *generation)).or_insert((*run, *at));
        // A number is known where word of it could spread: what two take within that time, or from both sides of a
        // cut, nobody can tell apart but those who agree on epochs.
        let known = history.undisturbed(since.max(at.saturating_sub(bounds.convergence)), *at)
            && since + bounds.convergence <= *at;
        if first != *run && known {
            let what =
                format!("{name}: runs {first} and {run} both spoke under generation {generation}");
            breach(Rule::UniqueGeneration, what);
        }
    }

    for claim in history.claims.iter().filter(|c| c.joined) {
        let (me, at) = (&history.runs[claim.run], claim.at);
        for (n, run) in history
            .runs
            .iter()
            .enumerate()
            .filter(|(_, r)| r.name != me.name)
        {
            if let Some(ended) = run.ended.filter(|e| e + bounds.detection <= at) {
                let judged = history.undisturbed(ended, at)
                    && history.responsive(claim.run, ended.saturating_sub(bounds.convergence), at)
                    && !history.other_run(n, ended, at);
                if judged && claim.others.get(&run.name) == Some(&false) {
                    let what = format!(
                        "at {:.1} s {} holds {} for alive, dead since {:.1} s",
                        seconds(at),
                        me.name,
                        run.name,
                        seconds(ended)
                    );
                    breach(Rule::FailureDetected, what);
                }
            }
            let since = at.saturating_sub(bounds.convergence);
            let judged = history.undisturbed(since, at)
                && history.responsive(claim.run, since, at)
                && history.responsive(n, since, at)
                && !history.other_run(n, since, at)
                && !history.other_run(claim.run, since, at);
            if judged && claim.others.get(&run.name) != Some(&false) {
                let how = if claim.others.contains_key(&run.name) {
                    "for dead"
                } else {
                    "for unknown"
                };
                let what = format!(
                    "at {:.1} s {} holds {} {how}, which runs",
                    seconds(at),
                    me.name,
                    run.name
                );
                breach(Rule::NoFalsePositive, what);
            }
        }
    }

    for (n, run) in history
        .runs
        .iter()
        .enumerate()
        .filter(|(_, r)| r.disk != Disk::Current)
    {
        let before = history.runs[..n]
            .iter()
            .enumerate()
            .filter(|(_, r)| r.name == run.name);
        let used: Vec<u64> = before
            .flat_map(|(b, _)| {
                let of = move |(r, _, at): &&(usize, u64, Time)| {
                    *r == b && *at + bounds.convergence < run.started
                };
                history
                    .generations_used
                    .iter()
                    .filter(of)
                    .map(|(_, g, _)| *g)
            })
            .collect();
        let (Some(most), Some(last)) = (
            used.iter().max(),
            history.claims.iter().rfind(|c| c.run == n && c.joined),
        ) else {
            continue;
        };
        // A number that the fleet had no time to know of cannot tell it.
        if *most < run.expected_generation {
            continue;
        }
        let said = match run.disk {
            Disk::Empty => "empty",
            Disk::Stale => "old",
            Disk::Current => "kept",
        };
        if last.disk != said || last.generation <= *most {
            let what = format!(
                "{} started from a disk that was {said}, says {} and generation {}, {most} was in use before",
                run.name, last.disk, last.generation
            );
            breach(Rule::StaleDiskReported, what);
        }
    }

    for (n, one) in history.runs.iter().enumerate() {
        for (m, other) in history
            .runs
            .iter()
            .enumerate()
            .skip(n + 1)
            .filter(|(_, r)| r.name == one.name)
        {
            let from = one.started.max(other.started) + bounds.convergence;
            let joined = |run: usize| {
                let mine = move |c: &&Claim| c.run == run && c.joined && c.at >= from;
                history
                    .claims
                    .iter()
                    .filter(mine)
                    .map(|c| c.at)
                    .collect::<Vec<_>>()
            };
            let (a, b) = (joined(n), joined(m));
            let both = a.iter().find(|t| {
                let near = |u: &&Time| u.abs_diff(**t) < 1_000_000_000;
                history.undisturbed(t.saturating_sub(bounds.convergence), **t)
                    && b.iter().any(|u| near(&u))
            });
            if let Some(at) = both {
                let what = format!(
                    "at {:.1} s runs {n} and {m} of {} both take part",
                    seconds(*at),
                    one.name
                );
                breach(Rule::SingleRunPerName, what);
            }
        }
    }

    let here: Vec<usize> = (0..history.runs.len())
        .filter(|n| history.runs[*n].ended.is_none())
        .collect();
    let names: std::collections::BTreeSet<&str> = here
        .iter()
        .map(|n| history.runs[*n].name.as_str())
        .collect();
    for n in here.iter().copied() {
        let run = &history.runs[n];
        let duplicate = here
            .iter()
            .any(|o| *o != n && history.runs[*o].name == run.name);
        match history
            .claims
            .iter()
            .rfind(|c| c.run == n && c.at >= history.end)
        {
            None => breach(
                Rule::Convergence,
                format!("{} (run {n}) claimed nothing in the end", run.name),
            ),
            Some(claim) if !claim.joined => {
                if !duplicate {
                    breach(
                        Rule::Convergence,
                        format!("{} (run {n}) takes no part in the end", run.name),
                    );
                }
            }
            Some(claim) => {
                let alive = claim
                    .others
                    .iter()
                    .filter(|(_, dead)| !**dead)
                    .map(|(name, _)| name.as_str());
                let mut alive: std::collections::BTreeSet<&str> = alive.collect();
                alive.insert(&run.name);
                if alive != names {
                    let what = format!(
                        "{} believes {alive:?} to be there, there are {names:?}",
                        run.name
                    );
                    breach(Rule::Convergence, what);
                }
            }
        }
    }
    breaches
}
