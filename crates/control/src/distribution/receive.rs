//! Validation of received deltas and snapshots.

use celerygate_types::wire::{Configuration, ConfigurationDelta, ConfigurationSnapshot};
use celerygate_types::{Revision, Term};

use crate::state;

/// Digest that a daemon states in its polls to request a snapshot.
pub const DIGEST_UNKNOWN: u64 = 0;

/// Result of receiving a delta or a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceiveOutcome {
    /// The update is valid and leads to this configuration.
    Applied(Box<Configuration>),
    /// The update leads to the revision that is already applied.
    AlreadyApplied,
    /// The delta does not start at the local revision, which is given here; the next poll requests
    /// the missing commands.
    OtherBase(Revision),
    /// The resulting revision or digest differs from the sender's; the next polls state
    /// `DIGEST_UNKNOWN`.
    DigestDiffers,
    /// The update has an older term or an older revision.
    Older,
}

/// Applies a delta to a copy of the configuration. The delta must start exactly at the local
/// revision.
///
/// The copy ensures that requests never see a configuration whose digest has not been verified.
pub fn receive_delta(
    configuration: &Configuration,
    latest_term: Term,
    delta: &ConfigurationDelta,
) -> ReceiveOutcome {
    let local_revision = configuration.revision;
    if delta.term < latest_term || delta.to_revision < local_revision {
        return ReceiveOutcome::Older;
    }
    if delta.to_revision == local_revision {
        return ReceiveOutcome::AlreadyApplied;
    }
    if delta.from_revision != local_revision {
        return ReceiveOutcome::OtherBase(local_revision);
    }
    let mut next = configuration.clone();
    for command in &delta.commands {
        state::apply(&mut next, command);
    }
    if next.revision != delta.to_revision || state::digest(&next) != delta.digest {
        return ReceiveOutcome::DigestDiffers;
    }
    ReceiveOutcome::Applied(Box::new(next))
}

/// Checks a snapshot. A snapshot of the local revision replaces a configuration with another
/// digest.
pub fn receive_snapshot(
    configuration: &Configuration,
    latest_term: Term,
    snapshot: ConfigurationSnapshot,
) -> ReceiveOutcome {
    let offered = &snapshot.configuration;
    if snapshot.term < latest_term || offered.revision < configuration.revision {
        return ReceiveOutcome::Older;
    }
    let same_revision = offered.revision == configuration.revision;
    if same_revision && state::digest(offered) == state::digest(configuration) {
        return ReceiveOutcome::AlreadyApplied;
    }
    ReceiveOutcome::Applied(Box::new(snapshot.configuration))
}
