//! The load-balancing sidecar as an HTTP/1.1 proxy: a single-threaded event loop over non-blocking sockets.

mod admin;
mod body_reader;
mod body_relay;
mod buffer_pool;
mod client_connection;
mod connections;
mod discovery_client;
mod http;
mod listener;
mod log;
mod pool;
mod receive_buffer;
mod sidecar;
mod timer_wheel;

pub use sidecar::Sidecar;
