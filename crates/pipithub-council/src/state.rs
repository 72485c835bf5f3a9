//! The agreed state and how each entry of the log changes it. Every voter computes the same from the same log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Time;

/// Bounds of the state; what does not fit is answered as such, by every voter alike.
const MAX_CLIENTS: usize = 10_000;
const MAX_LEASES: usize = 100_000;
/// No lease is longer: whoever dies keeps others waiting for so long.
const MAX_LEASE_DURATION: Time = 600_000_000_000;

/// What is asked of the council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A new epoch for a front end; whatever was done under an earlier one of this name is fenced off.
    NewEpoch,
    /// A lease, or more time on it.
    AcquireLease {
        /// Which.
        lease: String,
        /// Under which epoch of the asking front end.
        epoch: u64,
        /// For how long, from when the log takes it in.
        duration: Time,
    },
    /// A lease is given back before its time.
    ReleaseLease {
        /// Which.
        lease: String,
        /// Under which epoch.
        epoch: u64,
    },
    /// The version of the settings that the fleet is to use; it only grows.
    SetSettings {
        /// Its number.
        version: u64,
        /// What the file's text sums to.
        digest: u64,
    },
    /// Time passes: leaders say so now and then, or leases would only end when somebody asks.
    AdvanceClock,
}

/// A command with who asks it. The number grows with each new command of a run, so a repeat is known as one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The front end.
    pub client: String,
    /// Its run.
    pub boot_id: u64,
    /// Counts its commands.
    pub sequence: u64,
    /// What it asks.
    pub command: Command,
}

/// A command as the log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedRequest {
    /// The log's time, as its leader stamped it.
    pub at: Time,
    /// The command.
    pub request: Request,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The epoch that the front end acts under from now on.
    Epoch(u64),
    /// The lease is the asker's for the time it asked, counted from when it asked.
    Granted,
    /// It is another's, for so long at the most.
    HeldByOther {
        /// Whose.
        holder: String,
        /// How long.
        remaining: Time,
    },
    /// The epoch is over: the name has a later one.
    Fenced {
        /// That one.
        epoch: u64,
    },
    /// It is done.
    Done,
    /// The settings stand at this version, which is not older.
    NotNewer {
        /// That version.
        version: u64,
    },
    /// The state holds as much as it may.
    LimitReached,
    /// A later command of this run was answered already; this one is a repeat that came too late to matter.
    Superseded,
}

/// A lease as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Whose.
    pub holder: String,
    /// Under which epoch.
    pub epoch: u64,
    /// Until when, by the log's time.
    pub expires_at: Time,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    clock: Time,
    next_epoch: u64,
    epochs: BTreeMap<String, u64>,
    leases: BTreeMap<String, Lease>,
    settings: (u64, u64),
    /// The last command of each name that was answered: run, number, answer.
    answered: BTreeMap<String, (u64, u64, Response)>,
}

impl State {
    /// The log's time.
    pub fn clock(&self) -> Time {
        self.clock
    }

    /// The epoch of a front end.
    pub fn epoch(&self, name: &str) -> Option<u64> {
        self.epochs.get(name).copied()
    }

    /// A lease that is not over.
    pub fn lease(&self, lease: &str) -> Option<&Lease> {
        self.leases.get(lease).filter(|l| l.expires_at > self.clock)
    }

    /// The settings' version and digest.
    pub fn settings(&self) -> (u64, u64) {
        self.settings
    }

    /// Takes in the next entry of the log.
    pub fn apply(&mut self, entry: &TimestampedRequest) -> Response {
        // A leader that was just elected may stamp less than the one before: time never goes back.
        self.clock = self.clock.max(entry.at);
        let Request {
            client: name,
            boot_id: boot,
            sequence: number,
            command,
        } = &entry.request;
        if *command == Command::AdvanceClock {
            let clock = self.clock;
            self.leases.retain(|_, l| l.expires_at > clock);
            return Response::Done;
        }
        if let Some((b, n, answer)) = self.answered.get(name)
            && b == boot
            && number <= n
        {
            return if number == n {
                answer.clone()
            } else {
                Response::Superseded
            };
        }
        if !self.answered.contains_key(name) && self.answered.len() >= MAX_CLIENTS {
            return Response::LimitReached;
        }
        let answer = self.change(name, command);
        self.answered
            .insert(name.clone(), (*boot, *number, answer.clone()));
        answer
    }

