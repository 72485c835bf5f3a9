//! Deadline-fit admission for a front end that sends calls to workers which load programs on demand.
//!
//! Each front end admits a request at the first worker in a shared hash order whose replayed queue of
//! its own sends, counting any load, still meets every deadline; else it refuses the request unsent.
//!
//! [`api`] holds the plain types that go in and out, [`FrontEnd`] is the state machine that decides.
//!
//! ```
//! use pipithub_policy::api::{
//!     Action, Endpoint, EndpointState, EndpointUpdate, Event, FunctionId, Request, Settings, WorkerId,
//! };
//! use pipithub_policy::FrontEnd;
//!
//! let mut front = FrontEnd::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let worker = WorkerId::new("10.0.0.1:80");
//! let endpoint = Endpoint { worker, state: EndpointState::Ready, ..Endpoint::default() };
//! let list = Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: vec![endpoint] };
//! front.handle(0, list, &mut actions);
//! let timeout = Some(2_000_000_000);
//! let request = Request { id: 1, function: FunctionId(42), timeout, ..Request::default() };
//! front.handle(1_000_000, Event::Arrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Forward { request: 1, .. })));
//! ```

pub mod api;
mod attempts;
mod endpoints;
mod estimates;
mod front_end;
mod function_loading;
mod hashing;
mod load_reports;
mod maintenance;
mod outlier;
mod preference;
mod rebalancing;
mod replay;
mod requests;
mod routing;
mod slow_start;
mod state;
mod statistics;
pub mod work;
mod worker_pool;

pub use front_end::FrontEnd;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
