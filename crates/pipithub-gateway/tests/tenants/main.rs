//! Tenants on loopback sockets: broker, workers and directory servers, with moves, faults and stale replicas. What counts
//! is what the workers saw.

mod changes;
mod identity;
mod random_days;
mod rig;
mod snapshots;
