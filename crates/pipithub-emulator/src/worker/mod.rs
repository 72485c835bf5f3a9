//! A stand-in for a worker that loads models on demand: [`core`] decides, [`server`] serves it.

pub mod core;
pub mod server;

pub use core::{WorkerCore, WorkerSettings};
pub use server::WorkerServer;
