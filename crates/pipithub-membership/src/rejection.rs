//! Rate limit on the events about rejected datagrams.

use crate::{MS, Time};

/// Shortest time between two reports, so that datagrams of another protocol cannot flood the log.
const REPORT_INTERVAL: Time = 1_000 * MS;

/// Counts the rejected datagrams between two reports.
#[derive(Debug, Default)]
pub(crate) struct RejectionCounter {
    next_report: Time,
    count: u64,
}

impl RejectionCounter {
    /// Counts a rejected datagram. Returns the number since the last report if the next report is due.
    pub(crate) fn record(&mut self, now: Time) -> Option<u64> {
        self.count += 1;
        if now < self.next_report {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        Some(std::mem::take(&mut self.count))
    }
}
