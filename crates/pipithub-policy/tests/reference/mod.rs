//! The reference of the decision module: what it promises, written out as simply as possible.
//!
//! Tests and benchmarks give the same events to the module and to the reference and compare the
//! actions. The reference has one file for each decision, named as the module's are, but it has no
//! index and shares no code with the module's sources, only the types of `pipithub_policy::api`:
//! each decision looks at every worker. Whoever changes a decision on purpose changes it here too.
//!
//! `front_end` tells which decision each event leads to. A request goes through `requests`,
//! `routing`, `preference` and `replay`; its end through `attempts`, `estimates` and `outlier`.

mod attempts;
mod counting_map;
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
mod service;
mod slow_start;
mod state;
mod time;

pub(super) use front_end::FrontEnd;
