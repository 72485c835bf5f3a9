//! The decision module as it stood before its look-ups were indexed: the plain reference of tests and bench.
//!
//! `decide.rs` and `state.rs` are copies of the module's files of then; only the paths of what they import and
//! the type of the map of workers differ. They stay as they are: whoever changes a decision on purpose
//! changes it here too and says so.

mod counted;
pub(super) mod decide;
mod state;
