//! Deadline-fit admission for a front end that sends calls to workers which load programs on demand.
//!
//! Each front end admits a request at the first worker in a shared hash order whose replayed queue of
//! its own sends, counting any load, still meets every deadline; else it refuses the request unsent.
//!
//! [`api`] holds the plain types that go in and out, [`decide`] the state machine that decides.
//!
//! ```
//! use pipithub_policy::api::{Action, Entry, Event, Function, ListKind, Request, Settings, State, Worker};
//! use pipithub_policy::decide::FrontEnd;
//!
//! let mut front = FrontEnd::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let worker = Entry { worker: Worker::new("10.0.0.1:80"), state: State::Live, ..Entry::default() };
//! front.handle(0, Event::List { kind: ListKind::Complete, entries: vec![worker] }, &mut actions);
//! let call = Request { id: 1, function: Function(42), budget: Some(2_000_000_000), ..Request::default() };
//! front.handle(1_000_000, Event::Arrived(call), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, .. })));
//! ```

pub mod api;
pub mod decide;
mod state;
mod tier;
pub mod work;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
