//! Settings of an engine.

use std::sync::Arc;

use pipithub_policy::api::{Settings, Time};

use crate::owners::Owners;

const MILLISECOND: Time = 1_000_000;
const MEBIBYTE: usize = 1 << 20;

/// The settings of an engine, which do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// The settings of the decision module.
    pub policy: Settings,
    /// The maximum number of pending requests, including those whose answer is not settled yet.
    pub max_pending: usize,
    /// The maximum size of all bodies in memory, of calls and of answers, in bytes.
    pub max_body_bytes: usize,
    /// How long before the client's timeout the final answer is given, so that it arrives in time, in nanoseconds.
    pub answer_margin: Time,
    /// A message with more earlier deliveries than this fails, because it may be the cause of crashes of front ends.
    pub max_deliveries: u32,
    /// The maximum number of functions whose names are kept for load and evict commands.
    pub max_function_names: usize,
    /// The owners of functions.
    pub owners: Arc<Owners>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            policy: Settings::default(),
            max_pending: 4_096,
            max_body_bytes: 256 * MEBIBYTE,
            answer_margin: 5 * MILLISECOND,
            max_deliveries: 20,
            max_function_names: 16_384,
            owners: Arc::default(),
        }
    }
}
