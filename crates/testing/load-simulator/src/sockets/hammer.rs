//! Measurement of a relay's maximum throughput: a closed-loop load without pauses, and nodes that answer at once.

use super::wire::{wait, Conn};
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The first poll token of connections; lower ones are listeners.
const FIRST_CONNECTION: usize = 1 << 20;
const NODE_ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load-Report: qps=100,util=0.3\r\n\r\nok";

/// Nodes that answer at once, with a discovery service. Dropping them stops their thread.
pub struct FastNodes {
    /// Addresses on which the nodes listen.
    pub addresses: Vec<SocketAddr>,
    /// Address of the discovery service that lists the nodes.
    pub discovery: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl FastNodes {
    /// Starts `count` nodes and discovery on one thread.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or the thread cannot be started.
    pub fn start(count: usize) -> io::Result<FastNodes> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        // The last listener is that of discovery.
        for n in 0..=count {
            let mut listener = TcpListener::bind(([127, 0, 0, 1], 0).into())?;
            poll.registry().register(&mut listener, Token(n), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let (discovery, nodes) = (addresses[count], addresses[..count].to_vec());
        let hosts: Vec<_> = (nodes.iter().enumerate())
            .map(|(n, at)| {
                serde_json::json!({"host": format!("s-{n}"), "dial": at.to_string(), "site": "z0", "class": "m",
                    "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0})
            })
            .collect();
        let body = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
        let stop = Arc::new(AtomicBool::new(false));
        let ends = stop.clone();
        let serve = move || serve(poll, &listeners, count, &list, &ends);
        let thread = std::thread::Builder::new().name("fast-nodes".to_owned()).spawn(serve)?;
        Ok(FastNodes { addresses: nodes, discovery, stop, thread: Some(thread) })
    }
}

impl Drop for FastNodes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    mut poll: Poll,
    listeners: &[TcpListener],
    discovery: usize,
    list: &[u8],
    stop: &AtomicBool,
) -> io::Result<()> {
    let mut conns: Slab<(Conn, bool)> = Slab::new();
    let mut events = Events::with_capacity(1024);
    while !stop.load(Ordering::SeqCst) {
        wait(&mut poll, &mut events, None)?;
        for event in &events {
            let token = event.token().0;
            if token < FIRST_CONNECTION {
                while let Ok((mut sock, _)) = listeners[token].accept() {
                    let entry = conns.vacant_entry();
                    poll.registry().register(
                        &mut sock,
                        Token(FIRST_CONNECTION + entry.key()),
                        Interest::READABLE,
                    )?;
                    entry.insert((Conn::new(sock), token == discovery));
                }
                continue;
            }
            let Some((conn, lists)) = conns.get_mut(token - FIRST_CONNECTION) else { continue };
            let open = conn.fill();
            while let Ok(Some(message)) = conn.take(false) {
                // A watch is never answered, as the list doesn't change.
                if !*lists {
                    conn.put(NODE_ANSWER);
                } else if !message.target.contains("since=1") {
                    conn.put(list);
                }
            }
            if !open {
                if let Some((mut conn, _)) = conns.try_remove(token - FIRST_CONNECTION) {
                    let _ = poll.registry().deregister(&mut conn.sock);
                }
            }
        }
    }
    Ok(())
}

/// Result of a closed-loop measurement.
#[derive(Clone, Debug)]
pub struct ClosedLoopResult {
    /// Number of requests answered with status 200 in the measured time.
    pub served: u64,
    /// Number of other answers in the measured time.
    pub others: u64,
    /// Measured time in seconds.
    pub seconds: f64,
    /// Latency of all answers in microseconds.
    pub latency: Histogram<u64>,
}

/// Sends requests as fast as answers arrive, over `callers` connections that are distributed over `targets`. The first
/// fifth of the time is not measured; `at_start` is called when the measurement begins.
///
/// # Errors
///
/// Returns an error if a connection cannot be made or is closed by its target.
pub fn hammer(
    targets: &[SocketAddr],
    callers: usize,
    time: Duration,
    mut at_start: impl FnMut(),
) -> io::Result<ClosedLoopResult> {
    let mut poll = Poll::new()?;
    let mut conns = Vec::new();
    let mut number = 0u64;
    let run = u64::from(std::process::id());
    let mut request = || {
        number += 1;
        format!(
            "GET /look/x HTTP/1.1\r\nHost: sidecar\r\nX-Call-Id: {run:08x}{number:08x}\r\nX-Call-Class: look\r\n\
             X-Caller: acme\r\nX-Budget: 5\r\n\r\n"
        )
    };
    for n in 0..callers {
        let mut sock = TcpStream::connect(targets[n % targets.len()])?;
        poll.registry().register(&mut sock, Token(n), Interest::READABLE | Interest::WRITABLE)?;
        conns.push((Conn::new(sock), None::<Instant>));
    }
    let (began, warm) = (Instant::now(), time / 5);
    let latency = Histogram::new(3).expect("3 significant digits are valid");
    let mut result = ClosedLoopResult { served: 0, others: 0, seconds: 0.0, latency };
    let mut since = None;
    let mut events = Events::with_capacity(1024);
    while began.elapsed() < time {
        wait(&mut poll, &mut events, None)?;
        if since.is_none() && began.elapsed() >= warm {
            since = Some(Instant::now());
            at_start();
        }
        for event in &events {
            let (conn, sent) = &mut conns[event.token().0];
            let open = conn.flush() && conn.fill();
            if let Ok(Some(message)) = conn.take(true) {
                if let (Some(_), Some(sent)) = (since, sent.take()) {
                    let us = sent.elapsed().as_micros() as u64;
                    result.latency.record(us.max(1)).expect("a resizing histogram accepts any value");
                    result.served += u64::from(message.status == 200);
                    result.others += u64::from(message.status != 200);
                }
                *sent = None;
            }
            if !open {
                return Err(io::Error::new(ErrorKind::ConnectionReset, "the target closed a connection"));
            }
            if sent.is_none() {
                *sent = Some(Instant::now());
                conn.put(request().as_bytes());
            }
        }
    }
    result.seconds = since.map_or(0.0, |s| s.elapsed().as_secs_f64());
    Ok(result)
}
