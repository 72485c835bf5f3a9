//! The engine against scripted sources and workers.

mod admission;
mod answers;
mod bed;
mod redelivery;
mod tenants;
