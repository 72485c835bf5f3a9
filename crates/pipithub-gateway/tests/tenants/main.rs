//! Tests of tenants on loopback sockets, with a broker, a worker and directory servers, and with migrations, faults and
//! stale replicas. They check which calls the worker has received.

mod identity;
mod keys;
mod migrations;
mod random_migrations;
mod rig;
mod snapshots;
