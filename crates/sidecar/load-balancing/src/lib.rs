//! The load balancing policy of a sidecar, and the dispatcher between the policy and a protocol implementation. This
//! crate uses no sockets, no files and no clock.
//!
//! Each balancer instance converts the load reports of its upstreams into load factors and distributes requests by
//! smooth weighted round robin. [`Balancer`] is a state machine without I/O: the caller passes it events together with
//! the time of its own clock, and carries out the actions that it returns. Parsing, settings files and timers are up to
//! the caller.
//!
//! ```
//! use passrelay_load_balancing::{Action, Balancer, ClassId, EndpointEntry, EndpointState, Event};
//! use passrelay_load_balancing::{RequestId, Settings, UpstreamId, ZoneId};
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0.0)?;
//! let mut actions = Vec::new();
//! let entry = EndpointEntry {
//!     upstream: UpstreamId(1),
//!     zone: ZoneId(0),
//!     cell: 0,
//!     state: EndpointState::Running,
//!     started: None,
//! };
//! balancer.handle(0.0, Event::EndpointList(vec![entry]), &mut actions);
//! let request = Event::Request {
//!     id: RequestId(42),
//!     class: ClassId(0),
//!     tenant: None,
//!     client_timeout: 2.0,
//!     work_hint: None,
//!     repeat: false,
//! };
//! balancer.handle(0.1, request, &mut actions);
//! assert!(matches!(actions[..], [Action::Send { upstream: UpstreamId(1), .. }]));
//! # Ok::<(), passrelay_load_balancing::SettingsError>(())
//! ```
pub mod admission;
mod api;
pub mod dispatcher;
mod estimate;
pub mod lifecycle;
mod policy;
mod state;
pub mod weighted_round_robin;

pub use api::{
    Action, Class, ClassId, DedupScope, Ending, EndpointEntry, EndpointState, Event, Idempotency, LoadReport,
    Outcome, RequestId, Settings, SettingsError, Tenant, TenantId, UpstreamId, ZoneId,
};
pub use state::Balancer;
