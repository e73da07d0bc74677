//! Digest of a configuration.

use std::io::BufWriter;

use celerygate_types::wire::{
    Configuration, Document, DrainSubject, IntentRecord, Link, Member, Organisation, Route, Service,
};
use celerygate_types::{DataCentreId, RegionId, Revision};
use serde::Serialize;

/// The parts of a configuration that are the same wherever its revision is the same.
#[derive(Serialize)]
struct DigestView<'a> {
    blocks: BlocksHash,
    content_revision: Revision,
    document: &'a Document,
    drains: &'a [DrainSubject],
    evacuated: &'a [DataCentreId],
    intents: Vec<&'a IntentRecord>,
    links: &'a [Link],
    members: &'a [Member],
    organisations: &'a [Organisation],
    regions: &'a [RegionId],
    revision: Revision,
    routes: &'a [Route],
    services: &'a [Service],
}

/// Hash of the table of client blocks, which only the bootstrap changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BlocksHash([u8; 32]);

/// Returns the hash of the table of client blocks. At 110,000 blocks it takes most of the time of a
/// digest, so whoever computes many digests keeps it.
pub fn blocks_hash(configuration: &Configuration) -> BlocksHash {
    BlocksHash(hash_of(&configuration.client_blocks))
}

/// Returns a hash of the configuration's encoding that is the same on every VM and in every run.
///
/// Intents without a confirm are left out: they do not raise the revision, so a daemon may have
/// received more or fewer of them than another one at the same revision.
pub fn digest(configuration: &Configuration) -> u64 {
    digest_with(configuration, &blocks_hash(configuration))
}

/// Returns the digest with a known hash of the client blocks.
pub fn digest_with(configuration: &Configuration, blocks: &BlocksHash) -> u64 {
    let confirmed = |record: &&IntentRecord| record.confirmed_revision.is_some();
    let view = DigestView {
        blocks: *blocks,
        content_revision: configuration.content_revision,
        document: &configuration.document,
        drains: &configuration.drains,
        evacuated: &configuration.evacuated,
        intents: configuration.intents.iter().filter(confirmed).collect(),
        links: &configuration.links,
        members: &configuration.members,
        organisations: &configuration.organisations,
        regions: &configuration.regions,
        revision: configuration.revision,
        routes: &configuration.routes,
        services: &configuration.services,
    };
    let mut first = [0; 8];
    first.copy_from_slice(&hash_of(&view)[..8]);
    u64::from_le_bytes(first)
}

/// Hashes an encoding without keeping it.
fn hash_of(value: &impl Serialize) -> [u8; 32] {
    // Neither the hasher nor the encoding of these types fails.
    let encoded = postcard::to_io(value, BufWriter::new(blake3::Hasher::new()));
    let hasher = encoded.ok().and_then(|writer| writer.into_inner().ok()).unwrap_or_default();
    *hasher.finalize().as_bytes()
}
