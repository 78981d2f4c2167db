//! The interface of the balancer: settings, events, actions and the ids they use.
//!
//! Times are seconds on the caller's clock, which only moves forward; durations are seconds too. How values are
//! represented on a wire is up to the caller.

mod events;
mod ids;
mod settings;

pub use events::{Action, Ending, EndpointEntry, EndpointState, Event, LoadReport, Outcome};
pub use ids::{ClassId, RequestId, TenantId, UpstreamId, ZoneId};
pub use settings::{Class, DedupScope, Idempotency, Settings, SettingsError, Tenant};
