//! Digests of the registry: one hash a bucket, so that two sidecars find the endpoints in which they differ without sending all.
//!
//! Hashes are compared between processes. The hasher, the fields that are hashed and their order must not change.

use super::record::{EndpointRecord, EndpointState};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Parts of the registry that are compared and reconciled each on its own.
const BUCKETS: usize = 16;

/// One hash for each bucket of the registry.
pub type RegistryDigest = [u32; BUCKETS];

/// The bucket of an endpoint.
pub(crate) fn bucket_of(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    (hasher.finish() as usize) % BUCKETS
}

/// The digest of a set of records, independent of their order. Removed endpoints don't count.
pub(super) fn digest_of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> RegistryDigest {
    let mut digest = [0; BUCKETS];
    for record in records.filter(|record| record.state != EndpointState::Removed) {
        let mut hasher = DefaultHasher::new();
        (&record.id, record.sequence, record.state).hash(&mut hasher);
        digest[bucket_of(&record.id)] ^= hasher.finish() as u32;
    }
    digest
}
