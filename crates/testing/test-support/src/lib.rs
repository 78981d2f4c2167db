//! Runs the program as a process on loopback, together with test nodes, a discovery service and callers.

mod caller;
mod discovery;
pub mod fleet;
mod message;
mod process_state;
mod relay;
pub mod resource_usage;
mod server;

pub use caller::{request, Caller};
pub use discovery::{node_entry, Discovery};
pub use message::Message;
pub use process_state::is_connecting;
pub use relay::{config, config_file, free_address, settings, Relay};
pub use server::{full_listener, response, serve_connections, Reply, Server};

use std::thread;
use std::time::{Duration, Instant};

/// Time after which a wait or a read fails the test; generous, so that a slow machine does not cause failures.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds. `what` completes the sentence "waiting until ..." in the failure message.
///
/// # Panics
///
/// Panics if the condition does not hold within 20 s.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out after {WAIT_TIMEOUT:?} waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
