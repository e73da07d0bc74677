//! Times and sizes of the agreement.

use std::time::Duration;

/// Shortest time without a leader after which a voter stands for election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(1_000);
/// Longest such time; the spread makes it unlikely that two voters stand at once.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(2_000);
/// Shortest time after an election that brought no leader before the next one. A voter whose log is
/// behind cannot win, and the one that can should not wait long after it.
pub const ELECTION_RETRY_MIN: Duration = Duration::from_millis(400);
/// Longest such time.
pub const ELECTION_RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time between two rounds of the leader; a fifth of the shortest election timeout, so that four
/// lost rounds cause no election.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after hearing a leader, and after a start, during which a voter refuses votes.
pub const VOTE_REFUSAL_PERIOD: Duration = Duration::from_millis(1_000);
/// Duration of the leader lease. 200 ms below [`VOTE_REFUSAL_PERIOD`], which covers clocks that
/// differ in rate by 10% and the delay between reading the clock and acting.
pub const LEASE_DURATION: Duration = Duration::from_millis(800);
/// Time without a quorum after which a leader steps down, so that a leader that can send but not
/// receive does not prevent an election.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which a snapshot without acknowledgement is sent again.
pub const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after its last reply for which a member counts as reachable.
pub const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rejections of a member that are answered with entries at once in each round. Without a limit, a
/// network that duplicates messages multiplies requests and rejections until the logs agree.
pub const RESENDS_PER_ROUND_MAX: u32 = 8;
/// Entries that stay in memory after a snapshot, so that a member that restarts after missing
/// hundreds of changes receives entries instead of the whole configuration.
pub const RETAINED_ENTRIES: u64 = 1_000;
/// Most entries in one append request.
pub const APPEND_ENTRIES_MAX: usize = 64;
/// Size of the entries of an append request above which no further entry is added; a frame
/// between daemons holds 1 MiB.
pub const APPEND_BYTES_MAX: usize = 256 * 1024;
