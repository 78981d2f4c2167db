//! Rate limits of tenants over all sidecars: the primary grants tokens, sidecars spend them.
//!
//! A limit binds the whole fleet, but asking a central counter before each request would cost a round trip and fail with
//! it. So the primary keeps one token bucket per tenant and grants tokens in advance; sidecars spend grants locally.
//!
//! What bounds the overshoot:
//! - A grant expires [`GRANT_LIFETIME`] after the sidecar requested it, so tokens of a lost sidecar are not spent later.
//! - A grantor grants only while a quorum has confirmed it recently, and a new one first waits that time out: two
//!   never grant at the same time.
//! - A new grantor resumes from the bucket levels that its predecessor reported to the members; without them its buckets
//!   start nearly empty.
//! - While no grantor responds, sidecars spend a reserve that came with their last grant. All reserves together are the
//!   quota of a short time, and what was spent of them is charged to the bucket afterwards.
//!
//! How a sidecar divides its grants over requests is not decided here but in the data plane.

mod grantor;
mod messages;
mod token_bucket;

pub use grantor::{Grantor, QuotaBounds, ReportedLevels, GRANT_LIFETIME};
pub use messages::{BucketLevels, QuotaMessage, TenantGrant, TenantKey, TenantLevel, TenantTokens};
