//! The real program as a process, with nodes, discovery and callers round it, all on loopback.

mod caller;
mod discovery;
pub mod fleet;
mod message;
mod process_state;
mod relay;
mod server;

pub use caller::{request, Caller};
pub use discovery::{node_entry, Discovery};
pub use message::Message;
pub use process_state::is_connecting;
pub use relay::{config, config_file, free_address, settings, Relay};
pub use server::{full_listener, response, serve_connections, Reply, Server};

use std::thread;
use std::time::{Duration, Instant};

/// Generous: a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for a condition.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < PATIENCE, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
