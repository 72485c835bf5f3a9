//! The SWIM failure detector: its configuration, the calls to it, and the handling of its notifications.

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

/// Largest message of the engine, in bytes. With the envelope, a datagram fits into the usual MTU of 1,500 bytes.
const MAX_PACKET_BYTES: usize = 1_300;
/// Number of members that are asked for indirect probes (SWIM's `k`), and that each round of gossip goes to.
const FANOUT: usize = 3;
/// Number of messages that each update is piggybacked on.
const MAX_TRANSMISSIONS: u8 = 10;
/// Probe periods between two announcements to a random member, which answers with members that it knows.
const ANNOUNCE_PERIODS: u32 = 30;
/// Probe periods between two announcements to members that are down, by which the halves of a cluster find each other
/// after a network partition.
const ANNOUNCE_TO_DOWN_PERIODS: u32 = 10;
/// Number of down members to which each of these announcements goes.
const ANNOUNCED_DOWN_MEMBERS: usize = 2;
/// Number of gossip rounds in a probe period.
const GOSSIP_ROUNDS_PER_PERIOD: u32 = 4;

pub(super) type Engine = Foca<Identity, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// A message that the engine asks to send.
struct EngineMessage {
    to: SocketAddr,
    data: Vec<u8>,
}

/// A timer that the engine asks to set.
struct EngineTimer {
    after: Time,
    timer: foca::Timer<Identity>,
}

/// The effects that the engine requested in one call.
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
            // Multiplied by `suspicion_factor` when the timer is set.
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

    /// Calls the engine, applies its effects and copies the changes of its members into the member table.
    pub(super) fn drive_engine<T>(
        &mut self,
        out: &mut Vec<Output>,
        call: impl FnOnce(&mut Engine, &mut EngineEffects) -> Result<T, foca::Error>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let mut effects = EngineEffects::default();
        // An error means that the message cannot be decoded or comes from this process itself; it is ignored in both
        // cases.
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

    /// The delay after which a timer of the engine fires. Suspicions last longer in a large cluster, because gossip
    /// spreads in logarithmic time. Probes last longer while the local health score is above 0; suspicions do not,
    /// because the first failed probe of a dead member would already double them.
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
                // All other members are dead, or this process is partitioned from them: it sends join requests
                // until a member answers.
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
        // A process that this one admitted before its own name was confirmed may have made it a member, without knowing
        // earlier runs of that name. So this process takes part, but continues to send join requests.
        if !self.name_confirmed {
            self.needs_confirmation = true;
        }
        self.name_confirmed = true;
        if !self.needs_confirmation {
            self.cancel_join_requests();
        }
        self.set_join_state(JoinState::Joined, out);
    }

    /// Other members declared this process dead, and the engine continues under a renewed identity.
    fn on_rejoin(&mut self, identity: Identity, out: &mut Vec<Output>) {
        self.identity = identity;
        self.health.declared_dead();
        // The engine is idle until a member answers it, but the members that it knew may all have been restarted.
        // Without join requests, a run that was stalled meanwhile would stay alone forever. Another run of its name
        // may also have a higher rank, which no renewal exceeds.
        self.needs_confirmation = true;
        self.set_join_state(JoinState::Alone, out);
        self.restart_join_requests();
    }
}
