//! Fleet-wide load of endpoints: each sidecar reports its requests in flight and the outcomes of completed ones to the
//! primary, and receives the totals over the fleet in response.
//!
//! Totals are a hint for load balancing, and correctness does not depend on them: they may be late, or missing while
//! there is no primary, and they are not replicated. Failures of an endpoint count only if a quorum of reporters has
//! observed some, since a single sidecar may itself be partitioned from the endpoint.

mod endpoint_outcomes;
mod messages;
mod totals;

pub use messages::LoadMessage;
pub use totals::LoadTotals;
