//! Digest of a configuration.

use std::io::BufWriter;

use celerygate_types::wire::{
    Configuration, Document, DrainSubject, IntentRecord, Link, Member, Organisation, Route, Service,
};
use celerygate_types::{DataCentreId, RegionId, Revision};
use serde::Serialize;

/// The parts of a configuration that are equal on all VMs with the same revision.
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

/// Hash of the table of client blocks. Only the bootstrap changes this table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BlocksHash([u8; 32]);

/// Returns the hash of the table of client blocks. With 110,000 blocks it takes most of the time of
/// a digest, so callers that compute many digests should keep it.
pub fn blocks_hash(configuration: &Configuration) -> BlocksHash {
    BlocksHash(hash_of(&configuration.client_blocks))
}

/// Returns a hash of the configuration's encoding that is the same on every VM and in every
/// process.
///
/// Unconfirmed intents are not part of the hash. They do not raise the revision, so two daemons at
/// the same revision may have received different ones.
pub fn digest(configuration: &Configuration) -> u64 {
    digest_with(configuration, &blocks_hash(configuration))
}

/// Returns the digest of a configuration whose hash of the client blocks is known.
pub fn digest_with(configuration: &Configuration, blocks: &BlocksHash) -> u64 {
    let is_confirmed = |record: &&IntentRecord| record.confirmed_revision.is_some();
    let view = DigestView {
        blocks: *blocks,
        content_revision: configuration.content_revision,
        document: &configuration.document,
        drains: &configuration.drains,
        evacuated: &configuration.evacuated,
        intents: configuration.intents.iter().filter(is_confirmed).collect(),
        links: &configuration.links,
        members: &configuration.members,
        organisations: &configuration.organisations,
        regions: &configuration.regions,
        revision: configuration.revision,
        routes: &configuration.routes,
        services: &configuration.services,
    };
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash_of(&view)[..8]);
    u64::from_le_bytes(prefix)
}

/// Hashes the encoding of a value while it is written, without storing it.
fn hash_of(value: &impl Serialize) -> [u8; 32] {
    // Neither writing to the hasher nor encoding these types can fail.
    let encoded = postcard::to_io(value, BufWriter::new(blake3::Hasher::new()));
    let hasher = encoded.ok().and_then(|writer| writer.into_inner().ok()).unwrap_or_default();
    *hasher.finalize().as_bytes()
}
