//! Digest of a configuration.

use celerygate_types::RegionId;
use std::io::BufWriter;

use celerygate_types::Revision;
use celerygate_types::wire::{
    ClientBlock, Configuration, DrainSubject, IntentRecord, Link, Member, Organisation, Route,
    Service,
};
use serde::Serialize;

/// The parts of a configuration that are the same wherever its revision is the same.
#[derive(Serialize)]
struct DigestView<'a> {
    client_blocks: &'a [ClientBlock],
    drains: &'a [DrainSubject],
    intents: Vec<&'a IntentRecord>,
    links: &'a [Link],
    members: &'a [Member],
    organisations: &'a [Organisation],
    regions: &'a [RegionId],
    revision: Revision,
    routes: &'a [Route],
    services: &'a [Service],
}

/// Returns a hash of the configuration's encoding that is the same on every VM and in every run.
///
/// Intents without a confirm are left out: they do not raise the revision, so a daemon may have
/// received more or fewer of them than another one at the same revision.
pub fn digest(configuration: &Configuration) -> u64 {
    let confirmed = |record: &&IntentRecord| record.confirmed_revision.is_some();
    let view = DigestView {
        client_blocks: &configuration.client_blocks,
        drains: &configuration.drains,
        intents: configuration.intents.iter().filter(confirmed).collect(),
        links: &configuration.links,
        members: &configuration.members,
        organisations: &configuration.organisations,
        regions: &configuration.regions,
        revision: configuration.revision,
        routes: &configuration.routes,
        services: &configuration.services,
    };
    // Neither the hasher nor the encoding of these types fails.
    let encoded = postcard::to_io(&view, BufWriter::new(blake3::Hasher::new()));
    let hasher = encoded.ok().and_then(|writer| writer.into_inner().ok());
    hasher.map_or(0, |hasher| u64::from_le_bytes(first_8(hasher.finalize().as_bytes())))
}

fn first_8(bytes: &[u8; 32]) -> [u8; 8] {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    first
}
