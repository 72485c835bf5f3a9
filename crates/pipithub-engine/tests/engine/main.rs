//! Tests of the engine with scripted sources and workers.

mod admission;
mod answers;
mod harness;
mod redelivery;
mod tenants;
