//! The reference implementation of the decision module: the same decisions, written as simply as
//! possible.
//!
//! Tests give the same events to the module and to the reference and compare the actions; other
//! tests and benchmarks compare the costs. The reference has one file for each decision, most of
//! them named like the module's. It has no index: each decision examines every worker. It shares no
//! code with the module's sources, only the types of `pipithub_policy::api` and the counter of
//! `pipithub_policy::work`. An intended change of a decision must be made here too.
//!
//! `front_end` shows which decision each event leads to. A request goes through `requests`,
//! `routing`, `preference` and `replay`; the end of an attempt goes through `attempts`, `estimates`
//! and `outlier`. "The paper" is the one that `src/front_end.rs` names.

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
