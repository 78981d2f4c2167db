//! Digests of the registry: one hash per bucket, so that two sidecars can find differing endpoints without sending all records.
//!
//! Hashes are compared between processes, so the hasher, the hashed fields and their order must not change.

use super::record::{EndpointRecord, EndpointState};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of buckets into which the registry is divided. Each is compared and reconciled separately.
const BUCKETS: usize = 16;

/// One hash for each bucket of the registry.
pub type RegistryDigest = [u32; BUCKETS];

/// Returns the bucket of the endpoint with the given id.
pub(crate) fn bucket_of(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    (hasher.finish() as usize) % BUCKETS
}

/// Returns the digest of a set of records, which does not depend on their order. Removed endpoints are excluded.
pub(super) fn digest_of<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> RegistryDigest {
    let mut digest = [0; BUCKETS];
    for record in records.filter(|record| record.state != EndpointState::Removed) {
        let mut hasher = DefaultHasher::new();
        (&record.id, record.sequence, record.state).hash(&mut hasher);
        digest[bucket_of(&record.id)] ^= hasher.finish() as u32;
    }
    digest
}
