//! A process of the router fleet: provides executor, sockets, clock, signals, storage, settings and logging for
//! the logic in the other crates. The only router crate that performs I/O.
//!
//! Modules by layer, lowest layer first; a module uses only modules of the same or an earlier row:
//!
//! | modules | responsibility |
//! |---|---|
//! | `clock`, `logging`, `tasks`, `settings`, `memory`, `responses` | utilities used by all other modules |
//! | `stored_body`, `inbound_connections` | what clients and peers make the process hold |
//! | `transport`, `storage`, `listener`, `http_connection`, `response_validator`, `upstream`, `resources` | sockets and disk |
//! | `configuration_snapshot`, `quota_client`, `load_reporter`, `interrupted_responses`, `malformed_responses`, `data_plane` | state used to route requests |
//! | `freshness`, `graceful_shutdown`, `readiness` | decide whether requests may be forwarded |
//! | `operator_calls`, `endpoint_announcements`, `endpoint_persistence` | calls, announcements and writes pending at the coordinator |
//! | `coordinator_driver`, `endpoint_registration` | pass events to the coordinator and apply its actions |
//! | `request_context`, `request`, `client_listener` | serving client requests |
//! | `control_api`, `signals`, `background_tasks` | all other event sources |
//! | `process` | composition and startup |
//!
//! `control_client` is the client side of `control_api`, used by the command line.

mod background_tasks;
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
mod http_connection;
mod inbound_connections;
mod interrupted_responses;
mod listener;
mod load_reporter;
mod logging;
mod malformed_responses;
mod memory;
mod operator_calls;
mod peer_persistence;
mod process;
mod quota_client;
mod readiness;
mod repeats;
mod request;
mod request_context;
mod resources;
mod response_validator;
mod responses;
mod settings;
mod signals;
mod storage;
mod stored_body;
mod tasks;
mod transport;
mod upstream;

pub use process::{run, NodeError};
pub use settings::{NodeSettings, SettingsError};
