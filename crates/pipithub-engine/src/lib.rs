//! One front end without I/O.
//!
//! The [`Engine`] owns the front end of the decision module. It takes triggers, results of attempts, endpoint lists and
//! the time as [`Input`]s, and returns attempts, load commands, polls and final answers as [`Output`]s. It uses no
//! socket, clock, thread or protocol: a source of triggers is identified by a number, and each trigger carries a ticket
//! that only its source interprets. Equal inputs give equal outputs, so that sockets, an emulator and a replay can
//! drive the same engine.
//!
//! The engine handles what the decision module does not see: redelivered triggers ([`redelivery`]), exactly one final
//! answer for each ticket, and the limits on the number and size of pending requests.

mod call;
mod decide;
mod engine;
mod function_names;
mod input;
mod output;
mod owners;
mod pending;
mod ready_workers;
pub mod redelivery;
mod reply;
mod settings;
mod stats;
mod timers;

pub use call::{AttemptId, Call, MessageIdentity, SourceId, Tenant, Ticket, Trigger, function_id};
pub use decide::Decide;
pub use engine::Engine;
pub use input::{AttemptResult, Input, LoadCommandResult, LoadPollResult, TenantUser};
pub use output::Output;
pub use owners::{Owner, Owners};
pub use pipithub_policy::api as policy;
pub use pipithub_policy::api::Time;
pub use reply::{Cause, Reply, Served, Verdict};
pub use settings::EngineSettings;
pub use stats::Stats;
