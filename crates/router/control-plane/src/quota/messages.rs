//! Messages between sidecars and the grantor, and between grantors.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Hashed after a name; no byte of UTF-8 has this value.
const NAME_TERMINATOR: u8 = 0xff;

/// Identifies a tenant in messages: SipHash-1-3 of its name, with a zero key and a terminating byte. The algorithm is
/// implemented explicitly instead of through the standard library's default hasher, so that processes of all builds
/// agree on it. The values equal those sent by earlier builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// Returns the key of the tenant with this name.
    pub fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        hasher.write_u8(NAME_TERMINATOR);
        TenantKey(hasher.finish())
    }
}

/// A number of tokens of one tenant. Serialised as a two-element array: key, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TenantKey, u64)", into = "(TenantKey, u64)")]
pub struct TenantTokens {
    /// Key of the tenant's name.
    pub tenant: TenantKey,
    /// Number of tokens requested or spent, depending on the message field.
    pub tokens: u64,
}

impl From<(TenantKey, u64)> for TenantTokens {
    fn from((tenant, tokens): (TenantKey, u64)) -> Self {
        TenantTokens { tenant, tokens }
    }
}

impl From<TenantTokens> for (TenantKey, u64) {
    fn from(tokens: TenantTokens) -> Self {
        (tokens.tenant, tokens.tokens)
    }
}

/// Level of one tenant's bucket. Serialised as a two-element array: key, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TenantKey, i64)", into = "(TenantKey, i64)")]
pub struct TenantLevel {
    /// Key of the tenant's name.
    pub tenant: TenantKey,
    /// Tokens in the bucket, rounded towards zero; negative if the bucket is in debt.
    pub tokens: i64,
}

impl From<(TenantKey, i64)> for TenantLevel {
    fn from((tenant, tokens): (TenantKey, i64)) -> Self {
        TenantLevel { tenant, tokens }
    }
}

impl From<TenantLevel> for (TenantKey, i64) {
    fn from(level: TenantLevel) -> Self {
        (level.tenant, level.tokens)
    }
}

/// A message of the quota protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// A sidecar requests tokens.
    #[serde(rename = "Want")]
    Request {
        /// Identifies the request at the sidecar; the grant repeats it.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Tokens requested, by tenant.
        wanted: Vec<TenantTokens>,
        /// Tokens spent from the reserve, by tenant, and not yet acknowledged by a grant. They are charged to the
        /// buckets.
        overdrawn: Vec<TenantTokens>,
    },
    /// The grantor responds to a request, with fewer tokens than requested, or none, if the bucket is low.
    Grant {
        /// Id of the request.
        #[serde(rename = "nonce")]
        request_id: u64,
        /// Term of the grantor.
        term: u64,
        /// Grants in the order of the request; unknown and unlimited tenants are omitted.
        granted: Vec<TenantGrant>,
    },
    /// The grantor reports its bucket levels to the other members, which are its potential successors.
    Levels(BucketLevels),
}

/// Bucket levels of a grantor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// Term of the grantor.
    pub term: u64,
    /// Levels of the buckets that are not nearly full; omitted buckets are nearly full.
    pub tokens: Vec<TenantLevel>,
}

/// A sidecar's grant from one tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// Key of the tenant's name.
    pub tenant: TenantKey,
    /// Tokens granted; at most the number requested.
    pub tokens: u64,
    /// Additional tokens that may be spent while no grantor responds.
    pub reserve: u64,
}
