//! Requests to workers and their replies over HTTP/1.1, without I/O.
//!
//! Requests follow the Open Inference Protocol (V2), load commands follow its model repository extension, and load
//! reports come in the ORCA header `endpoint-load-metrics`. [`header`] lists the headers. [`attempt_reply`] turns a
//! reply into an outcome of the decision module. It reports that a request did not run only if the worker states so,
//! by a header or by the status 429.

mod escape;
pub mod header;
pub mod orca;
mod reply;
mod request;

pub use escape::unescape;
pub use reply::{
    AttemptReply, IndexEntry, LoadCommandReply, attempt_reply, load_command_reply,
    parse_load_report,
};
pub use request::{DeadlineReached, WorkerRequest, infer, load_command, load_poll};
