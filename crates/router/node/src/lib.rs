//! One process of the router fleet: executor, sockets, clock, signals, storage, settings and logs around the
//! decisions of the other crates. The only crate of the fleet with I/O.
//!
//! Who owns what, from the bottom up; a module uses only those above it in this list:
//!
//! | modules | job |
//! |---|---|
//! | `clock`, `logging`, `tasks`, `settings`, `responses` | what all others use |
//! | `transport`, `storage`, `listener`, `upstream`, `client_connections` | sockets and disk |
//! | `configuration_snapshot`, `quota_client`, `load_reporter`, `data_plane` | state that requests are routed by |
//! | `freshness`, `graceful_shutdown`, `readiness` | whether requests may be forwarded |
//! | `operator_calls`, `endpoint_announcements`, `endpoint_persistence` | what is pending at the coordinator |
//! | `coordinator_driver`, `endpoint_registration` | events to the coordinator, its actions to all of the above |
//! | `request_context`, `request`, `client_listener` | the path of clients' requests |
//! | `control_api`, `signals`, `background_tasks` | all other events |
//! | `process` | composition and start-up |
//!
//! `control_client` is the operators' side of `control_api`, for the command line.

mod background_tasks;
mod client_connections;
mod client_listener;
mod clock;
mod configuration_snapshot;
mod control_api;
pub mod control_client;
mod coordinator_driver;
mod data_plane;
mod denials;
mod endpoint_announcements;
mod endpoint_persistence;
mod endpoint_registration;
mod freshness;
mod graceful_shutdown;
mod held_back_versions;
mod listener;
mod load_reporter;
mod logging;
mod operator_calls;
mod peer_persistence;
mod process;
mod quota_client;
mod readiness;
mod request;
mod request_context;
mod responses;
mod settings;
mod signals;
mod storage;
mod tasks;
mod transport;
mod upstream;

pub use process::{run, NodeError};
pub use settings::{NodeSettings, SettingsError};
