//! What happens to a call before the decision module sees it, without I/O.
//!
//! A [`Gate`] ties a call to its user's tenant, has it wait a bounded time where nobody knows the user yet, and hands it to
//! [`Shares`], which hold each tenant to its rate and share and lend what others leave idle. The gate refuses, delays and
//! lets in; it never sends, and where a call runs is the module's matter alone.

mod gate;
mod shares;

pub use gate::{Admitted, Arrival, Gate, GateSettings, Output, Why};
pub use shares::{End, Held, Shares, SharesSettings, Start, TenantShare};

/// Nanoseconds on the caller's clock.
pub type Time = u64;
