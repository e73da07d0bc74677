//! Distributed concurrency limiting: an owner leases permits for the slots of each target to VMs,
//! so that all VMs together stay within the slots.
//!
//! A holder has at most one request in flight and accepts no reply to earlier requests. Each
//! request reports all permits that its holder can use, except those in the reply to the same
//! request. The owner overwrites its record of the holder with this report, so a lost, late,
//! duplicated or reordered message cannot free a permit twice.
//!
//! A message with sequence 0 is a notice. It asks the holder to return permits, or to send a new
//! request because permits are free, and never adds any. Awards without a request would save the
//! round trip after a notice, but an award is void once the holder has sent its next request: with
//! 20 ms round trips and 100 requests per second, most awards were lost that way.
//!
//! The permits that VMs hold never exceed the slots, and each request starts under a held permit.
//! More requests than slots run at a target only in these transient states, each of which lasts
//! until enough of the requests have ended:
//!
//! - A request still runs on a VM that has received no reply of the owner for [`HOLDER_LEASE`]. The
//!   owner leases its permit to another VM after [`OWNER_LEASE`].
//! - A request that started before the target announced fewer slots still runs.
//! - A process has terminated, and the target has not yet detected its closed connections.

mod allocation;
mod holder;
mod owner;

use std::time::Duration;

use celerygate_types::{ServiceId, TargetId};

pub use holder::{SlotHolder, SlotUsage};
pub use owner::{SlotIgnoreReason, SlotMessage, SlotOwner, SlotResponse};

/// Identifies a target of a service.
pub type SlotTarget = (ServiceId, TargetId);

/// Lifetime of a lease at the holder, counted from when the holder sent the last request that got a
/// reply. After that, no request starts under its permits.
pub const HOLDER_LEASE: Duration = Duration::from_millis(1_000);

/// Lifetime of a lease at the owner, counted from its last reply. The 200 ms above [`HOLDER_LEASE`]
/// cover a holder's clock that runs 10% slower than the owner's.
pub const OWNER_LEASE: Duration = Duration::from_millis(1_200);

/// Time after its last use at which a holder returns a permit.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of requests that only renew the lease: three within one lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a holder repeats an unmet demand, in case the owner's notice was lost.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two requests of a holder. In `admission_replay`, 5 ms need about 40%
/// fewer requests than 2 ms; the 99th percentile of the wait is up to 40 ms longer.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a holder without a reply sends a new request.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Sequence number of a notice; those of requests start at 1.
const NOTICE_SEQUENCE: u64 = 0;

#[cfg(test)]
#[path = "slots/fuzz_tests.rs"]
mod fuzz_tests;
#[cfg(test)]
#[path = "slots/protocol_tests.rs"]
mod protocol_tests;
