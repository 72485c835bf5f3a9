//! Tests of the directory core: followed directories, refreshes ahead of peaks, limits, snapshots, pending look-ups.

mod bounds;
mod daily_peak;
mod pending_lookups;
mod snapshots;
mod support;
mod synchronization;
