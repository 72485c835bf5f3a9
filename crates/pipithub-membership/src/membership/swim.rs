//! The SWIM failure detector: its configuration, its calls, and what its notifications change.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Message, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Membership;
use crate::Time;
use crate::envelope::Envelope;
use crate::event::Output;
use crate::identity::Identity;
use crate::timers::Timer;
use crate::view::JoinState;

/// Datagrams stay below what any usual path carries unfragmented; the envelope takes a part of it.
const MAX_PACKET_BYTES: usize = 1_300;
/// Members that probe on behalf of another (SWIM's `k`), and members that each round of gossip goes to.
const FANOUT: usize = 3;
/// How often one update is piggybacked on messages.
const MAX_TRANSMISSIONS: u8 = 10;
/// Probe periods between two announcements to a random member.
const ANNOUNCE_PERIODS: u32 = 30;
/// Probe periods between two announcements to members that are down, and how many of them are tried: that is how the
/// halves of a split cluster find each other again.
const ANNOUNCE_TO_DOWN_PERIODS: u32 = 10;
const ANNOUNCED_DOWN_MEMBERS: usize = 2;
/// Rounds of gossip in a probe period.
const GOSSIP_ROUNDS_PER_PERIOD: u32 = 4;

pub(super) type Engine = Foca<Identity, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// A message that the engine wants sent.
struct EngineMessage {
    to: SocketAddr,
    data: Vec<u8>,
}

/// A timer that the engine wants set.
struct EngineTimer {
    after: Time,
    timer: foca::Timer<Identity>,
}

