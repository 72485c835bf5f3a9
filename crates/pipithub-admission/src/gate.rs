//! From a call to its tenant, and on to the tenant's share.

use std::collections::BTreeMap;

use pipithub_directory::{Person, Refresh, Roster, TenantId, User, View, Waiting};

use crate::Time;
use crate::shares::{End, Held, Shares, SharesSettings, Start};

const MS: Time = 1_000_000;

/// What a gate is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Shares and classes.
    pub shares: SharesSettings,
    /// A call waits no longer than this for its user to be known, nor than a quarter of its time.
    pub identity_wait: Time,
    /// Calls that may wait for that.
    pub max_waiting: usize,
}

/// A call that has come in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival<T> {
    /// The call, as its owner names it.
    pub call: T,
    /// Whose call it is; `None`: nobody has said so.
    pub user: Option<User>,
    /// The tenant that its route belongs to.
    pub route: Option<TenantId>,
    /// Its class.
    pub class: usize,
    /// What is left of its time.
    pub left: Time,
}

/// Why a call is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// It does not say whose it is, and neither does its route.
    NoUser,
    /// Nobody could say in time whose user it is.
    Unknown,
    /// Its user is no tenant's.
    Nobody,
    /// More than one tenant's directory has its user.
    ClaimedTwice,
    /// Its route is another tenant's.
    OtherRoute,
    /// Its tenant has no place for it.
    OverShare,
    /// Its tenant makes more calls than it may.
    OverRate,
}

/// What a call that was let in is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Its tenant.
    pub tenant: TenantId,
    /// Its user's person, where its user decided.
    pub person: Option<Person>,
    /// How long it waited here.
    pub waited: Time,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output<T> {
    /// Hand it to the module; one [`Gate::ended`] is owed.
    Admit(T, Admitted),
    /// Refuse it; its caller should stay away for so long.
    Refuse(T, Why, Time),
    /// Ask the directories.
    Want(User, bool),
}

/// A call and what is known of it.
#[derive(Debug)]
struct Known<T> {
    arrival: Arrival<T>,
    came: Time,
    person: Option<Person>,
}

impl<T> Known<T> {
    fn still(&self, roster: &Roster, now: Time, tenant: usize) -> bool {
        let (Some(user), Some(person)) = (&self.arrival.user, self.person) else {
            return true;
        };
        matches!(roster.look(user, now),
            View::Tenant { tenant: t, person: p, .. } if usize::from(t.0) == tenant && p == person)
    }
}

/// A front end's gate.
#[derive(Debug)]
pub struct Gate<T> {
    settings: GateSettings,
    waiting: Waiting<Known<T>>,
    shares: Shares<Known<T>>,
    /// Users asked for behind their calls, and when: a busy user wants a refresh once, not with each call.
    behind: BTreeMap<User, Time>,
    starts: Vec<Start<Known<T>>>,
}

/// A user's refresh is wanted again after this at the soonest.
const BEHIND_GAP: Time = 1_000 * MS;
/// Users that are remembered for that.
const BEHIND_MOST: usize = 4_096;

impl<T> Gate<T> {
    /// A gate that has let nothing in.
    pub fn new(settings: GateSettings) -> Self {
        Gate {
            waiting: Waiting::new(settings.max_waiting),
            shares: Shares::new(settings.shares.clone()),
            behind: BTreeMap::new(),
            starts: Vec::new(),
            settings,
        }
    }

    /// The shares, to look at.
    pub fn limit(&self) -> f64 {
        self.shares.limit()
    }

    /// Calls in service, and calls that wait for a place, of a tenant.
    pub fn of(&self, tenant: TenantId) -> (usize, usize) {
        self.shares.of(usize::from(tenant.0))
    }

    /// Calls that wait for their user to be known.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls that wait for anything here.
    pub fn pending(&self) -> usize {
        self.waiting.len() + self.shares.waiting()
    }

    /// When [`Gate::tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        [self.waiting.next_due(), self.shares.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// A call comes in.
    pub fn arrive(
        &mut self,
        now: Time,
        roster: &Roster,
        arrival: Arrival<T>,
        out: &mut Vec<Output<T>>,
    ) {
        let known = Known {
            came: now,
            person: None,
            arrival,
        };
        let Some(user) = known.arrival.user.clone() else {
            return match known.arrival.route {
                // A route that takes calls without users speaks for its tenant: a timer's, a desk's own queue.
                Some(tenant) => self.share(now, roster, known, tenant, out),
                None => out.push(Output::Refuse(known.arrival.call, Why::NoUser, 0)),
            };
        };
        let view = roster.look(&user, now);
        let wait = match view {
            View::Unknown => true,
            View::Tenant {
                refresh: Refresh::Behind,
                ..
            } => {
                if self.wants_behind(now, &user) {
                    out.push(Output::Want(user.clone(), false));
                }
                false
            }
            View::Tenant {
                refresh: Refresh::First,
                ..
            } => true,
            View::Tenant { .. } | View::Nobody | View::Twice => false,
        };
        if !wait {
            return self.judge(now, roster, view, known, out);
        }
        let until = now + self.settings.identity_wait.min(known.arrival.left / 4);
        match self.waiting.add(now, until, user.clone(), known) {
            Ok(()) => out.push(Output::Want(user, true)),
            // As many wait as may: it is judged by what is known.
            Err(known) => self.judge(now, roster, view, known, out),
        }
    }

