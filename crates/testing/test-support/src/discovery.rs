//! The discovery service that a sidecar queries for its nodes.

use crate::{response, Server};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Returns the entry of a node in the node list.
pub fn node_entry(host: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// A discovery service. It returns its current node list, and answers a watch when the list changes or the watch times out.
pub struct Discovery {
    /// The underlying HTTP server, which records the requests.
    pub server: Server,
    list: Arc<Mutex<Value>>,
}

impl Discovery {
    /// Starts a discovery service with these entries.
    pub fn start(entries: Vec<Value>) -> Discovery {
        let list = Arc::new(Mutex::new(json!({"seq": 1, "whole": true, "hosts": entries})));
        let shared_list = list.clone();
        let server = Server::start(move |message| {
            let value = |name| message.start_line.split(name).nth(1).and_then(|s| s.split(['&', ' ']).next());
            let since = value("since=");
            let wait = value("timeout_ms=")
                .and_then(|ms| ms.parse().ok())
                .map_or(Duration::ZERO, Duration::from_millis);
            let current = || shared_list.lock().unwrap()["seq"].to_string();
            let started_at = Instant::now();
            while since.is_some_and(|s| s == current()) && started_at.elapsed() < wait {
                thread::sleep(Duration::from_millis(5));
            }
            let body = shared_list.lock().unwrap().to_string();
            response(200, "", body.as_bytes())
        });
        Discovery { server, list }
    }

    /// Replaces the node list and increments its sequence number.
    pub fn set_nodes(&self, entries: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        let seq = list["seq"].as_u64().unwrap() + 1;
        *list = json!({"seq": seq, "whole": true, "hosts": entries});
    }
}
