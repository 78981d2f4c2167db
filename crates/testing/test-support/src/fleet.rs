//! Processes of the router fleet on loopback. Each fleet uses its own loopback subnet, with one address per machine.

use crate::process_state::wait_until_stopped;
use crate::{wait_until, Message};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const FRONT_PORT: u16 = 8_662;
const READINESS_PORT: u16 = 8_663;
const CONTROL_PORT: u16 = 8_665;
const INTERNAL_PORT: u16 = 7_680;
/// Time after which a client's read fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Grace period of processes, in seconds, unless a test sets another.
const DEFAULT_GRACE_S: u32 = 4;

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// The addresses and files of a fleet; the directory is removed when it is dropped.
pub struct Fleet {
    program: &'static str,
    directory: PathBuf,
    network: String,
    machines: u8,
    /// Number of voters, which have a disk. They are the first machines; by default all are voters.
    pub voters: u8,
    /// Time between SIGTERM and SIGKILL that is configured for the processes, in seconds.
    pub grace_s: u32,
    /// Additional lines of every settings file.
    pub more_settings: Vec<String>,
}

impl Fleet {
    /// Creates a fleet of this many machines without starting a process.
    pub fn new(program: &'static str, machines: u8) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::SeqCst);
        let id = std::process::id();
        let network = format!("127.{}.{}", 1 + id % 250, number);
        let directory = std::env::temp_dir().join(format!("passrelay-lease-consensus-{id}-{number}"));
        std::fs::create_dir_all(&directory).expect("cannot create the fleet's directory");
        Fleet {
            program,
            directory,
            network,
            machines,
            voters: machines,
            grace_s: DEFAULT_GRACE_S,
            more_settings: Vec::new(),
        }
    }

    /// Starts one machine's process, with the first three machines as its seeds. Machines are numbered from 1.
    pub fn start(&self, machine: u8, bootstrap: bool) -> Sidecar {
        let seeds: Vec<u8> = (1..=self.machines.min(3)).collect();
        self.write_settings(machine, bootstrap, &seeds);
        self.spawn(machine)
    }

    /// Returns how many voters may be lost at the same time.
    pub fn tolerated_losses(&self) -> u8 {
        (self.voters - 1) / 2
    }

    /// Removes the data directory of a machine whose process is not running.
    pub fn wipe_disk(&self, machine: u8) {
        let _ = std::fs::remove_dir_all(self.data_dir(machine));
    }

    fn data_dir(&self, machine: u8) -> PathBuf {
        self.directory.join(format!("data-{machine}"))
    }

    /// Returns the path of one machine's settings file.
    pub fn settings_path(&self, machine: u8) -> PathBuf {
        self.directory.join(format!("node-{machine}.conf"))
    }

    fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.network)
    }

    /// Writes one machine's settings file, with `seeds` as the machines that are its seeds.
    pub fn write_settings(&self, machine: u8, bootstrap: bool, seeds: &[u8]) {
        let ip = self.ip(machine);
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{}:{CONTROL_PORT}", self.ip(*seed))).collect();
        let mut settings = vec![
            format!("node-name=node-{machine}"),
            format!("ip={ip}"),
            "zone=here".to_owned(),
            format!("listen.front={ip}:{FRONT_PORT}"),
            format!("listen.readiness={ip}:{READINESS_PORT}"),
            format!("listen.control={ip}:{CONTROL_PORT}"),
            format!("internal-ports={INTERNAL_PORT},{}", INTERNAL_PORT + 15),
            format!("seeds={}", seeds.join(",")),
            format!("bootstrap={bootstrap}"),
            format!("fault-tolerance.machines={}", self.tolerated_losses()),
            "heartbeat-ms=1200".to_owned(),
            "bounds.strict-revocation=true".to_owned(),
            format!("bounds.grace-s={}", self.grace_s),
            "bounds.quota-slack=1000".to_owned(),
        ];
        if machine <= self.voters {
            settings.push("counts-for-quorum=true".to_owned());
            settings.push(format!("data-dir={}", self.data_dir(machine).display()));
        }
        settings.extend(self.more_settings.iter().cloned());
        std::fs::write(self.settings_path(machine), settings.join("\n"))
            .expect("cannot write the settings file");
    }

    /// Starts one machine's process with its current settings file and collects its log.
    pub fn spawn(&self, machine: u8) -> Sidecar {
        let mut child = Command::new(self.program)
            .arg("node")
            .env("PASSRELAY_CONFIG", self.settings_path(machine))
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the program");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(child.stderr.take().expect("standard error is not piped"));
        let log_lines = log.clone();
        thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|l| log_lines.lock().unwrap().push(l))
        });
        Sidecar { child, ip: self.ip(machine), log }
    }

    /// Writes a file to the fleet's directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("cannot write a file of the fleet");
        path.display().to_string()
    }

    /// Starts all machines for the first time and waits until one of them is primary.
    pub fn start_all(&self) -> Vec<Sidecar> {
        let sidecars: Vec<Sidecar> = (1..=self.machines).map(|m| self.start(m, true)).collect();
        wait_until("a primary is elected", || sidecars.iter().any(|s| s.status()["leads"] == json!(true)));
        sidecars
    }

    /// Starts all machines, registers a ready endpoint of service `bays` at each of `endpoints`, with ids from `i-0` up, puts
    /// the first configuration and waits until the first machine accepts clients. Returns that machine's process.
    ///
    /// # Panics
    ///
    /// Panics if a heartbeat or the configuration is rejected, or the machine is not ready in time.
    pub fn start_serving(&self, endpoints: &[SocketAddr], configuration: &Value) -> Sidecar {
        let sidecar = self.start_all().remove(0);
        for (index, address) in endpoints.iter().enumerate() {
            assert_eq!(sidecar.heartbeat(&format!("i-{index}"), "bays", *address, "ready", 1), 200);
        }
        assert_eq!(sidecar.put_configuration(0, configuration), 200);
        sidecar.wait_until_ready();
        sidecar
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// A process of a fleet; killed when dropped. If the test panics, its log is printed.
pub struct Sidecar {
    child: Child,
    ip: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl Sidecar {
    /// Returns the log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns the address to which clients connect.
    pub fn front_address(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip).parse().expect("invalid address of the machine")
    }

    /// Returns the identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of the readiness probe.
    pub fn readiness_address(&self) -> SocketAddr {
        format!("{}:{READINESS_PORT}", self.ip).parse().expect("invalid address of the machine")
    }

    /// Returns the address for messages between processes.
    pub fn internal_address(&self) -> SocketAddr {
        format!("{}:{INTERNAL_PORT}", self.ip).parse().expect("invalid address of the machine")
    }

    /// Returns whether the process has exited, by itself or by a signal.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns the address of the control API, which operators call.
    pub fn control_address(&self) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.ip).parse().expect("invalid address of the machine")
    }

    /// Opens a connection to one of the process's ports. Returns `None` if that fails.
    fn connect(&self, port: u16) -> Option<TcpStream> {
        let address: SocketAddr = format!("{}:{port}", self.ip).parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Opens a client connection.
    ///
    /// # Panics
    ///
    /// Panics if the port for clients cannot be reached.
    pub fn client(&self) -> TcpStream {
        self.connect(FRONT_PORT).expect("cannot connect to the port for clients")
    }

    /// Sends a request on a new client connection, reads the response, and returns the connection, which stays open.
    pub fn keep_alive_client(&self, request: &[u8]) -> TcpStream {
        let mut stream = self.client();
        let text = String::from_utf8_lossy(request).replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes()).expect("cannot write the request");
        let mut reader = BufReader::new(stream.try_clone().expect("cannot duplicate the socket"));
        Message::read(&mut reader).expect("the connection ended without a response");
        stream
    }

    /// Writes `bytes` on a new client connection and reads the response up to the end of the connection.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.client();
        // The peer may close the connection before all bytes are written.
        let _ = stream.write_all(bytes);
        read_all(&mut stream)
    }

    /// Sends a request to the control API. Returns `None` if there is no response.
    pub fn call_control(&self, method: &str, path: &str, headers: &str, body: &str) -> Option<Message> {
        let mut stream = self.connect(CONTROL_PORT)?;
        let length = body.len();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(head.as_bytes()).ok()?;
        Message::read(&mut BufReader::new(stream))
    }

    /// Returns the process's status, or null if it does not respond.
    pub fn status(&self) -> Value {
        let answer = self.call_control("GET", "/status", "", "");
        answer.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null)
    }

    /// Replaces the configuration. Returns the status of the response, or 0 if there is none.
    pub fn put_configuration(&self, base: u64, configuration: &Value) -> u16 {
        let headers = format!("If-Match: {base}\r\n");
        self.call_control("PUT", "/config", &headers, &configuration.to_string()).map_or(0, |a| a.status())
    }

    /// Sends an endpoint's heartbeat. Returns the status of the response, or 0 if there is none.
    pub fn heartbeat(&self, id: &str, service: &str, address: SocketAddr, state: &str, sequence: u64) -> u16 {
        let body = json!({ "backend": service, "address": address.to_string(), "zone": "here", "capacity": 8,
            "state": state, "sequence": sequence });
        let path = format!("/instances/{id}");
        self.call_control("PUT", &path, "", &body.to_string()).map_or(0, |a| a.status())
    }

    /// Returns whether the readiness endpoint responds with 200.
    pub fn is_ready(&self) -> bool {
        let Some(mut stream) = self.connect(READINESS_PORT) else { return false };
        let written = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
        written.is_ok() && Message::read(&mut BufReader::new(stream)).is_some_and(|a| a.status() == 200)
    }

    /// Waits until the process is ready to accept clients.
    pub fn wait_until_ready(&self) {
        wait_until(&format!("{} is ready", self.ip), || self.is_ready());
    }

    /// Sends a signal, named without the prefix `SIG`.
    ///
    /// # Panics
    ///
    /// Panics if the tests send no signal of this name, or the process has exited and was waited for.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "INT" => Signal::INT,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            other => panic!("unsupported signal name: {other}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("cannot send the signal");
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

    /// Waits until the process exits. Returns whether it exited with status 0.
    pub fn wait_for_success(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of {}:\n{}", self.ip, self.log().join("\n"));
        }
    }
}

/// Reads all remaining bytes until the connection ends, and then shuts it down.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let _ = stream.shutdown(Shutdown::Both);
    String::from_utf8_lossy(&bytes).into_owned()
}
