//! A simulated front end: admission control and a directory core, with a directory that answers after a fixed time.

use std::collections::BTreeMap;

use pipithub_admission::{
    Admission, AdmissionSettings, Arrival, LimitRange, Output as AdmissionOutput, QuotaSettings,
    RejectReason, TenantQuota,
};
use pipithub_directory::{
    DailyPeak, Directory, DirectoryEntry, DirectorySettings, Input, Lifetimes, Output, PersonId,
    Query, Resolution, SearchId, SearchResponse, Time, User,
};

use super::{Call, DirectoryLoad, FRESH_TIME, HOUR, PEAK_START, SECOND};
use crate::directory_core::{TENANTS, new_core, tenant_base, user_dn, user_name};

const MILLISECOND: Time = 1_000_000;
/// The time after which the directory answers a search.
const SEARCH_TIME: Time = 5 * MILLISECOND;
/// How long cached records are used if the directory does not answer.
const MAX_STALE: Time = 30 * HOUR;
/// How long the absence of a user is cached.
const NEGATIVE_TIME: Time = 30 * SECOND;
/// How long before the peak users are refreshed.
const PEAK_LEAD_MS: i64 = 1_800_000;
/// How long a call may wait for the look-up of its user.
const MAX_IDENTITY_WAIT: Time = 40 * MILLISECOND;
/// The time that a call has until its client stops waiting.
const REMAINING: Time = 4 * SECOND;
const MAX_WAITING: usize = 4_096;
const MAX_USERS: usize = 100_000;
/// A limit on calls in flight that is never reached.
const UNREACHED_LIMIT: f64 = 1e6;
/// How long the simulation continues after the last call.
const SETTLING_TIME: Time = 10 * SECOND;
/// The distance between the seeds of two front ends.
const SEED_STEP: u64 = 7_919;

/// When a search is answered. The number orders answers of the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerTime {
    at: Time,
    number: u64,
}

/// An answer that has not arrived yet.
struct PendingAnswer {
    search: SearchId,
    answer: SearchResponse,
}

/// A front end in simulated time.
pub(super) struct SimulatedFrontEnd<'a> {
    core: Directory,
    admission: Admission<u64>,
    answers: BTreeMap<AnswerTime, PendingAnswer>,
    searches: u64,
    outputs: Vec<Output>,
    admission_outputs: Vec<AdmissionOutput<u64>>,
    load: &'a mut DirectoryLoad,
}

impl<'a> SimulatedFrontEnd<'a> {
    /// A front end that has no user cached.
    pub(super) fn new(number: u64, load: &'a mut DirectoryLoad) -> Self {
        SimulatedFrontEnd {
            core: new_core(directory_settings(), MAX_USERS, number * SEED_STEP + 1),
            admission: Admission::new(admission_settings()),
            answers: BTreeMap::new(),
            searches: 0,
            outputs: Vec::new(),
            admission_outputs: Vec::new(),
            load,
        }
    }

    /// Simulates all calls, and then the time until their look-ups have ended.
    pub(super) fn run(mut self, calls: &[Call]) {
        let end = calls.last().map_or(0, |call| call.at) + SETTLING_TIME;
        let mut calls = calls.iter().peekable();
        let mut now = 0;
        while now < end {
            let due = [
                calls.peek().map(|call| call.at),
                self.answers.keys().next().map(|time| time.at),
                self.core.next_due(now),
                self.admission.next_due(),
            ];
            let Some(next) = due.into_iter().flatten().min() else {
                break;
            };
            now = now.max(next);
            if let Some(answered) = self.next_answer(now) {
                self.deliver(now, answered);
            } else if let Some(call) = calls.next_if(|call| call.at <= now) {
                self.admit(now, call);
            } else {
                self.core.handle(now, Input::Tick, &mut self.outputs);
                self.admission
                    .tick(now, self.core.roster(), &mut self.admission_outputs);
            }
            self.settle(now);
        }
        debug_assert!(matches!(
            self.core.roster().resolve("nobody", now),
            Resolution::Unknown
        ));
    }

