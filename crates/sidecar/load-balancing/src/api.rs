//! The interface of the decision module: settings, events, actions and the ids they use.
//!
//! Times are seconds on the caller's own clock, which only moves forward; spans are seconds too. What the values mean
//! on a wire is up to the caller.

mod events;
mod ids;
mod settings;

pub use events::{Action, Ending, EndpointEntry, EndpointState, Event, LoadReport, Outcome};
pub use ids::{ClassId, RequestId, TenantId, UpstreamId, ZoneId};
pub use settings::{Class, DedupScope, Idempotency, Settings, SettingsError, Tenant};
