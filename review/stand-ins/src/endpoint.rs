//! A stand-in endpoint: it registers with heartbeats, runs requests, says `draining` before a planned end, and ends.

use crate::http::{call, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that an endpoint has started to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub endpoint: String,
    pub id: String,
    pub head: Message,
}

/// What an endpoint does with a request that it runs: writes its answer, or not. Returns whether the connection stays.
pub type Work = dyn Fn(&Endpoint, &Message, &mut TcpStream) -> bool + Send + Sync;

pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    ended: AtomicBool,
    sequence: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Endpoint {
    pub fn start(
        id: &str,
        service: &str,
        record: &Arc<Record>,
        work: Arc<Work>,
    ) -> Result<Arc<Endpoint>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let endpoint = Arc::new(Endpoint {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            runs: Mutex::default(),
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            open: Mutex::default(),
            record: record.clone(),
        });
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (serving, work) = (serving.clone(), work.clone());
                if let Ok(copy) = stream.try_clone() {
                    serving.open.lock().unwrap().push(copy);
                }
                std::thread::spawn(move || serving.serve(stream, &*work));
            }
        });
        Ok(endpoint)
    }

    fn serve(&self, mut stream: TcpStream, work: &Work) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = Message::read_request(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                break;
            }
            let id = request.header("x-passrelay-request-id").unwrap_or("").to_owned();
            if request.header("x-passrelay-target-instance").is_some_and(|target| target != self.id) {
                let _ = write!(
                    stream,
                    "HTTP/1.1 421 Misdirected\r\nX-Passrelay-Request-Id: {id}\r\nX-Passrelay-Not-Executed: other\r\nContent-Length: 0\r\n\r\n"
                );
                continue;
            }
            let run =
                Run { at: Instant::now(), endpoint: self.id.clone(), id: id.clone(), head: request.clone() };
            self.record.line(&format!("{} runs request {id} {}", self.id, request.start_line));
            self.runs.lock().unwrap().push(run);
            if !work(self, &request, &mut stream) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Sends one heartbeat. Returns whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr, state: &str, version: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"sala-norte\",\"generation\":\"{version}\",\"capacity\":64,\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address
        );
        let path = format!("/instances/{}", self.id);
        let answer =
            call(control, "PUT", &path, "Content-Type: application/json\r\n", &body, Duration::from_secs(1));
        answer.is_some_and(|answer| (200..300).contains(&answer.status))
    }

    /// Says that the endpoint leaves for good. Returns whether that was acknowledged.
    pub fn deregister(&self, control: SocketAddr) -> bool {
        let answer =
            call(control, "DELETE", &format!("/instances/{}", self.id), "", "", Duration::from_secs(1));
        answer.is_some_and(|answer| (200..300).contains(&answer.status))
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends the endpoint: its connections close, and it accepts no more.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the accept loop, which drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The head of an answer that the endpoint gives after it ran a request.
pub fn answer_head(id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Passrelay-Request-Id: {id}\r\nX-Passrelay-Response-Seal: seal-{id}\r\n\
         X-Passrelay-Instance-Load: 1,0,64\r\n{more}\r\n"
    )
}
