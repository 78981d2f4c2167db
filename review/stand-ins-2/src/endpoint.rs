//! A sound endpoint: registers by heartbeats, runs each request at once and answers it with its seal.

use crate::http;
use crate::record::note;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// A running endpoint. It lives as long as the process.
pub struct Endpoint {
    pub id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    version: String,
    sequence: AtomicU64,
    acknowledged: AtomicU64,
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Ids of the requests that were run.
    runs: Mutex<Vec<String>>,
}

impl Endpoint {
    /// Opens the port and begins to send heartbeats to `controls`.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddrV4,
        zone: &str,
        controls: Vec<SocketAddrV4>,
    ) -> Result<Arc<Self>, String> {
        Self::start_version(id, service, "v1", address, zone, controls)
    }

    /// Like [`Self::start`], with the version of the endpoint's software.
    pub fn start_version(
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddrV4,
        zone: &str,
        controls: Vec<SocketAddrV4>,
    ) -> Result<Arc<Self>, String> {
        let endpoint = Self::open(id, service, version, address, zone)?;
        let beating = endpoint.clone();
        thread::spawn(move || {
            while !beating.has_crashed() {
                beating.heartbeat(&controls);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(endpoint)
    }

    /// Opens the port of an endpoint of version v1. The caller sends the heartbeats.
    pub fn start_silent(
        id: &str,
        service: &str,
        address: SocketAddrV4,
        zone: &str,
    ) -> Result<Arc<Self>, String> {
        Self::open(id, service, "v1", address, zone)
    }

    fn open(
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddrV4,
        zone: &str,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let endpoint = Arc::new(Endpoint {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            version: version.to_owned(),
            sequence: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
        });
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let serving = endpoint.clone();
        thread::spawn(move || {
            while !serving.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let connection = serving.clone();
                thread::spawn(move || connection.serve(stream));
            }
        });
        Ok(endpoint)
    }

    /// Sends one heartbeat, to one sidecar after the other until one acknowledges it.
    fn heartbeat(&self, controls: &[SocketAddrV4]) {
        let body = self.next_heartbeat();
        let path = format!("/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let is_acknowledged = controls.iter().any(|control| {
            let answer = http::call(*control, "PUT", &path, &headers, body.as_bytes(), CALL_TIMEOUT);
            answer.is_ok_and(|answer| (200..300).contains(&answer.status))
        });
        self.acknowledged.fetch_add(u64::from(is_acknowledged), Ordering::Relaxed);
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"generation\":\"{}\",\"capacity\":8,\"state\":\"ready\",\
             \"cold-remaining-ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.version
        )
    }

    /// Returns the number of heartbeats sent so far.
    pub fn sent(&self) -> u64 {
        self.sequence.load(Ordering::Relaxed)
    }

    /// Returns the number of heartbeats that were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// Waits until the first heartbeat is acknowledged.
    pub fn wait_until_acknowledged(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while self.acknowledged() == 0 {
            if Instant::now() > until {
                return Err(format!("endpoint {} is not acknowledged", self.id));
            }
            thread::sleep(ACCEPT_INTERVAL);
        }
        Ok(())
    }

    /// Ends the endpoint without a word: closes its port and its connections, and sends no more heartbeats.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
        if let Ok(mut connections) = self.connections.lock() {
            for connection in connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        thread::sleep(2 * ACCEPT_INTERVAL);
    }

    fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Returns the ids of the requests that were run so far.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        if let Ok(mut connections) = self.connections.lock() {
            connections.push(kept);
        }
        let mut reader = BufReader::new(reading);
        while let Some(id) = self.serve_request(&mut reader, &mut stream) {
            note(&format!("endpoint {} ran request {id}", self.id));
        }
    }

    /// Serves the next request of a connection. Returns its id, or `None` at the end of the connection.
    fn serve_request(&self, reader: &mut BufReader<TcpStream>, stream: &mut TcpStream) -> Option<String> {
        let line = read_line(reader)?;
        let (mut id, mut length, mut target) = (String::new(), 0, None);
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            match name.to_ascii_lowercase().as_str() {
                "x-passrelay-request-id" => id = value.trim().to_owned(),
                "x-passrelay-target-instance" => target = Some(value.trim().to_owned()),
                "content-length" => length = value.trim().parse().ok()?,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (status, extra) = if line.starts_with("GET /health") {
            ("200 OK", format!("X-Passrelay-Instance-Id: {}\r\n", self.id))
        } else if target.is_some_and(|target| target != self.id) {
            ("421 Misdirected Request", String::new())
        } else {
            if let Ok(mut runs) = self.runs.lock() {
                runs.push(id.clone());
            }
            ("200 OK", format!("X-Passrelay-Response-Seal: {}.{id}\r\n", self.id))
        };
        let answer = format!("{} answers {id}", self.id);
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Passrelay-Request-Id: {id}\r\n{extra}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        stream.write_all(format!("{head}{answer}").as_bytes()).ok()?;
        Some(id)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line).ok()?;
    (count > 0).then(|| String::from_utf8_lossy(&line).trim_end().to_owned())
}
