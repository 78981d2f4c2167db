//! Discovery, as the sidecar in service knows it.

use crate::{response, Server};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A line of the node list.
pub fn node_entry(host: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// Discovery: tells the list it holds, and holds watches until that changes or their time is up.
pub struct Discovery {
    /// The server behind it.
    pub server: Server,
    list: Arc<Mutex<Value>>,
}

impl Discovery {
    /// Discovery that tells these lines.
    pub fn start(lines: Vec<Value>) -> Discovery {
        let list = Arc::new(Mutex::new(json!({"seq": 1, "whole": true, "hosts": lines})));
        let held = list.clone();
        let server = Server::start(move |message| {
            let value = |name| message.start_line.split(name).nth(1).and_then(|s| s.split(['&', ' ']).next());
            let since = value("since=");
            let wait = value("timeout_ms=")
                .and_then(|ms| ms.parse().ok())
                .map_or(Duration::ZERO, Duration::from_millis);
            let current = || held.lock().unwrap()["seq"].to_string();
            let began = Instant::now();
            while since.is_some_and(|s| s == current()) && began.elapsed() < wait {
                thread::sleep(Duration::from_millis(5));
            }
            let body = held.lock().unwrap().to_string();
            response(200, "", body.as_bytes())
        });
        Discovery { server, list }
    }

    /// Replaces the list.
    pub fn set_nodes(&self, lines: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        let seq = list["seq"].as_u64().unwrap() + 1;
        *list = json!({"seq": seq, "whole": true, "hosts": lines});
    }
}
