//! Fleet-wide rate and burst: tokens leased by an owner to holders.
//!
//! A holder has at most one request in flight and discards a reply to any other request. A request
//! therefore states everything that its holder can still use, apart from the reply to this same
//! request: the owner replaces what it has recorded by what the request states, and a lost, late,
//! duplicated or reordered message cannot free a token twice.
//!
//! Rates are measured on the owner's clock; clock rates may differ by up to 10%.

mod holder;
mod owner;

use std::time::Duration;

use celerygate_types::{RequestCount, RequestRate};

pub use holder::{Admission, GrantHolder, TokenNeed};
pub use owner::{GrantAnswer, GrantIgnored, GrantOwner};

/// Time after which a holder stops using a grant, counted from the sending of its request.
pub const HOLDER_EXPIRY: Duration = Duration::from_millis(1_000);

/// Time after which an owner stops counting a grant. The 200 ms above [`HOLDER_EXPIRY`] cover a
/// holder's clock that runs 10% slower than the owner's.
pub const OWNER_EXPIRY: Duration = Duration::from_millis(1_200);

/// Shortest time between two requests of a holder.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a holder without a reply asks again. Well above the longest round trip of 20
/// ms, because the reply to the earlier request is lost to the holder from then on.
pub const RESEND_AFTER: Duration = Duration::from_millis(250);

/// The rate and burst of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Tokens that the bucket gains per second.
    pub rate: RequestRate,
    /// Largest sum of the bucket's level and the tokens outstanding.
    pub burst: RequestCount,
}

impl Limit {
    /// Returns the largest number of tokens that one VM may hold: a quarter of the burst, and at
    /// least one token so that a small burst can be used at all.
    pub fn per_vm(self) -> RequestCount {
        RequestCount((self.burst.get() / 4).max(1).min(self.burst.get()))
    }
}

#[cfg(test)]
#[path = "grants/fuzz_tests.rs"]
mod fuzz_tests;
#[cfg(test)]
#[path = "grants/network_tests.rs"]
pub(crate) mod network_tests;
#[cfg(test)]
#[path = "grants/protocol_tests.rs"]
mod protocol_tests;
