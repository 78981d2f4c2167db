//! The decision module of passrelay and the dispatcher between it and a protocol: no sockets, no files, no clock.
//!
//! Each copy of the balancer turns the load reports of its upstreams into load factors and spreads
//! requests over these by smooth weighted round robin. [`Balancer`] is a state machine without I/O:
//! the caller hands it events with its own clock and carries out the actions it gets back.
//!
//! ```
//! use passrelay_load_balancing::{Action, Balancer, ClassId, Condition, Entry, Event};
//! use passrelay_load_balancing::{RequestId, Settings, UpstreamId, ZoneId};
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0.0)?;
//! let mut actions = Vec::new();
//! let entry = Entry {
//!     upstream: UpstreamId(1),
//!     zone: ZoneId(0),
//!     cell: 0,
//!     condition: Condition::On,
//!     started: None,
//! };
//! balancer.handle(0.0, Event::FullList(vec![entry]), &mut actions);
//! let request = Event::Request {
//!     id: RequestId(42),
//!     class: ClassId(0),
//!     tenant: None,
//!     ttl: 2.0,
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
pub mod turns;

pub use api::{
    Action, Class, ClassId, Condition, DedupScope, Effect, Ending, Entry, Event, Outcome, Report, RequestId,
    Settings, SettingsError, Tenant, TenantId, UpstreamId, ZoneId,
};
pub use state::Balancer;
