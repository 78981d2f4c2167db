//! The sidecar in service as a process, with its configuration.

use crate::process_state::wait_until_stopped;
use crate::{node_entry, request, wait_until, Caller, Discovery, Message, Server, PATIENCE};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Settings with a safe class `look` and an unsafe class `pay`.
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

/// An address of loopback that was free a moment ago, below the ports that the system gives out itself. Guards against
/// a process that can't come back to its address since a connection of somebody else's has got its port meanwhile.
///
/// # Errors
///
/// Fails when there is none.
pub fn free_address() -> std::io::Result<SocketAddr> {
    const PORTS: std::ops::Range<u32> = 12_000..32_000;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    // Processes that run side by side begin far from each other; in one process none is given twice in a row.
    let first = std::process::id().wrapping_mul(7919);
    for _ in PORTS {
        let next = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed) as u32);
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

/// The configuration of a sidecar that listens on a free port.
pub fn config(discovery: SocketAddr) -> Value {
    let listen = free_address().unwrap();
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings()})
}

/// The program as a process; killed when dropped.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    operator: Option<SocketAddr>,
    child: Child,
    file: std::path::PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    log_ended: Arc<AtomicBool>,
}

impl Relay {
    /// Starts the program and waits until it listens.
    pub fn start(program: &str, config: &Value) -> Relay {
        Relay::start_with_fd_limit(program, config, 1024)
    }

    /// The same under a limit of the system on descriptors.
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

    /// Starts a sidecar with these nodes, all in service, and waits until it is ready.
    pub fn start_with_nodes(program: &str, nodes: &[&Server]) -> (Relay, Discovery) {
        let addresses: Vec<_> = nodes.iter().map(|s| s.address).collect();
        Relay::start_configured(program, &addresses, |_| {})
    }

    /// The same before nodes at these addresses, with a change to its configuration.
    pub fn start_configured(
        program: &str,
        nodes: &[SocketAddr],
        change: impl Fn(&mut Value),
    ) -> (Relay, Discovery) {
        let lines = nodes.iter().enumerate().map(|(n, at)| node_entry(&format!("s-{n}"), *at, "in_service"));
        let discovery = Discovery::start(lines.collect());
        let mut told = config(discovery.server.address);
        change(&mut told);
        let relay = Relay::start(program, &told);
        relay.wait_until_ready();
        (relay, discovery)
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) {
        wait_until("it is ready", || self.caller().exchange("GET /ready HTTP/1.1\r\n\r\n").status() == 200);
    }

    /// The first log line that holds this text.
    pub fn find_log(&self, text: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|l| l.contains(text)).cloned()
    }

    /// All log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Waits for a log line that holds this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        wait_until(&format!("'{text}' is logged"), || self.find_log(text).is_some());
        self.find_log(text).unwrap()
    }

    /// A call to its operators' address, which its configuration has to name, on a connection of its own.
    pub fn call_operator(&self, text: &str) -> Message {
        let mut sock = TcpStream::connect(self.operator.expect("an operators' address")).unwrap();
        sock.set_read_timeout(Some(PATIENCE)).unwrap();
        sock.write_all(text.as_bytes()).unwrap();
        Message::read(&mut BufReader::new(sock)).expect("an answer to an operator's call")
    }

    /// What it says of itself there.
    pub fn status(&self) -> Value {
        let reply = self.call_operator("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Waits until it owes no answer and holds no client's connection.
    pub fn wait_until_idle(&self) {
        wait_until("all clients have gone", || {
            let status = self.status();
            (status["owed"].as_u64(), status["clients"].as_u64()) == (Some(0), Some(0))
        });
    }

    /// A new connection to it.
    pub fn caller(&self) -> Caller {
        let sock = TcpStream::connect(self.address).unwrap();
        sock.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller { reader: BufReader::new(sock) }
    }

    /// One request on a connection of its own.
    pub fn call(&self, class: &str, budget: f64) -> Message {
        self.caller().exchange(&request(class, budget, b""))
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal by its name without SIG.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }

    /// Stops the process; returns once it stands still.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until_stopped(self.child.id());
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Replaces its configuration and says so.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }

    /// Waits for the end; true if the program ended well.
    pub fn wait_for_success(&mut self) -> bool {
        wait_until("its log ends", || self.log_ended.load(Ordering::SeqCst));
        self.child.wait().unwrap().success()
    }

    /// Whether the process is there.
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

/// Writes a configuration to a file of its own.
pub fn config_file(config: &Value) -> std::path::PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("passrelay-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    path
}
