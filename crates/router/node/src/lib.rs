//! One process of the router fleet: executor, sockets, clock, signals, disk, settings and logs around the deciders
//! of the other crates. The only crate of the fleet with I/O loops.

mod answers;
mod client_connections;
mod control_api;
mod front;
mod listener;
mod node;
pub mod operator;
mod planned_end;
mod proxy;
mod relay_body;
mod settings;
mod signals;
mod storage;
mod transport;
mod upstream;

pub use node::{run, NodeError};
pub use settings::{NodeSettings, SettingsError};
