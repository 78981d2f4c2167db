//! The load-balancing sidecar as a process, and its configuration.

use crate::process_state::wait_until_stopped;
use crate::{node_entry, request, wait_until, Caller, Discovery, Message, Server, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Returns settings with a safe class `look` and an unsafe class `pay`.
pub fn settings() -> Value {
    let class = |name: &str, kind: &str| json!({"Name": name, "Aim": 2.5, "GiveUp": 6.0, "Gain": 1.0, "Idempotency": kind});
    json!({
        "Classes": [class("look", "read_like"), class("pay", "non_idempotent")],
        "Tenants": [{"Name": "acme", "AllowancePerS": 1000.0}],
        "Dcs": ["a"], "Az": "a", "Balancers": 1, "Rank": 0, "RegistryMode": "ask", "Tick": 0.005,
        "Layers": ["front"], "Layer": 0,
        "Report": {"Fields": ["rps", "cpu"], "Source": "piggyback"},
        "Limits": {"AttemptsCap": 4, "Cancel": true, "ConnIdle": 30.0, "ConnectTimeout": 2.0, "MaxRetryAfter": 2.0,
                   "MayDuplicate": true, "Probes": true, "RetryAfter": true},
        "Rules": {"AskEvery": 10.0, "DrainGrace": 2.5}
    })
}

/// Returns a loopback address whose port was free when checked and lies below the ephemeral port range of the system. An
/// ephemeral port could be assigned to a connection of another process while the program restarts, which then could not bind
/// to its address again.
///
/// # Errors
///
/// Fails if no port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    const PORTS: std::ops::Range<u32> = 12_000..32_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    // Concurrent processes start at distant ports; within a process, ports are taken in turn and not reused immediately.
    let first = std::process::id().wrapping_mul(7919);
    for _ in PORTS {
        let next = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed) as u32);
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port from 12000 to 31999 is free on loopback"))
}

/// Returns the configuration of a sidecar that listens on a free port and uses this discovery service.
pub fn config(discovery: SocketAddr) -> Value {
    let listen = free_address().unwrap();
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings()})
}

/// A sidecar process; killed when dropped.
pub struct Relay {
    /// The address on which the sidecar accepts callers.
    pub address: SocketAddr,
    operator: Option<SocketAddr>,
    child: Child,
    file: std::path::PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    log_ended: Arc<AtomicBool>,
}

impl Relay {
    /// Starts the program and waits until it logs that it has started.
    pub fn start(program: &str, config: &Value) -> Relay {
        Relay::start_with_fd_limit(program, config, 1024)
    }

    /// Like `start`, with a limit on the number of open file descriptors.
    pub fn start_with_fd_limit(program: &str, config: &Value, descriptors: u32) -> Relay {
        let path = config_file(config);
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {descriptors}; exec {program}")])
            .env("RELAY_CONFIG", &path)
            .env("RELAY_DISCOVERY", config["discovery"].as_str().unwrap())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_ended = Arc::new(AtomicBool::new(false));
        let (lines, ended) = (log.clone(), log_ended.clone());
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|l| lines.lock().unwrap().push(l));
            ended.store(true, Ordering::SeqCst);
        });
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let operator = config["operator"].as_str().map(|at| at.parse().unwrap());
        let relay = Relay { address, operator, child, file: path, log, log_ended };
        relay.wait_for_log("event=started");
        relay
    }

    /// Starts a discovery service with these nodes, all in service, and a sidecar, and waits until the sidecar is ready.
    pub fn start_with_nodes(program: &str, nodes: &[&Server]) -> (Relay, Discovery) {
        let addresses: Vec<_> = nodes.iter().map(|s| s.address).collect();
        Relay::start_configured(program, &addresses, |_| {})
    }

    /// Like `start_with_nodes`, with the addresses of the nodes and a function that modifies the sidecar's configuration.
    pub fn start_configured(
        program: &str,
        nodes: &[SocketAddr],
        change: impl Fn(&mut Value),
    ) -> (Relay, Discovery) {
        let lines = nodes.iter().enumerate().map(|(n, at)| node_entry(&format!("s-{n}"), *at, "in_service"));
        let discovery = Discovery::start(lines.collect());
        let mut config = config(discovery.server.address);
        change(&mut config);
        let relay = Relay::start(program, &config);
        relay.wait_until_ready();
        (relay, discovery)
    }

    /// Waits until `/ready` responds with 200.
    pub fn wait_until_ready(&self) {
        wait_until(&format!("{} is ready", self.address), || {
            self.caller().exchange("GET /ready HTTP/1.1\r\n\r\n").status() == 200
        });
    }

    /// Returns the first log line that contains `text`.
    pub fn find_log(&self, text: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|l| l.contains(text)).cloned()
    }

    /// Returns all log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        wait_until(&format!("'{text}' is logged"), || self.find_log(text).is_some());
        self.find_log(text).unwrap()
    }

    /// Sends a request to the operators' address on a new connection and returns the response.
    ///
    /// # Panics
    ///
    /// Panics if the configuration has no operators' address or there is no response.
    pub fn call_operator(&self, text: &str) -> Message {
        let mut sock =
            TcpStream::connect(self.operator.expect("the configuration has no operators' address")).unwrap();
        sock.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        sock.write_all(text.as_bytes()).unwrap();
        Message::read(&mut BufReader::new(sock))
            .expect("the connection ended without a response to the operator")
    }

    /// Returns the response to `/status` at the operators' address.
    pub fn status(&self) -> Value {
        let reply = self.call_operator("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Waits until the sidecar owes no responses and has no client connections.
    pub fn wait_until_idle(&self) {
        wait_until("no response is owed and no client is connected", || {
            let status = self.status();
            (status["owed"].as_u64(), status["clients"].as_u64()) == (Some(0), Some(0))
        });
    }

    /// Opens a caller's connection.
    pub fn caller(&self) -> Caller {
        let sock = TcpStream::connect(self.address).unwrap();
        sock.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Caller { reader: BufReader::new(sock) }
    }

    /// Sends one request on a new connection and returns the response.
    pub fn call(&self, class: &str, budget: f64) -> Message {
        self.caller().exchange(&request(class, budget, b""))
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal, named without the prefix `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }

    /// Stops the process with SIGSTOP. Returns once it is stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until_stopped(self.child.id());
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }

    /// Waits until the process exits. Returns whether it exited with status 0.
    pub fn wait_for_success(&mut self) -> bool {
        wait_until("the log ends", || self.log_ended.load(Ordering::SeqCst));
        self.child.wait().unwrap().success()
    }

    /// Returns whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Writes a configuration to a new temporary file and returns its path.
pub fn config_file(config: &Value) -> std::path::PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("passrelay-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    path
}
