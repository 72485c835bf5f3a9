//! Counts the workers that decisions examine, in builds with the feature `count`; other builds count
//! nothing.
//!
//! The count shows on any machine how the cost of a decision grows with the number of workers, which
//! measured time would not.

#[cfg(feature = "count")]
thread_local! {
    static EXAMINED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Adds to the number of workers examined on this thread.
#[inline]
#[cfg(feature = "count")]
pub fn record_examined(workers: u64) {
    EXAMINED.with(|n| n.set(n.get() + workers));
}

/// Does nothing, as this build does not count.
#[inline]
#[cfg(not(feature = "count"))]
pub fn record_examined(_: u64) {}

/// Returns the number of workers examined on this thread since the last call, and resets it; always 0
/// in builds that do not count.
pub fn take_examined() -> u64 {
    #[cfg(feature = "count")]
    return EXAMINED.with(|n| n.replace(0));
    #[cfg(not(feature = "count"))]
    0
}
