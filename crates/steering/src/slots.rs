//! Permits per target, leased to VMs so that all VMs together stay within its slots.
//!
//! A holder has at most one request in flight and accepts no other reply, so a request states all
//! permits that its holder can use, apart from those in the reply to this same request. The owner
//! replaces its count by what a request states; a lost, late, duplicated or reordered message
//! cannot free a permit twice. A message with sequence 0 is a notice: it asks the holder to give
//! permits back, or to ask again because permits are free, and never adds any. An award without a
//! request would save the round trip after a notice, but it is void once the holder has sent its
//! next request: with 20 ms round trips and 100 requests per second most were lost that way.
//!
//! The permits that VMs hold never exceed the slots, and a request only starts under a permit that
//! is held. More requests than slots run at a target only in these transients, each of which lasts
//! until enough of the requests have ended:
//!
//! - a request still runs on a VM that has had no reply of the owner for [`HOLDER_LEASE`]; its
//!   permit is given out again after [`OWNER_LEASE`];
//! - a request still runs on a VM from before the target announced fewer slots;
//! - a process has died, and the target has not yet noticed its closed connections.

mod goals;
mod holder;
mod owner;

use std::time::Duration;

use celerygate_types::{ServiceId, TargetId};

pub use holder::{SlotHolder, SlotUsage};
pub use owner::{SlotIgnoreReason, SlotMessage, SlotOwner, SlotResponse};

/// A target of a service.
pub type SlotTarget = (ServiceId, TargetId);

/// Time after which a holder starts nothing more under its permits, counted from the sending of
/// the last request that was answered.
pub const HOLDER_LEASE: Duration = Duration::from_millis(1_000);

/// Time after which an owner stops counting permits, counted from its last reply. The 200 ms above
/// [`HOLDER_LEASE`] cover a holder's clock that runs 10% slower than the owner's.
pub const OWNER_LEASE: Duration = Duration::from_millis(1_200);

/// Time after its last use for which a permit is kept.
pub const IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Interval between requests that only renew the lease: three within one lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which an unmet want is asked for again, in case the owner's notice was lost.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two requests of a holder. In the replay, 5 ms need about 40% fewer requests
/// than 2 ms; the 99th percentile of the wait is up to 40 ms longer.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a holder without a reply asks again.
pub const RESEND_AFTER: Duration = Duration::from_millis(100);

/// Sequence of a notice; requests start at 1.
const NOTICE: u64 = 0;

#[cfg(test)]
#[path = "slots/fuzz_tests.rs"]
mod fuzz_tests;
#[cfg(test)]
#[path = "slots/protocol_tests.rs"]
mod protocol_tests;
