//! Processes of the router fleet on loopback: each fleet has addresses of its own, one for each machine.

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

const FRONT: u16 = 8_662;
const READINESS: u16 = 8_663;
const CONTROL: u16 = 8_665;
const INTERNAL: u16 = 7_680;
/// A client waits so long for bytes.
const READ_WITHIN: Duration = Duration::from_secs(20);
/// Grace time of processes where a test doesn't set another.
const DEFAULT_GRACE_S: u32 = 4;

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// A fleet's addresses and files.
pub struct Fleet {
    program: &'static str,
    folder: PathBuf,
    network: String,
    machines: u8,
    /// Machines with a vote and a disk, the first ones; all by default.
    pub voters: u8,
    /// Time between SIGTERM and SIGKILL that the processes are told, in seconds.
    pub grace_s: u32,
    /// Further lines of every settings file.
    pub more_settings: Vec<String>,
}

impl Fleet {
    /// A fleet of so many machines; none runs yet.
    pub fn new(program: &'static str, machines: u8) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        let id = std::process::id();
        let network = format!("127.{}.{}", 1 + id % 250, number);
        let folder = std::env::temp_dir().join(format!("passrelay-lease-consensus-{id}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder for the fleet");
        Fleet {
            program,
            folder,
            network,
            machines,
            voters: machines,
            grace_s: DEFAULT_GRACE_S,
            more_settings: Vec::new(),
        }
    }

    /// Starts one machine's process, machines counted from 1, with the first three as its seeds.
    pub fn start(&self, machine: u8, bootstrap: bool) -> Sidecar {
        let seeds: Vec<u8> = (1..=self.machines.min(3)).collect();
        self.write_settings(machine, bootstrap, &seeds);
        self.spawn(machine)
    }

    /// Voters that may be lost at one time.
    pub fn tolerated_losses(&self) -> u8 {
        (self.voters - 1) / 2
    }

    /// Removes the disk of a machine whose process doesn't run.
    pub fn wipe_disk(&self, machine: u8) {
        let _ = std::fs::remove_dir_all(self.data_dir(machine));
    }

    fn data_dir(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Path of one machine's settings file.
    pub fn settings_path(&self, machine: u8) -> PathBuf {
        self.folder.join(format!("node-{machine}.conf"))
    }

    fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.network)
    }

