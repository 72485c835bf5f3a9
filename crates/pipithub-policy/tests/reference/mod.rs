//! The reference of the decision module: every decision written out without an index, as tests and benchmarks
//! compare the module with it.
//!
//! It shares no code with the module's sources, only the types of `pipithub_policy::api`. Whoever changes a
//! decision on purpose changes it here too and says so.

mod counting_map;
mod decide;
mod state;

pub(super) use decide::FrontEnd;