    fn change(&mut self, name: &str, command: &Command) -> Response {
        match command {
            Command::NewEpoch => {
                self.next_epoch += 1;
                self.epochs.insert(name.to_string(), self.next_epoch);
                Response::Epoch(self.next_epoch)
            }
            Command::AcquireLease {
                lease,
                epoch,
                duration,
            } => {
                if let Some(fence) = self.fence(name, *epoch) {
                    return fence;
                }
                let until = self.clock + (*duration).min(MAX_LEASE_DURATION);
                let (clock, full) = (self.clock, self.leases.len() >= MAX_LEASES);
                match self.leases.get_mut(lease) {
                    // An earlier run of the same name is another holder: it may still act.
                    Some(held)
                        if held.expires_at > clock
                            && (held.holder != *name || held.epoch != *epoch) =>
                    {
                        Response::HeldByOther {
                            holder: held.holder.clone(),
                            remaining: held.expires_at - clock,
                        }
                    }
                    None if full => Response::LimitReached,
                    held => {
                        // Own time left is never cut; another's is over.
                        let own = held.map_or(0, |h| {
                            if h.holder == *name && h.epoch == *epoch {
                                h.expires_at
                            } else {
                                0
                            }
                        });
                        let held = Lease {
                            holder: name.to_string(),
                            epoch: *epoch,
                            expires_at: until.max(own),
                        };
                        self.leases.insert(lease.clone(), held);
                        Response::Granted
                    }
                }
            }
            Command::ReleaseLease { lease, epoch } => {
                if self
                    .leases
                    .get(lease)
                    .is_some_and(|l| l.holder == name && l.epoch == *epoch)
                {
                    self.leases.remove(lease);
                }
                Response::Done
            }
            Command::SetSettings { version, digest } => {
                if *version <= self.settings.0 {
                    return Response::NotNewer {
                        version: self.settings.0,
                    };
                }
                self.settings = (*version, *digest);
                Response::Done
            }
            Command::AdvanceClock => Response::Done,
        }
    }

    fn fence(&self, name: &str, epoch: u64) -> Option<Response> {
        let now = self.epochs.get(name).copied().unwrap_or(0);
        (now != epoch).then_some(Response::Fenced { epoch: now })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(state: &mut State, at: Time, name: &str, number: u64, command: Command) -> Response {
        state.apply(&TimestampedRequest {
            at,
            request: Request {
                client: name.into(),
                boot_id: 1,
                sequence: number,
                command,
            },
        })
    }

    fn acquire(epoch: u64) -> Command {
        Command::AcquireLease {
            lease: "l".into(),
            epoch,
            duration: 10,
        }
    }

    #[test]
    fn a_lease_has_one_holder_until_it_is_over_or_given_back() {
        let mut s = State::default();
        assert_eq!(
            ask(&mut s, 1, "a", 1, Command::NewEpoch),
            Response::Epoch(1)
        );
        assert_eq!(
            ask(&mut s, 1, "b", 1, Command::NewEpoch),
            Response::Epoch(2)
        );
        assert_eq!(ask(&mut s, 5, "a", 2, acquire(1)), Response::Granted);
        assert_eq!(
            ask(&mut s, 14, "b", 2, acquire(2)),
            Response::HeldByOther {
                holder: "a".into(),
                remaining: 1
            }
        );
        assert_eq!(ask(&mut s, 15, "b", 3, acquire(2)), Response::Granted);
        assert_eq!(
            ask(&mut s, 16, "a", 3, acquire(1)),
            Response::HeldByOther {
                holder: "b".into(),
                remaining: 9
            }
        );
        ask(
            &mut s,
            16,
            "b",
            4,
            Command::ReleaseLease {
                lease: "l".into(),
                epoch: 2,
            },
        );
        assert_eq!(ask(&mut s, 16, "a", 4, acquire(1)), Response::Granted);
    }

    #[test]
    fn a_new_epoch_fences_the_old_one_but_its_lease_runs_out_by_itself() {
        let mut s = State::default();
        ask(&mut s, 1, "a", 1, Command::NewEpoch);
        ask(&mut s, 1, "a", 2, acquire(1));
        assert_eq!(
            ask(&mut s, 2, "a", 3, Command::NewEpoch),
            Response::Epoch(2)
        );
        assert_eq!(
            ask(&mut s, 3, "a", 4, acquire(1)),
            Response::Fenced { epoch: 2 }
        );
        assert_eq!(
            ask(&mut s, 3, "a", 5, acquire(2)),
            Response::HeldByOther {
                holder: "a".into(),
                remaining: 8
            }
        );
        assert_eq!(ask(&mut s, 11, "a", 6, acquire(2)), Response::Granted);
    }

    #[test]
    fn a_repeat_changes_nothing_and_gets_the_same_answer() {
        let mut s = State::default();
        assert_eq!(
            ask(&mut s, 1, "a", 1, Command::NewEpoch),
            Response::Epoch(1)
        );
        assert_eq!(
            ask(&mut s, 9, "a", 1, Command::NewEpoch),
            Response::Epoch(1)
        );
        assert_eq!(
            ask(&mut s, 9, "a", 2, Command::NewEpoch),
            Response::Epoch(2)
        );
        assert_eq!(
            ask(&mut s, 9, "a", 1, Command::NewEpoch),
            Response::Superseded
        );
    }

    #[test]
    fn time_does_not_go_back_and_versions_only_grow() {
        let mut s = State::default();
        ask(
            &mut s,
            100,
            "a",
            1,
            Command::SetSettings {
                version: 3,
                digest: 7,
            },
        );
        assert_eq!(
            ask(
                &mut s,
                50,
                "b",
                1,
                Command::SetSettings {
                    version: 3,
                    digest: 8
                }
            ),
            Response::NotNewer { version: 3 }
        );
        assert_eq!((s.clock(), s.settings()), (100, (3, 7)));
    }
}
