//! The real program as a process, with nodes, discovery and callers round it, all on loopback.

pub mod fleet;

use serde_json::{json, Value};
use socket2::SockRef;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Generous: a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for a condition.
pub fn until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < PATIENCE, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Number of the connection at its server.
    pub connection: usize,
}

impl Message {
    /// The first value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one message framed by a length; `None` at the end of the connection.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut line = String::new();
        let mut message = Message::default();
        loop {
            line.clear();
            // Guards against a head that was cut in its last line, taken for a whole one.
            if from.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            match line.trim_end() {
                "" => break,
                text if message.line.is_empty() => message.line = text.to_owned(),
                text => {
                    let (name, value) = text.split_once(':')?;
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
        let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Bytes(Vec<u8>),
    /// Writes this, then closes.
    Last(Vec<u8>),
    /// Writes this, then resets the connection.
    Reset(Vec<u8>),
    /// Says nothing and keeps the connection.
    Silence,
}

/// An answer with a length.
pub fn answer(status: u16, more: &str, body: &[u8]) -> Reply {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{more}\r\n", body.len());
    Reply::Bytes([head.as_bytes(), body].concat())
}

/// A server whose answers the test decides; used as a node and as discovery.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    ended: Arc<AtomicUsize>,
}

impl Server {
    /// A server on a free port of loopback.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// A server on this listener.
    pub fn on(listener: TcpListener, reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        let (seen, ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (coming, gone) = (seen.clone(), ended.clone());
        let address = serve_by(listener, move |number, mut sock| {
            let mut reader = BufReader::new(sock.try_clone().unwrap());
            while let Some(message) = Message::read(&mut reader) {
                coming.lock().unwrap().push(Message { connection: number, ..message.clone() });
                match reply(&message) {
                    Reply::Bytes(bytes) => drop(sock.write_all(&bytes)),
                    Reply::Last(bytes) => {
                        let _ = sock.write_all(&bytes);
                        break;
                    }
                    Reply::Reset(bytes) => {
                        let _ = sock.write_all(&bytes);
                        let _ = SockRef::from(&sock).set_linger(Some(Duration::ZERO));
                        drop((reader, sock));
                        gone.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    Reply::Silence => {}
                }
            }
            // Counted only once the other side can see the end. A process that another test starts just
            // now holds a copy of the socket until it runs its program: closing alone may come late.
            let _ = sock.shutdown(Shutdown::Both);
            drop((reader, sock));
            gone.fetch_add(1, Ordering::SeqCst);
        });
        Server { address, seen, ended }
    }

    /// What has come in so far.
    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that have ended.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves each connection to this listener by a script of the test's own, on a thread of its own; the script gets the
/// connection's number.
pub fn serve_by(
    listener: TcpListener,
    script: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let (address, script) = (listener.local_addr().unwrap(), Arc::new(script));
    thread::spawn(move || {
        for (number, sock) in listener.incoming().map_while(Result::ok).enumerate() {
            let script = script.clone();
            thread::spawn(move || script(number, sock));
        }
    });
    address
}

/// A listener whose queue is full, so that no further connection to it comes up before somebody accepts; and the
/// connections that fill it, which are accepted first.
///
/// # Panics
///
/// Panics where the system doesn't let the queue fill.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let fillers: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(100)))
        .map_while(Result::ok)
        .collect();
    assert!(fillers.len() < 4, "the queue should be full");
    (listener, fillers)
}

/// A line of the node list.
pub fn node_line(host: &str, address: SocketAddr, health: &str) -> Value {
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
            let value = |name| message.line.split(name).nth(1).and_then(|s| s.split(['&', ' ']).next());
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
            answer(200, "", body.as_bytes())
        });
        Discovery { server, list }
    }

    /// Replaces the list.
    pub fn tell(&self, lines: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        let seq = list["seq"].as_u64().unwrap() + 1;
        *list = json!({"seq": seq, "whole": true, "hosts": lines});
    }
}

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
        Relay::start_limited(program, config, 1024)
    }

    /// The same under a limit of the system on descriptors.
    pub fn start_limited(program: &str, config: &Value, descriptors: u32) -> Relay {
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
        relay.until_logged("event=started");
        relay
    }

    /// Starts a sidecar with these nodes, all in service, and waits until it is ready.
    pub fn before(program: &str, nodes: &[&Server]) -> (Relay, Discovery) {
        let addresses: Vec<_> = nodes.iter().map(|s| s.address).collect();
        Relay::before_with(program, &addresses, |_| {})
    }

    /// The same before nodes at these addresses, with a change to its configuration.
    pub fn before_with(
        program: &str,
        nodes: &[SocketAddr],
        change: impl Fn(&mut Value),
    ) -> (Relay, Discovery) {
        let lines = nodes.iter().enumerate().map(|(n, at)| node_line(&format!("s-{n}"), *at, "in_service"));
        let discovery = Discovery::start(lines.collect());
        let mut told = config(discovery.server.address);
        change(&mut told);
        let relay = Relay::start(program, &told);
        relay.until_ready();
        (relay, discovery)
    }

    /// Waits until it says that it is ready.
    pub fn until_ready(&self) {
        until("it is ready", || self.caller().ask("GET /ready HTTP/1.1\r\n\r\n").status() == 200);
    }

    /// The first log line that holds this text.
    pub fn logged(&self, text: &str) -> Option<String> {
        self.log.lock().unwrap().iter().find(|l| l.contains(text)).cloned()
    }

    /// All log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Waits for a log line that holds this text.
    pub fn until_logged(&self, text: &str) -> String {
        until(&format!("'{text}' is logged"), || self.logged(text).is_some());
        self.logged(text).unwrap()
    }

    /// A call to its operators' address, which its configuration has to name, on a connection of its own.
    pub fn operator_call(&self, text: &str) -> Message {
        let mut sock = TcpStream::connect(self.operator.expect("an operators' address")).unwrap();
        sock.set_read_timeout(Some(PATIENCE)).unwrap();
        sock.write_all(text.as_bytes()).unwrap();
        Message::read(&mut BufReader::new(sock)).expect("an answer to an operator's call")
    }

    /// What it says of itself there.
    pub fn status(&self) -> Value {
        let reply = self.operator_call("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        serde_json::from_slice(&reply.body).unwrap()
    }

    /// Waits until it owes no answer and holds no client's connection.
    pub fn until_nobody_is_there(&self) {
        until("all clients have gone", || {
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
        self.caller().ask(&request(class, budget, b""))
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
        until_stopped(self.child.id());
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
    pub fn ended_well(&mut self) -> bool {
        until("its log ends", || self.log_ended.load(Ordering::SeqCst));
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

/// A request of class `look` or `pay` as text.
pub fn request(class: &str, budget: f64, body: &[u8]) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let (method, length) = match class {
        "pay" => ("POST", format!("Content-Length: {}\r\n", body.len())),
        _ => ("GET", String::new()),
    };
    format!(
        "{method} /{class}/x?k=7&v=a%20b HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: c{number:08x}\r\n\
         X-Call-Class: {class}\r\nX-Caller: acme\r\nX-Budget: {budget}\r\n{length}\r\n{}",
        std::str::from_utf8(body).unwrap()
    )
}

/// State of a socket in `/proc/net/tcp` whose connection has been asked for and not come up.
const SYN_SENT: &str = "02";
/// State of a socket that has sent its end and had it acknowledged, and not heard that of the other side.
const FIN_WAIT_2: &str = "05";

/// A socket of this machine, as `/proc/net/tcp` lists it.
struct ListedSocket {
    local: String,
    remote: String,
    state: String,
}

fn listed_sockets() -> Vec<ListedSocket> {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
    let socket = |line: &str| {
        let mut columns = line.split_ascii_whitespace().skip(1).map(str::to_owned);
        Some(ListedSocket { local: columns.next()?, remote: columns.next()?, state: columns.next()? })
    };
    list.lines().skip(1).filter_map(socket).collect()
}

/// A loopback address as `/proc/net/tcp` writes it.
fn listed_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// Whether the other side's system has acknowledged the end of the loopback connection from this address.
fn is_end_acknowledged(own: SocketAddr) -> bool {
    let own = listed_address(own);
    listed_sockets().iter().any(|socket| socket.local == own && socket.state == FIN_WAIT_2)
}

/// Whether some process waits for a connection to this loopback address to come up.
pub fn is_dialed(address: SocketAddr) -> bool {
    let address = listed_address(address);
    listed_sockets().iter().any(|socket| socket.remote == address && socket.state == SYN_SENT)
}

/// Waits until a process that was sent SIGSTOP stands still, so that whatever happens next happens before its next turn.
pub(crate) fn until_stopped(pid: u32) {
    let status = format!("/proc/{pid}/status");
    until("it stands still", || {
        std::fs::read_to_string(&status).is_ok_and(|text| text.contains("\nState:\tT"))
    });
}

/// A caller's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Writes this text.
    pub fn send(&mut self, text: &str) {
        // The other side may have closed already; what matters is then what it answered.
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Reads one answer; `None` at the end of the connection.
    pub fn hear(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes this text and reads the answer.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.hear().expect("an answer")
    }

    /// Ends its side of the connection and goes on hearing.
    pub fn say_goodbye(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Ends the connection; returns once the other side's system has acknowledged the end, and with it all that was sent.
    pub fn leave(mut self) {
        let own = self.reader.get_ref().local_addr().unwrap();
        self.say_goodbye();
        until("the end of the connection has arrived", || is_end_acknowledged(own));
    }

    /// Leaves by a reset.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Reads to the end of the connection, however it ends: how much came, and its last bytes.
    pub fn read_on(&mut self) -> (usize, Vec<u8>) {
        let (mut heard, mut last, mut piece) = (0, Vec::new(), vec![0; 1 << 16]);
        while let Ok(n @ 1..) = self.reader.read(&mut piece) {
            heard += n;
            last = piece[..n].to_vec();
        }
        (heard, last)
    }

    /// All that still comes up to the other side's end.
    ///
    /// # Errors
    ///
    /// Fails where the connection is reset instead.
    pub fn rest(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).map(|_| rest)
    }

    /// Whether the other side ends the connection, after whatever it still sends.
    pub fn is_ended(&mut self) -> bool {
        let end = self.rest();
        end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
    }
}