/// What the engine wants done after one call.
#[derive(Default)]
pub(super) struct EngineEffects {
    messages: Vec<EngineMessage>,
    timers: Vec<EngineTimer>,
    notifications: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for EngineEffects {
    fn notify(&mut self, notification: foca::Notification<'_, Identity>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.messages.push(EngineMessage {
            to: to.address,
            data: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: foca::Timer<Identity>, after: Duration) {
        let after = after.as_nanos() as Time;
        self.timers.push(EngineTimer { after, timer });
    }
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

fn periodic(frequency: Duration, members: usize) -> PeriodicParams {
    PeriodicParams {
        frequency,
        num_members: non_zero(members),
    }
}

impl Membership {
    /// Starts a new engine under the current identity, in place of any former one.
    pub(super) fn build_engine(&mut self) {
        let rng = SmallRng::seed_from_u64(self.rng.random());
        self.cancel_engine_timers();
        self.last_checksum = None;
        let config = self.engine_config();
        self.engine = Some(Foca::new(self.identity.clone(), config, rng, PostcardCodec));
    }

    fn engine_config(&self) -> foca::Config {
        let period = Duration::from_nanos(self.settings.probe_period);
        foca::Config {
            probe_period: period,
            probe_rtt: Duration::from_nanos(self.settings.probe_timeout),
            num_indirect_probes: non_zero(FANOUT),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            // Extended by the size of the cluster where the timer is set.
            suspect_to_down_after: period * self.settings.suspicion_multiplier,
            remove_down_after: Some(Duration::from_nanos(self.settings.dead_retention)),
            max_packet_size: non_zero(MAX_PACKET_BYTES),
            notify_down_members: true,
            periodic_announce: Some(periodic(period * ANNOUNCE_PERIODS, 1)),
            periodic_announce_to_down_members: Some(periodic(
                period * ANNOUNCE_TO_DOWN_PERIODS,
                ANNOUNCED_DOWN_MEMBERS,
            )),
            periodic_gossip: Some(periodic(period / GOSSIP_ROUNDS_PER_PERIOD, FANOUT)),
        }
    }

    /// Stops the failure detector.
    pub(super) fn drop_engine(&mut self) {
        self.engine = None;
        self.cancel_engine_timers();
    }

    fn cancel_engine_timers(&mut self) {
        self.timers.cancel(|timer| matches!(timer, Timer::Swim(_)));
    }

    /// Calls the engine, applies its effects and takes over the changes of its members.
    pub(super) fn drive_engine<T>(
        &mut self,
        out: &mut Vec<Output>,
        call: impl FnOnce(&mut Engine, &mut EngineEffects) -> Result<T, foca::Error>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut effects = EngineEffects::default();
        // An error means an unusable message or one of this process itself; both are ignored.
        let _ = call(engine, &mut effects);
        self.apply_effects(effects, out);
        self.reconcile_members(out);
    }

    pub(super) fn apply_effects(&mut self, effects: EngineEffects, out: &mut Vec<Output>) {
        for EngineMessage { to, data } in effects.messages {
            if let Some(bytes) = Envelope::Swim(data).encode(self.cluster_tag) {
                out.push(Output::Send { to, bytes });
            }
        }
        for notification in effects.notifications {
            self.on_notification(notification, out);
        }
        for EngineTimer { after, timer } in effects.timers {
            let delay = self.adjusted_delay(after, &timer);
            let due = self.now.saturating_add(delay);
            self.timers.schedule(due, Timer::Swim(timer));
        }
    }

    /// Suspicion lasts longer in a large cluster, because gossip spreads in logarithmic time. Probes last longer while
    /// the local health is bad. Suspicion does not: the first probe of a dead member fails too, and would double it.
    fn adjusted_delay(&self, after: Time, timer: &foca::Timer<Identity>) -> Time {
        match timer {
            foca::Timer::ChangeSuspectToDown { .. } => {
                (after as f64 * self.suspicion_factor()) as Time
            }
            foca::Timer::ProbeRandomMember(_) | foca::Timer::SendIndirectProbe { .. } => {
                self.health.scaled(after)
            }
            _ => after,
        }
    }

    fn suspicion_factor(&self) -> f64 {
        let cluster_size = self.table.active_count() as f64 + 1.0;
        cluster_size.log10().max(1.0)
    }

    fn on_notification(
        &mut self,
        notification: OwnedNotification<Identity>,
        out: &mut Vec<Output>,
    ) {
        match notification {
            OwnedNotification::DataReceived(header) => self.on_message_received(&header),
            OwnedNotification::ProbeFailed(..) => self.health.probe_failed(),
            OwnedNotification::Active => self.on_active(out),
            OwnedNotification::Idle => {
                // Either all others are gone or this process is cut off: it asks until a member answers.
                self.set_join_state(JoinState::Alone, out);
                self.restart_join_requests();
            }
            OwnedNotification::Rejoin(identity) => self.on_rejoin(identity, out),
            OwnedNotification::Defunct => {
                self.drop_engine();
                self.name_confirmed = false;
                self.set_join_state(JoinState::Alone, out);
                self.restart_join_requests();
            }
            _ => {}
        }
    }

    fn on_message_received(&mut self, header: &foca::Header<Identity>) {
        self.table.record_heard(&header.src, self.now);
        if matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. }
        ) {
            self.health.probe_answered();
        }
    }

    fn on_active(&mut self, out: &mut Vec<Output>) {
        // A process that it admitted made it a member, and may know as little as itself: it takes part, and keeps asking.
        if !self.name_confirmed {
            self.needs_confirmation = true;
        }
        self.name_confirmed = true;
        if !self.needs_confirmation {
            self.cancel_join_requests();
        }
        self.set_join_state(JoinState::Joined, out);
    }

    /// Others declared this process dead, and the engine came back under a renewed identity.
    fn on_rejoin(&mut self, identity: Identity, out: &mut Vec<Output>) {
        self.identity = identity;
        self.health.declared_dead();
        // The engine is idle until a member answers it, and the members that it knew may be gone: without asking elsewhere,
        // a run that was stalled during the others' restarts would stay alone for ever. Another run of its name may also
        // count as the later one, against which no renewal helps.
        self.needs_confirmation = true;
        self.set_join_state(JoinState::Alone, out);
        self.restart_join_requests();
    }
}
