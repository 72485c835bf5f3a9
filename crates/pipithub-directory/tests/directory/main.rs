//! The directory by itself: followed directories, refreshes ahead of peaks, bounds, snapshots, pending look-ups.

mod bounds;
mod daily_peak;
mod pending_lookups;
mod snapshots;
mod support;
mod synchronization;
