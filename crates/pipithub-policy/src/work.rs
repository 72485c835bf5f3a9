//! Counts the workers looked at, in builds with the feature `count`; elsewhere nothing is counted.
//!
//! Counted work shows how a decision grows with the number of workers on any machine, where time
//! would not.

#[cfg(feature = "count")]
thread_local! {
    static LOOKED: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Counts workers that were looked at.
#[inline]
#[cfg(feature = "count")]
pub fn looked(workers: u64) {
    LOOKED.with(|n| n.set(n.get() + workers));
}

/// Notes nothing in a build that does not count.
#[inline]
#[cfg(not(feature = "count"))]
pub fn looked(_: u64) {}

/// How many were looked at on this thread since this was asked last; 0 in builds that do not count.
pub fn taken() -> u64 {
    #[cfg(feature = "count")]
    return LOOKED.with(|n| n.replace(0));
    #[cfg(not(feature = "count"))]
    0
}
