//! Outages of discovery together with drains, restarts and faulty workers, with real `pipithub node` processes on
//! loopback.
//!
//! A [`Plan`] states the processes, the load and each step with its time; [`Plan::draw`] draws one from a seed. [`run()`]
//! emulates the coordinator, the workers and the clients, executes the steps, and records what each of them saw.
//! [`check()`] checks these records alone against the rules of request handling and the platform's time limits.

mod checks;
mod client;
mod discovery;
mod draw;
mod history;
mod listener;
mod node;
mod plan;
mod run;
mod worker;

pub use checks::{Breach, Rule, Verdict, check};
pub use history::{
    AnswerKind, CallRecord, ClientEnd, EndpointChange, Execution, History, Instant, ListRequest,
    NodeEvent, NodeRecord, OutageRecord, ReceivedWork, WorkKind, WorkerStart,
};
pub use plan::{EndpointState, OutageKind, Plan, Rates, Settings, Step, TimedStep};
pub use run::run;
