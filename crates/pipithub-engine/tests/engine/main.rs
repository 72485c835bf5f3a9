//! The engine against scripted sources and workers.

mod admission;
mod answers;
mod harness;
mod redelivery;
mod tenants;
