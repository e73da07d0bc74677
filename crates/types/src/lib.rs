//! Core types of celerygate: ids, sizes, rates, the clock, and the types generated from `schema/`.

pub mod bounded;
pub mod clock;
pub mod generated;
pub mod ids;
pub mod measurements;
mod number;
pub mod sizes;

pub use bounded::{RangeError, TimeSpan, TimeSpanError, check_range};
pub use clock::{Clock, ManualClock};
pub use generated::result_codes::{Outcome, ResultCode};
pub use generated::wire;
pub use ids::{
    DataCentreId, IdError, Incarnation, IntentId, KeyHash, KeyId, LogIndex, OrganisationId,
    RegionId, RequestId, Revision, ServiceId, TargetId, Term, VmId,
};
pub use measurements::{LinkUsage, Measurements, RegionLoad, ServiceRegionLoad, TargetCapacity};
pub use number::NumberError;
pub use sizes::{ByteCount, ByteRate, RequestCount, RequestRate, SharePpm, SlotCount};
