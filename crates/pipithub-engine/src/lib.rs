//! One front end without I/O.
//!
//! The [`Engine`] owns the decision module's front end. Triggers, worker outcomes, worker lists and the time go in as
//! [`Input`]s; sends, orders, probes and final answers come out as [`Output`]s. It knows no socket, clock or thread
//! and no protocol: a source of triggers is a number, and each trigger carries a ticket that its source understands.
//! Equal inputs give equal outputs, so sockets, an emulator and a replay can drive the same engine.
//!
//! What the module does not see is kept here: which trigger came again ([`redelivery`]), that each ticket gets exactly one
//! final answer, and how much may be held at a time.

mod engine;
mod model;
mod owners;
pub mod redelivery;
mod timers;

pub use engine::{Decide, Engine, EngineSettings, Stats};
pub use model::{
    AttemptId, AttemptResult, Call, Cause, Input, LoadCommandResult, LoadPollResult, Output, Reply,
    Served, SourceId, Tenant, TenantUser, Ticket, Trigger, Verdict, function_id,
};
pub use owners::{Owner, Owners};
pub use pipithub_policy::api as policy;
pub use pipithub_policy::api::Time;
