//! Tests of the directory core: followed directories, refreshes ahead of peaks, the limit on cached users, snapshots and
//! pending look-ups.

mod bounds;
mod daily_peak;
mod pending_lookups;
mod snapshots;
mod support;
mod synchronization;
