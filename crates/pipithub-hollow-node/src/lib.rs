//! Hollow front ends, as the hollow nodes in scale tests of cluster managers: the core, the list reader and the settings
//! of `pipithub node` as they are, without clients and without connections to workers, many in one process.
//!
//! What a coordinator sees of one is what it sees of a real front end, and its core holds what a real one's holds after
//! the same events; a test of this crate compares both. What it does not show: sockets of clients and workers, the
//! process's own memory, and what the system spends on as many processes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipithub_clock::{Clock, Time, wall_ns};
use pipithub_node::coordinator;
use pipithub_node::core::Core;
use pipithub_node::effect::Effect;
use pipithub_platform::config::NodeConfig;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// One hollow front end; it ends when dropped.
pub struct Hollow {
    inner: Rc<Inner>,
    /// The coordinator's address; the list reader ends with it.
    _coordinator: watch::Sender<String>,
    tasks: [JoinHandle<()>; 2],
}

struct Inner {
    core: RefCell<Core>,
    clock: Clock,
    last: Cell<u64>,
    events: Cell<u64>,
    wanted: Cell<u64>,
    /// When the timer is set to go off, and how to set it anew.
    armed: Cell<Time>,
    rearm: Notify,
    taken: Box<dyn Fn(u64)>,
}

impl Hollow {
    /// Starts one by this configuration; `taken` is told the number of each list event once the core has it. Must be
    /// called within a [`tokio::task::LocalSet`].
    pub fn start(config: &NodeConfig, taken: impl Fn(u64) + 'static) -> Self {
        let clock = Clock::unix();
        let last = config.known_updates.last().map_or(0, |e| e.index);
        let inner = Rc::new(Inner {
            core: RefCell::new(Core::new(clock.now(), config)),
            clock,
            last: Cell::new(last),
            events: Cell::new(0),
            wanted: Cell::new(0),
            armed: Cell::new(Time::MAX),
            rearm: Notify::new(),
            taken: Box::new(taken),
        });
        let (coordinator, followed) = watch::channel(config.coordinator.clone());
        let told = inner.clone();
        let names = config.site.names.clone();
        let follow = coordinator::follow(followed, last, names, config.seed, move |event| {
            told.with(|core, now| core.update_endpoints_at(now, wall_ns(), &event));
            told.last.set(event.index);
            told.events.set(told.events.get() + 1);
            (told.taken)(event.index);
        });
        let tasks = [
            tokio::task::spawn_local(follow),
            tokio::task::spawn_local(inner.clone().time()),
        ];
        Hollow {
            inner,
            _coordinator: coordinator,
            tasks,
        }
    }

    /// The number of the last list event that the core has.
    pub fn last(&self) -> u64 {
        self.inner.last.get()
    }

    /// List events that were taken since the start.
    pub fn events(&self) -> u64 {
        self.inner.events.get()
    }

    /// What the core wanted done on connections, which nobody does here: 0 as long as it is a fair stand-in.
    pub fn wanted(&self) -> u64 {
        self.inner.wanted.get()
    }

    /// The core's whole state, as its `Debug` text.
    pub fn show(&self) -> String {
        format!("{:?}", self.inner.core.borrow())
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Inner {
    /// Lets the core take something in. A connection that it wants to a worker fails at once, so that nothing waits for it.
    fn with(&self, act: impl FnOnce(&mut Core, Time)) {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        act(&mut core, now);
        loop {
            let effects = core.take_effects();
            if effects.is_empty() {
                break;
            }
            self.wanted.set(self.wanted.get() + effects.len() as u64);
            for effect in effects {
                if let Effect::Connect { connection, .. } = effect {
                    core.worker_failed(now, connection, true);
                }
            }
        }
        if core.next_due() < self.armed.get() {
            self.rearm.notify_one();
        }
    }

    /// Tells the core that time has passed, as the real shell does.
    async fn time(self: Rc<Self>) {
        loop {
            let due = self.core.borrow().next_due();
            self.armed.set(due);
            tokio::select! {
                () = self.clock.sleep_until(Some(due)) => {}
                () = self.rearm.notified() => continue,
            }
            self.armed.set(Time::MAX);
            self.with(pipithub_node::core::Core::tick);
        }
    }
}
