//! Load of endpoints over all sidecars: each sidecar reports its requests in flight and their outcomes to the primary,
//! and gets the totals over the fleet back.
//!
//! Totals are a hint for load balancing and nothing depends on them for correctness: they may be late, or missing while
//! there is no primary, and they are not replicated. Failures of an endpoint count only if a quorum of reporters has
//! seen some: a single sidecar may itself be partitioned from the endpoint.

mod endpoint_outcomes;
mod messages;
mod totals;

pub use messages::LoadMessage;
pub use totals::LoadTotals;