    /// Removes and returns the earliest answer that is due; `None` if none is.
    fn next_answer(&mut self, now: Time) -> Option<PendingAnswer> {
        let first = self.answers.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }

    fn deliver(&mut self, now: Time, answered: PendingAnswer) {
        let ended = Input::SearchEnded {
            search: answered.search,
            outcome: Ok(answered.answer),
        };
        self.core.handle(now, ended, &mut self.outputs);
    }

    fn admit(&mut self, now: Time, call: &Call) {
        let arrival = Arrival {
            request: call.at,
            user: Some(user_name(call.user)),
            route_tenant: None,
            class: 0,
            remaining: REMAINING,
        };
        self.admission.arrive(
            now,
            self.core.roster(),
            arrival,
            &mut self.admission_outputs,
        );
    }

    /// Passes outputs between the directory core and admission control until there are none left.
    fn settle(&mut self, now: Time) {
        loop {
            self.settle_admission(now);
            if self.outputs.is_empty() {
                return;
            }
            for output in std::mem::take(&mut self.outputs) {
                match output {
                    Output::Search { id, query, .. } => self.search(now, id, query),
                    Output::LookupFinished(user) => self.admission.user_updated(
                        now,
                        self.core.roster(),
                        &user,
                        &mut self.admission_outputs,
                    ),
                    Output::CancelSearch(_) | Output::UserMigrated(_) => {}
                }
            }
        }
    }

    fn settle_admission(&mut self, now: Time) {
        for output in std::mem::take(&mut self.admission_outputs) {
            match output {
                AdmissionOutput::Admit { admitted, .. } => {
                    self.load.waited += u64::from(admitted.waited > 0);
                }
                AdmissionOutput::Reject {
                    reason: RejectReason::UnknownUser,
                    ..
                } => self.load.refused += 1,
                AdmissionOutput::Reject { .. } => {}
                AdmissionOutput::LookUp { user, urgent } => {
                    let look_up = Input::LookUp { user, urgent };
                    self.core.handle(now, look_up, &mut self.outputs);
                }
            }
        }
    }

    /// Schedules the directory's answer to a search after `SEARCH_TIME`. It finds all users that the search names.
    fn search(&mut self, now: Time, search: SearchId, query: Query) {
        let users = match query {
            Query::Users(users) => users,
            _ => Vec::new(),
        };
        self.load.count_search(now, users.len() as u64);
        self.searches += 1;
        let answer = SearchResponse {
            entries: users.into_iter().map(entry_of).collect(),
            change_number: Some(1),
            base_exists: true,
            newest_modify_timestamp: None,
        };
        let time = AnswerTime {
            at: now + SEARCH_TIME,
            number: self.searches,
        };
        self.answers.insert(time, PendingAnswer { search, answer });
    }
}

fn directory_settings() -> DirectorySettings {
    DirectorySettings {
        lifetimes: Lifetimes {
            fresh: FRESH_TIME,
            max_stale: MAX_STALE,
            negative: NEGATIVE_TIME,
        },
        daily_peak: Some(DailyPeak {
            starts_at_ms: (PEAK_START / MILLISECOND) as i64,
            lead_ms: PEAK_LEAD_MS,
        }),
        ..DirectorySettings::default()
    }
}

fn admission_settings() -> AdmissionSettings {
    AdmissionSettings {
        quotas: QuotaSettings {
            tenants: vec![TenantQuota::default(); TENANTS],
            class_weights: vec![1.0],
            limit: LimitRange {
                min: UNREACHED_LIMIT,
                max: UNREACHED_LIMIT,
            },
            max_queue_wait: 0,
        },
        max_identity_wait: MAX_IDENTITY_WAIT,
        max_waiting: MAX_WAITING,
    }
}

/// A user's entry in the directory.
fn entry_of(user: User) -> DirectoryEntry {
    let number: usize = user.trim_start_matches("caregiver").parse().unwrap_or(0);
    let dn = user_dn(&user_name(number), &tenant_base(number % TENANTS));
    DirectoryEntry {
        user,
        dn,
        person: PersonId(number as u64 + 1),
    }
}