    /// Writes one machine's settings file, with these machines as its seeds.
    pub fn write_settings(&self, machine: u8, bootstrap: bool, seeds: &[u8]) {
        let ip = self.ip(machine);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{}:{CONTROL}", self.ip(*seed))).collect();
        let mut settings = vec![
            format!("node-name=node-{machine}"),
            format!("ip={ip}"),
            "zone=here".to_owned(),
            format!("listen.front={ip}:{FRONT}"),
            format!("listen.readiness={ip}:{READINESS}"),
            format!("listen.control={ip}:{CONTROL}"),
            format!("internal-ports={INTERNAL},{}", INTERNAL + 15),
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
        std::fs::write(self.settings_path(machine), settings.join("\n")).expect("the settings are written");
    }

    /// Starts one machine's process with the settings file that is there.
    pub fn spawn(&self, machine: u8) -> Sidecar {
        let mut child = Command::new(self.program)
            .arg("node")
            .env("PASSRELAY_CONFIG", self.settings_path(machine))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(child.stderr.take().expect("its log"));
        let kept = log.clone();
        thread::spawn(move || lines.lines().map_while(Result::ok).for_each(|l| kept.lock().unwrap().push(l)));
        Sidecar { child, ip: self.ip(machine), log }
    }

    /// Writes a file beside the fleet's; returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    }

    /// Starts all machines for the first time and waits until one leads.
    pub fn start_all(&self) -> Vec<Sidecar> {
        let sidecars: Vec<Sidecar> = (1..=self.machines).map(|m| self.start(m, true)).collect();
        wait_until("a primary leads", || sidecars.iter().any(|s| s.status()["leads"] == json!(true)));
        sidecars
    }

    /// Starts all machines of a fleet, registers a ready endpoint of service `bays` at each of these addresses, with ids
    /// from `i-0` up, puts the first configuration and waits until the first machine accepts clients. Returns that one.
    ///
    /// # Panics
    ///
    /// Panics where a heartbeat or the configuration is rejected, or the machine isn't ready in time.
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One process of a fleet.
pub struct Sidecar {
    child: Child,
    ip: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl Sidecar {
    /// Its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Where clients connect.
    pub fn front_address(&self) -> SocketAddr {
        format!("{}:{FRONT}", self.ip).parse().expect("an address")
    }

    /// Whether the process has ended, by itself or by a signal.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Where operators call.
    pub fn control_address(&self) -> SocketAddr {
        format!("{}:{CONTROL}", self.ip).parse().expect("an address")
    }

    /// A new connection to a port of it.
    fn connect(&self, port: u16) -> Option<TcpStream> {
        let address: SocketAddr = format!("{}:{port}", self.ip).parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(READ_WITHIN)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// A connection like a client's.
    pub fn client(&self) -> TcpStream {
        self.connect(FRONT).expect("the clients' port is open")
    }

    /// A client's connection that stays open after the answer to a request.
    pub fn keep_alive_client(&self, request: &[u8]) -> TcpStream {
        let mut stream = self.client();
        let text = String::from_utf8_lossy(request).replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes()).expect("the request is written");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Message::read(&mut reader).expect("an answer");
        stream
    }

    /// Writes bytes as a client and reads everything up to the end of the connection.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.client();
        // The other side may end while it is still being written to.
        let _ = stream.write_all(bytes);
        read_all(&mut stream)
    }

    /// A call to its control port.
    pub fn call_control(&self, method: &str, path: &str, headers: &str, body: &str) -> Option<Message> {
        let mut stream = self.connect(CONTROL)?;
        let length = body.len();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(head.as_bytes()).ok()?;
        Message::read(&mut BufReader::new(stream))
    }

    /// What it says of itself; null while it doesn't.
    pub fn status(&self) -> Value {
        let answer = self.call_control("GET", "/status", "", "");
        answer.and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or(Value::Null)
    }

    /// Sends a whole configuration; the status of the answer, 0 for none.
    pub fn put_configuration(&self, base: u64, configuration: &Value) -> u16 {
        let headers = format!("If-Match: {base}\r\n");
        self.call_control("PUT", "/config", &headers, &configuration.to_string()).map_or(0, |a| a.status())
    }

    /// Sends an endpoint's heartbeat; the status of the answer, 0 for none.
    pub fn heartbeat(&self, id: &str, service: &str, address: SocketAddr, state: &str, sequence: u64) -> u16 {
        let body = json!({ "backend": service, "address": address.to_string(), "zone": "here", "capacity": 8,
            "state": state, "sequence": sequence });
        let path = format!("/instances/{id}");
        self.call_control("PUT", &path, "", &body.to_string()).map_or(0, |a| a.status())
    }

    /// Whether clients may come.
    pub fn is_ready(&self) -> bool {
        let Some(mut stream) = self.connect(READINESS) else { return false };
        let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
        asked.is_ok() && Message::read(&mut BufReader::new(stream)).is_some_and(|a| a.status() == 200)
    }

    /// Waits until clients may come.
    pub fn wait_until_ready(&self) {
        wait_until("it is ready", || self.is_ready());
    }

    /// Sends a signal by its name without SIG.
    ///
    /// # Panics
    ///
    /// Panics where the name is none of those that the tests send, or the process has ended and was waited for.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => Signal::CONT,
            "HUP" => Signal::HUP,
            "INT" => Signal::INT,
            "KILL" => Signal::KILL,
            "STOP" => Signal::STOP,
            "TERM" => Signal::TERM,
            other => panic!("no signal for tests: {other}"),
        };
        kill_process(Pid::from_child(&self.child), signal).expect("the signal is sent");
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

    /// Waits for its end; true if it ended well.
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

/// Everything that still comes.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let _ = stream.shutdown(Shutdown::Both);
    String::from_utf8_lossy(&bytes).into_owned()
}
