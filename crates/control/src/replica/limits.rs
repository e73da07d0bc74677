//! Time-outs and limits of the consensus protocol.

use std::time::Duration;

/// Shortest time without contact from a leader after which a voter starts an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(1_000);
/// Longest such time; the random spread makes it unlikely that two voters start elections at once.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(2_000);
/// Shortest delay between an election that elected no leader and the next one. A voter whose log is
/// behind cannot win, and a voter that can win should not wait long after a failed election.
pub const ELECTION_RETRY_MIN: Duration = Duration::from_millis(400);
/// Longest delay between an election that elected no leader and the next one.
pub const ELECTION_RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Interval between two replication rounds of the leader; a fifth of the shortest election timeout,
/// so that four lost rounds cause no election.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after contact from a leader, and after a start, during which a voter refuses votes.
pub const VOTE_REFUSAL_PERIOD: Duration = Duration::from_millis(1_000);
/// Duration of the leader lease. 200 ms below [`VOTE_REFUSAL_PERIOD`], which covers clocks that
/// differ in rate by 10% and the delay between reading the clock and acting.
pub const LEASE_DURATION: Duration = Duration::from_millis(800);
/// Time without replies from a quorum after which a leader steps down, so that a leader that can
/// send but not receive does not prevent an election.
pub const QUORUM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which an unacknowledged snapshot is sent again.
pub const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Longest part of the silence before an election that counts as silence of the earlier leader. The
/// second that is left of the time after which a voter is replaced is enough for a first reply.
pub const SILENCE_BEFORE_ELECTION_MAX: Duration = Duration::from_millis(1_500);
/// Time after its last reply during which a member counts as reachable.
pub const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rejections by one member in a round that the leader answers with an immediate append request.
/// Without a limit, a network that duplicates messages multiplies requests and rejections until the
/// logs match.
pub const RESENDS_PER_ROUND_MAX: u32 = 8;
/// Entries before a snapshot that stay in memory, so that a member that restarts after missing
/// hundreds of changes receives entries instead of the whole configuration.
pub const RETAINED_ENTRIES: u64 = 1_000;
/// Maximum number of entries in one append request.
pub const APPEND_ENTRIES_MAX: usize = 64;
/// Size of the entries of an append request above which no further entry is added; a frame
/// between daemons holds 1 MiB.
pub const APPEND_BYTES_MAX: usize = 256 * 1024;
