//! An emulated worker that loads models on demand: the core decides without I/O, [`WorkerServer`] serves it on a socket.

mod core;
mod inference;
mod server;
mod settings;

pub use server::WorkerServer;
pub use settings::WorkerSettings;
