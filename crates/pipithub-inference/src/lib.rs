//! Requests to workers and their replies over HTTP/1.1, without I/O.
//!
//! Requests follow the Open Inference Protocol (V2), load commands its model repository extension, load reports the ORCA
//! header `endpoint-load-metrics`. The headers of this project's own are listed in [`header`]. [`attempt_reply`] is where a reply
//! becomes an outcome of the decision module; it never claims that a request did not run unless the worker said so.

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