    fn wants_behind(&mut self, now: Time, user: &User) -> bool {
        if self
            .behind
            .get(user)
            .is_some_and(|at| now < *at + BEHIND_GAP)
        {
            return false;
        }
        if self.behind.len() >= BEHIND_MOST {
            self.behind.retain(|_, at| now < *at + BEHIND_GAP);
        }
        if self.behind.len() < BEHIND_MOST {
            self.behind.insert(user.clone(), now);
        }
        true
    }

    fn judge(
        &mut self,
        now: Time,
        roster: &Roster,
        view: View,
        known: Known<T>,
        out: &mut Vec<Output<T>>,
    ) {
        let refuse = |known: Known<T>, why, after| Output::Refuse(known.arrival.call, why, after);
        match view {
            View::Tenant { tenant, person, .. } => {
                if known.arrival.route.is_some_and(|route| route != tenant) {
                    return out.push(refuse(known, Why::OtherRoute, 0));
                }
                self.share(
                    now,
                    roster,
                    Known {
                        person: Some(person),
                        ..known
                    },
                    tenant,
                    out,
                );
            }
            View::Nobody => out.push(refuse(known, Why::Nobody, 0)),
            View::Twice => out.push(refuse(known, Why::ClaimedTwice, 0)),
            View::Unknown => out.push(refuse(known, Why::Unknown, 1_000 * MS)),
        }
    }

    fn share(
        &mut self,
        now: Time,
        roster: &Roster,
        known: Known<T>,
        tenant: TenantId,
        out: &mut Vec<Output<T>>,
    ) {
        let left = known.arrival.left.saturating_sub(now - known.came);
        let class = known.arrival.class;
        let held = Held {
            call: known,
            tenant: usize::from(tenant.0),
            class,
            since: now,
        };
        self.shares.offer(now, held, left, &mut self.starts);
        self.carry_out(now, roster, out);
    }

    fn carry_out(&mut self, now: Time, roster: &Roster, out: &mut Vec<Output<T>>) {
        // Taken from the end: those that were given their places first go first.
        self.starts.reverse();
        while let Some(start) = self.starts.pop() {
            let start = match start {
                // It may have waited for its place while its user moved.
                Start::Now(held) if !held.call.still(roster, now, held.tenant) => {
                    self.shares
                        .ended(now, held.tenant, End::Other, 0, &mut self.starts);
                    let view = held
                        .call
                        .arrival
                        .user
                        .as_deref()
                        .map_or(View::Unknown, |u| roster.look(u, now));
                    let why = if view == View::Twice {
                        Why::ClaimedTwice
                    } else {
                        Why::Unknown
                    };
                    out.push(Output::Refuse(held.call.arrival.call, why, 0));
                    continue;
                }
                start => start,
            };
            let (held, refused) = match start {
                Start::Now(held) => (held, None),
                Start::OverShare(held, after) => (held, Some((Why::OverShare, after))),
                Start::OverRate(held, after) => (held, Some((Why::OverRate, after))),
            };
            let known = held.call;
            let waited = now.saturating_sub(known.came);
            let tenant = TenantId(held.tenant as u16);
            out.push(match refused {
                None => Output::Admit(
                    known.arrival.call,
                    Admitted {
                        tenant,
                        person: known.person,
                        waited,
                    },
                ),
                Some((why, after)) => Output::Refuse(known.arrival.call, why, after),
            });
        }
    }

    /// There is news of a user: whoever waits for it is judged by what is known now.
    pub fn news(&mut self, now: Time, roster: &Roster, user: &str, out: &mut Vec<Output<T>>) {
        for woken in self.waiting.wake(user) {
            let view = roster.look(user, now);
            self.judge(now, roster, view, woken.call, out);
        }
    }

    /// A call that was let in has had its final answer, `took` after it was.
    pub fn ended(
        &mut self,
        now: Time,
        roster: &Roster,
        (tenant, end, took): (TenantId, End, Time),
        out: &mut Vec<Output<T>>,
    ) {
        self.shares
            .ended(now, usize::from(tenant.0), end, took, &mut self.starts);
        self.carry_out(now, roster, out);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, roster: &Roster, out: &mut Vec<Output<T>>) {
        for woken in self.waiting.due(now) {
            // What is known and past its best is still better than a refusal, up to its hard bound.
            let view = roster.look(&woken.user, now);
            self.judge(now, roster, view, woken.call, out);
        }
        self.shares.tick(now, &mut self.starts);
        self.carry_out(now, roster, out);
    }

    /// Calls that their source took back; nothing is owed for them any more.
    pub fn forget(&mut self, mut gone: impl FnMut(&T) -> bool) {
        self.waiting.forget(|known| gone(&known.arrival.call));
        self.shares.forget(|known| gone(&known.arrival.call));
    }
}
