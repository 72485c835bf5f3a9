//! Hollow front ends for scale tests, named after the hollow nodes with which Kubernetes is tested at scale. Each runs
//! the core, the list reader and the settings of `pipithub node` unchanged, without clients and without connections to
//! workers. Many of them run in one process.
//!
//! A coordinator receives the same requests from a hollow front end as from a real one, and the core has the same state
//! after the same events; a test of this crate compares both. Hollow front ends do not model the sockets of clients and
//! workers, the memory of a process, or the cost to the operating system of that many processes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipithub_clock::{Clock, Time, wall_ns};
use pipithub_node::coordinator::{self, StreamUpdate};
use pipithub_node::core::Core;
use pipithub_node::effect::Effect;
use pipithub_platform::config::NodeConfig;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// A hollow front end. Its tasks are aborted when it is dropped.
pub struct HollowFrontEnd {
    inner: Rc<Inner>,
    /// The sender of the coordinator's address. It is held because the task that follows the coordinator ends when the
    /// sender is dropped.
    _coordinator: watch::Sender<String>,
    tasks: [JoinHandle<()>; 2],
}

struct Inner {
    core: RefCell<Core>,
    clock: Clock,
    last_event: Cell<u64>,
    applied_events: Cell<u64>,
    requested_effects: Cell<u64>,
    /// When the running timer expires; `Time::MAX` if no timer is running.
    timer_due: Cell<Time>,
    /// Wakes the timer task when the core is due earlier than the running timer expires.
    timer_changed: Notify,
    on_event: Box<dyn Fn(u64)>,
}

impl HollowFrontEnd {
    /// Starts a front end with this configuration. `on_event` is called with the index of each endpoint event once the
    /// core has applied the event. Must be called within a [`tokio::task::LocalSet`].
    pub fn start(config: &NodeConfig, on_event: impl Fn(u64) + 'static) -> Self {
        let clock = Clock::unix();
        let last = config.known_updates.last().map_or(0, |e| e.index);
        let inner = Rc::new(Inner {
            core: RefCell::new(Core::new(clock.now(), config)),
            clock,
            last_event: Cell::new(last),
            applied_events: Cell::new(0),
            requested_effects: Cell::new(0),
            timer_due: Cell::new(Time::MAX),
            timer_changed: Notify::new(),
            on_event: Box::new(on_event),
        });
        let (coordinator, followed) = watch::channel(config.coordinator.clone());
        let applied_to = inner.clone();
        let names = config.site.names.clone();
        inner.update_core(Core::follow_coordinator);
        let follow = coordinator::follow(followed, last, names, config.seed, move |update| {
            applied_to.update_core(|core, now| core.apply_stream_update(now, wall_ns(), &update));
            let StreamUpdate::Event(event) = update else {
                return;
            };
            applied_to.last_event.set(event.index);
            let applied_events = &applied_to.applied_events;
            applied_events.set(applied_events.get() + 1);
            (applied_to.on_event)(event.index);
        });
        let tasks = [
            tokio::task::spawn_local(follow),
            tokio::task::spawn_local(inner.clone().run_timer()),
        ];
        HollowFrontEnd {
            inner,
            _coordinator: coordinator,
            tasks,
        }
    }

    /// The index of the last endpoint event that the core has applied; 0 if it has none.
    pub fn last_event(&self) -> u64 {
        self.inner.last_event.get()
    }

    /// The number of endpoint events that the core has applied since the start.
    pub fn applied_events(&self) -> u64 {
        self.inner.applied_events.get()
    }

    /// The number of effects that the core has requested. They are not carried out here, so a hollow front end is a valid
    /// model of a real one only as long as this is 0.
    pub fn requested_effects(&self) -> u64 {
        self.inner.requested_effects.get()
    }

    /// The complete state of the core, as its `Debug` text.
    pub fn core_state(&self) -> String {
        format!("{:?}", self.inner.core.borrow())
    }
}

impl Drop for HollowFrontEnd {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Inner {
    /// Calls the core, and counts the effects that the core requests instead of carrying them out. Each requested
    /// connection to a worker fails at once, so that nothing waits for the connection.
    fn update_core(&self, update: impl FnOnce(&mut Core, Time)) {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        update(&mut core, now);
        loop {
            let effects = core.take_effects();
            if effects.is_empty() {
                break;
            }
            let requested_effects = &self.requested_effects;
            requested_effects.set(requested_effects.get() + effects.len() as u64);
            for effect in effects {
                if let Effect::Connect { connection, .. } = effect {
                    core.worker_failed(now, connection, true);
                }
            }
        }
        if core.next_due() < self.timer_due.get() {
            self.timer_changed.notify_one();
        }
    }

    /// Calls [`Core::tick`] whenever it is due, as the shell of a real front end does.
    async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.core.borrow().next_due();
            self.timer_due.set(due);
            tokio::select! {
                () = self.clock.sleep_until(Some(due)) => {}
                () = self.timer_changed.notified() => continue,
            }
            self.timer_due.set(Time::MAX);
            self.update_core(Core::tick);
        }
    }
}
