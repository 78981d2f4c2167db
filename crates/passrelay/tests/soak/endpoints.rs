//! Endpoints of two services: they register at the fleet by heartbeats and answer requests on loopback.

use crate::http::call;
use crate::records::{Records, Run, Time};
use passrelay_test_support::{serve_connections, Message};
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const READY: u8 = 0;
const DRAINING: u8 = 1;
const ENDED: u8 = 2;

/// How the endpoints of a version answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    Good,
    /// Every second answer is a 500.
    Bad,
    /// Every second answer is an event stream without a length whose connection is closed within an event.
    Truncating,
}

/// What an endpoint sends, and whether it then closes the connection.
struct Answer {
    bytes: Vec<u8>,
    closes: bool,
}

/// One endpoint.
pub struct Endpoint {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    state: Arc<AtomicU8>,
}

/// The endpoints of a soak.
pub struct Endpoints {
    records: Arc<Records>,
    controls: Vec<SocketAddr>,
    started: AtomicUsize,
    seed: u64,
}

impl Endpoints {
    pub fn new(records: Arc<Records>, controls: Vec<SocketAddr>, seed: u64) -> Self {
        Endpoints { records, controls, started: AtomicUsize::new(0), seed }
    }

    /// Starts an endpoint; it registers until it ends.
    pub fn start(&self, service: &str, version: &str, quality: Quality) -> Endpoint {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{number:04}");
        let state = Arc::new(AtomicU8::new(READY));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = RequestServer {
            id: id.clone(),
            service: service.to_owned(),
            version: version.to_owned(),
            quality,
            state: state.clone(),
            records: self.records.clone(),
            answered: AtomicUsize::new(0),
        };
        let address = serve_connections(listener, move |_, stream| server.serve(stream));
        let registration = Registration {
            id: id.clone(),
            body: json!({ "backend": service, "address": address.to_string(), "zone": "here",
                "generation": version, "capacity": 64, "cold-remaining-ms": 0 }),
            state: state.clone(),
            controls: self.controls.clone(),
            records: self.records.clone(),
            rng: ChaCha8Rng::seed_from_u64(self.seed ^ number as u64),
        };
        thread::spawn(move || registration.run());
        Endpoint { id, service: service.to_owned(), version: version.to_owned(), address, state }
    }
}

impl Endpoint {
    /// Announces that it leaves; it serves on until [`Endpoint::end`].
    pub fn drain(&self) {
        self.state.store(DRAINING, Ordering::SeqCst);
    }

    /// Stops serving and deregisters.
    pub fn end(&self) {
        self.state.store(ENDED, Ordering::SeqCst);
    }

    pub fn describe(&self) -> String {
        format!("{} of {} {} at {}", self.id, self.service, self.version, self.address)
    }
}

struct RequestServer {
    id: String,
    service: String,
    version: String,
    quality: Quality,
    state: Arc<AtomicU8>,
    records: Arc<Records>,
    answered: AtomicUsize,
}

impl RequestServer {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(request) = Message::read(&mut reader) {
            if self.state.load(Ordering::SeqCst) == ENDED {
                return;
            }
            let answer = self.answer(&request);
            if stream.write_all(&answer.bytes).is_err() || answer.closes {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Answer {
        let request_id = request.header("x-passrelay-request-id").unwrap_or_default();
        let target = request.header("x-passrelay-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return self.complete(421, request_id);
        }
        let number = self.answered.fetch_add(1, Ordering::SeqCst);
        let run =
            Run { at: self.records.now(), service: self.service.clone(), version: self.version.clone() };
        self.records.runs.lock().unwrap().push(run);
        match self.quality {
            Quality::Bad if number % 2 == 1 => self.complete(500, request_id),
            Quality::Truncating if number % 2 == 1 => self.truncated(request_id),
            _ => self.complete(200, request_id),
        }
    }

    fn complete(&self, status: u16, request_id: &str) -> Answer {
        let head = self.head(status, request_id);
        Answer { bytes: format!("{head}Content-Length: 2\r\n\r\nok").into_bytes(), closes: false }
    }

    fn truncated(&self, request_id: &str) -> Answer {
        let head = self.head(200, request_id);
        let text = format!("{head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\nid: 2\nda");
        Answer { bytes: text.into_bytes(), closes: true }
    }

    fn head(&self, status: u16, request_id: &str) -> String {
        let (service, version) = (&self.service, &self.version);
        format!(
            "HTTP/1.1 {status} X\r\nX-Passrelay-Request-Id: {request_id}\r\nX-Passrelay-Response-Seal: s\r\n\
             X-Passrelay-Instance-Load: 1,0,64\r\nX-Ran-By: {service} {version}\r\n"
        )
    }
}

struct Registration {
    id: String,
    body: serde_json::Value,
    state: Arc<AtomicU8>,
    controls: Vec<SocketAddr>,
    records: Arc<Records>,
    rng: ChaCha8Rng,
}

impl Registration {
    fn run(mut self) {
        let mut at = *self.controls.choose(&mut self.rng).expect("a process");
        let path = format!("/instances/{}", self.id);
        let mut drains_since = None;
        for sequence in 1.. {
            let state = self.state.load(Ordering::SeqCst);
            if state == DRAINING && drains_since.is_none() {
                drains_since = Some(self.records.now());
            }
            if state == ENDED {
                self.deregister(at, &path);
                return;
            }
            self.body["sequence"] = json!(sequence);
            self.body["state"] = json!(if state == READY { "ready" } else { "draining" });
            let acknowledged = call(at, "PUT", &path, "", &self.body.to_string());
            if acknowledged.is_some_and(|(status, _)| status == 200) {
                if let Some(since) = drains_since.filter(|since| *since != Time::MAX) {
                    self.records.order(&format!("draining of {}", self.id), since, true);
                    drains_since = Some(Time::MAX);
                }
                thread::sleep(HEARTBEAT);
            } else {
                at = *self.controls.choose(&mut self.rng).expect("a process");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    fn deregister(&mut self, mut at: SocketAddr, path: &str) {
        for _ in 0..20 {
            if call(at, "DELETE", path, "", "").is_some_and(|(status, _)| status == 200) {
                return;
            }
            at = *self.controls.choose(&mut self.rng).expect("a process");
            thread::sleep(Duration::from_millis(100));
        }
    }
}
