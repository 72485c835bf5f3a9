//! Deadline-fit admission for a front end that sends requests to workers which load functions on
//! demand.
//!
//! All front ends consider the workers for a function in the same hash order. A front end sends a
//! request to the first worker at which a replay of its own attempts in flight shows that every
//! deadline is still met, including the time of a load. If there is none, it rejects the request
//! without sending it.
//!
//! [`api`] holds the input and output types, and [`FrontEnd`] is the state machine that decides.
//! Each decision has a private module of its own, with the constants that limit it.
//!
//! ```
//! use pipithub_policy::FrontEnd;
//! use pipithub_policy::api::{
//!     Action, Endpoint, EndpointUpdate, Event, FunctionId, Request, RequestId, Settings, WorkerId,
//! };
//!
//! let mut front_end = FrontEnd::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let worker = Endpoint { worker: WorkerId::new("10.0.0.1:80"), ..Endpoint::default() };
//! let update = Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: vec![worker] };
//! front_end.handle(0, update, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     function: FunctionId(42),
//!     timeout: Some(2_000_000_000),
//!     ..Request::default()
//! };
//! front_end.handle(1_000_000, Event::Arrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Forward { request: RequestId(1), .. })));
//! ```

pub mod api;
pub mod work;

mod attempt;
mod concurrency_limit;
mod ejection;
mod endpoint_list_lease;
mod estimates;
mod front_end;
mod hashing;
mod load_limiter;
mod load_polls;
mod load_reports;
mod outlier;
mod pending_request;
mod rebalancer;
mod replicas;
mod responses;
mod service_lease;
mod slow_start;
mod slowdown;
mod speculation;
mod statistics;
mod time;
mod timer;
mod waiting_requests;
mod worker;
mod worker_table;
mod zone_ejection;

pub use front_end::FrontEnd;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
