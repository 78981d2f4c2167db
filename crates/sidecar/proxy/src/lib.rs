//! The sidecar on real sockets: one thread, one loop, HTTP/1.1.

mod admin;
mod body_relay;
mod buffer_pool;
mod client_connection;
mod connections;
mod discovery_client;
mod http;
mod listener;
mod log;
mod pool;
mod sidecar;
mod timer_wheel;

pub use sidecar::Sidecar;
