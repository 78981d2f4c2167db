//! One process of the router fleet: executor, sockets, clock, signals, disk, settings and logs around the deciders
//! of the other crates. The only crate of the fleet with I/O loops.

mod client_connections;
mod client_listener;
mod control_api;
pub mod control_client;
mod graceful_shutdown;
mod listener;
mod process;
mod request;
mod responses;
mod settings;
mod signals;
mod storage;
mod transport;
mod upstream;

pub use process::{run, NodeError};
pub use settings::{NodeSettings, SettingsError};
