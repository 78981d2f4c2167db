//! Fleet-wide rate limits of tenants: the primary grants tokens, and sidecars spend them.
//!
//! A limit applies to the fleet as a whole, but consulting a central counter before each request would cost a round
//! trip and make requests fail with the counter. Instead, the primary keeps one token bucket per tenant and grants
//! tokens in advance; sidecars spend grants locally.
//!
//! The overshoot is bounded as follows:
//! - A grant expires [`GRANT_LIFETIME`] after the sidecar requested it, so tokens of a lost sidecar are not spent
//!   later.
//! - A grantor grants only while a quorum has confirmed it recently, and a new grantor first waits for that time to
//!   pass, so two grantors never grant at the same time.
//! - A new grantor resumes from the bucket levels that its predecessor reported to the members; without them, its
//!   buckets start nearly empty.
//! - While no grantor responds, sidecars spend a reserve that came with their last grant. All reserves together amount
//!   to the quota of a short time, and tokens spent from them are charged to the bucket afterwards.
//!
//! The data plane decides how a sidecar distributes its grants over requests.

mod grantor;
mod messages;
mod token_bucket;

pub use grantor::{Grantor, QuotaBounds, ReportedLevels, GRANT_LIFETIME};
pub use messages::{BucketLevels, QuotaMessage, TenantGrant, TenantKey, TenantLevel, TenantTokens};
