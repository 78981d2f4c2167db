//! The nodes and the discovery service of an experiment on loopback, on one thread with one event loop. The nodes are
//! the simulator's models driven by the wall clock, with the experiment's troubles.

use super::wire::{wait, Conn, Message};
use crate::experiment::{Experiment, TroubleKind};
use crate::model::discovery::{Discovery, ListEntry};
use crate::model::node::{Admission, Job, Node, State};
use crate::queue::{nanos, seconds, Nanos, Queue};
use crate::random::{uniform, Stream, Streams};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry, Token};
use passrelay_load_balancing::{EndpointState, LoadReport};
use rand::seq::SliceRandom;
use rustc_hash::FxHashMap;
use serde_json::json;
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The first poll token of connections; lower ones are listeners.
const FIRST_CONNECTION: usize = 1 << 20;

enum FleetEvent {
    CoreDone { node: u32, generation: u64 },
    JamCheck { node: u32, life: u32 },
    Publish(Box<ListEntry>),
    WatchEnds { conn: usize, serial: u64 },
    TroubleBegins(usize),
    TroubleEnds(usize),
    Release { trouble: usize, step: usize, stage: u8 },
}

/// The service that accepted a connection.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Node(u32),
    Discovery,
}

struct Peer {
    conn: Conn,
    side: Side,
    serial: u64,
    /// The list version that an open watch knows.
    since: Option<u64>,
    /// Key of the request in progress.
    in_progress: Option<(u64, u32)>,
}

/// Counters of a fleet.
#[derive(Debug, Default)]
pub struct Counts {
    /// Number of requests that nodes accepted.
    pub begun: AtomicU64,
    /// Number of requests that nodes rejected.
    pub shed: AtomicU64,
}

/// A fleet on loopback. Dropping it stops its thread.
pub struct Fleet {
    /// Address on which discovery listens.
    pub discovery: SocketAddr,
    /// Addresses on which the nodes listen.
    pub nodes: Vec<SocketAddr>,
    /// Counters, updated while the fleet runs.
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Fleet {
    /// Starts the nodes of a tier and its discovery. Troubles are timed from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or file descriptor is available.
    pub fn start(e: &Experiment, tier: usize, seed: u64) -> io::Result<Fleet> {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let mut fleet_thread = FleetThread::new(e, tier, seed, counts.clone())?;
        let (discovery, nodes) = (fleet_thread.discovery_at, fleet_thread.addresses.clone());
        let ends = stop.clone();
        let thread =
            std::thread::Builder::new().name("fleet".to_owned()).spawn(move || fleet_thread.run(&ends))?;
        Ok(Fleet { discovery, nodes, counts, stop, thread: Some(thread) })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct FleetThread {
    e: Experiment,
    tier: usize,
    poll: Poll,
    listeners: Vec<Option<TcpListener>>,
    addresses: Vec<SocketAddr>,
    discovery_at: SocketAddr,
    discovery: TcpListener,
    nodes: Vec<Node>,
    list: Discovery,
    peers: Slab<Peer>,
    serial: u64,
    at: FxHashMap<(u64, u32), usize>,
    queue: Queue<FleetEvent>,
    began: Instant,
    epoch_ms: f64,
    notice: Stream,
    streams: Streams,
    affected_nodes: Vec<Vec<u32>>,
    counts: Arc<Counts>,
    finished: Vec<usize>,
}

fn listen(registry: &Registry, at: SocketAddr, token: usize) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(at)?;
    registry.register(&mut listener, Token(token), Interest::READABLE)?;
    Ok(listener)
}

/// Formats a report as a header line; empty if there is none.
fn report_text(report: Option<LoadReport>) -> String {
    let Some(r) = report else { return String::new() };
    let fields = [("qps", r.rps), ("util", r.cpu), ("inflight", r.in_flight), ("queue", r.queued)];
    let fields = fields.iter().filter_map(|(name, v)| v.map(|v| format!("{name}={v:.4}")));
    format!("X-Load-Report: {}\r\n", fields.collect::<Vec<_>>().join(","))
}

fn answer(status: u16, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{more}\r\n{body}", body.len()).into_bytes()
}

impl FleetThread {
    fn new(e: &Experiment, tier: usize, seed: u64, counts: Arc<Counts>) -> io::Result<FleetThread> {
        let poll = Poll::new()?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let streams = Streams::new(seed);
        let (mut nodes, mut listeners, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        let spec = &e.tier[tier];
        for kind in &spec.kind {
            for _ in 0..e.scaled(kind.count) {
                let number = nodes.len();
                let listener = listen(poll.registry(), any, number)?;
                addresses.push(listener.local_addr()?);
                listeners.push(Some(listener));
                nodes.push(Node::new(number as u64, tier, 0, kind, &spec.report, &streams));
            }
        }
        let discovery = listen(poll.registry(), any, FIRST_CONNECTION - 1)?;
        let entries = (0..nodes.len() as u32).map(|node| ListEntry {
            node,
            zone: 0,
            condition: EndpointState::Running,
            started_at: None,
        });
        let mut queue = Queue::default();
        for (n, t) in e.trouble.iter().enumerate().filter(|(_, t)| e.tier_of(t) == tier) {
            queue.put(nanos(t.from_s), FleetEvent::TroubleBegins(n));
            queue.put(nanos(t.from_s + t.for_s), FleetEvent::TroubleEnds(n));
        }
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Ok(FleetThread {
            list: Discovery::new(&e.discovery, entries),
            discovery_at: discovery.local_addr()?,
            notice: streams.of("notice", 0),
            affected_nodes: vec![Vec::new(); e.trouble.len()],
            e: e.clone(),
            tier,
            poll,
            listeners,
            addresses,
            discovery,
            nodes,
            peers: Slab::new(),
            serial: 0,
            at: FxHashMap::default(),
            queue,
            began: Instant::now(),
            epoch_ms: epoch * 1e3,
            streams,
            counts,
            finished: Vec::new(),
        })
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !stop.load(Ordering::SeqCst) {
            let now = self.now();
            let due = self.queue.next_time().map(|at| Duration::from_nanos(at.saturating_sub(now)));
            wait(&mut self.poll, &mut events, due)?;
            let tokens: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            for token in tokens {
                if token >= FIRST_CONNECTION {
                    self.peer_ready(token - FIRST_CONNECTION);
                } else {
                    self.accept(token)?;
                }
            }
            let now = self.now();
            while self.queue.next_time().is_some_and(|at| at <= now) {
                if let Some(event) = self.queue.take() {
                    self.handle_event(event)?;
                }
            }
        }
        Ok(())
    }

    fn accept(&mut self, token: usize) -> io::Result<()> {
        loop {
            let (listener, side) = match token {
                t if t == FIRST_CONNECTION - 1 => (Some(&self.discovery), Side::Discovery),
                t => (self.listeners[t].as_ref(), Side::Node(t as u32)),
            };
            let Some(listener) = listener else { return Ok(()) };
            let Ok((mut sock, _)) = listener.accept() else { return Ok(()) };
            if let Side::Node(n) = side {
                let now = self.now();
                let node = &mut self.nodes[n as usize];
                if node.connections >= node.kind.connections || node.faults.cut {
                    continue;
                }
                node.connections += 1;
                node.add_background_work(now, node.kind.handshake_ms / 1e3);
                self.schedule_node_events(n);
            }
            let entry = self.peers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut sock, Token(FIRST_CONNECTION + entry.key()), interest)?;
            self.serial += 1;
            entry.insert(Peer {
                conn: Conn::new(sock),
                side,
                serial: self.serial,
                since: None,
                in_progress: None,
            });
        }
    }

    fn close_peer(&mut self, key: usize) {
        let Some(mut peer) = self.peers.try_remove(key) else { return };
        let _ = self.poll.registry().deregister(&mut peer.conn.sock);
        let now = self.now();
        if let Side::Node(n) = peer.side {
            let node = &mut self.nodes[n as usize];
            node.connections = node.connections.saturating_sub(1);
            if let Some(work) = peer.in_progress {
                self.at.remove(&work);
                self.nodes[n as usize].cancel(now, work);
                self.schedule_node_events(n);
            }
        }
    }

    fn peer_ready(&mut self, key: usize) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        if let Side::Node(n) = peer.side {
            if self.nodes[n as usize].faults.cut {
                return;
            }
        }
        let open = peer.conn.flush() && peer.conn.fill();
        loop {
            let Some(peer) = self.peers.get_mut(key) else { return };
            if peer.in_progress.is_some() || peer.since.is_some() {
                break;
            }
            match peer.conn.take(false) {
                Ok(Some(message)) => match peer.side {
                    Side::Node(n) => self.handle_request(key, n, &message),
                    Side::Discovery => self.handle_discovery_request(key, &message),
                },
                Ok(None) => break,
                Err(_) => return self.close_peer(key),
            }
        }
        if !open {
            self.close_peer(key);
        }
    }

    fn put(&mut self, key: usize, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(key) {
            if !peer.conn.put(bytes) {
                self.close_peer(key);
            }
        }
    }

    fn handle_request(&mut self, key: usize, n: u32, message: &Message) {
        let now = self.now();
        let node = &mut self.nodes[n as usize];
        if message.target == "/health" || message.target == "/status/load" {
            let (bytes, work) = if self.e.limits.probes {
                (answer(200, &report_text(node.report(now)), ""), node.kind.probe_ms / 1e3)
            } else {
                (answer(404, "", ""), 0.0)
            };
            node.add_background_work(now, work);
            self.schedule_node_events(n);
            return self.put(key, &bytes);
        }
        let class = self.e.class.iter().position(|c| c.name == message.class).unwrap_or(0);
        let spec = &self.e.class[class];
        let work = message.work.filter(|w| w.is_finite() && *w >= 0.0).unwrap_or(spec.work_ms / 1e3);
        let tier_work = self.e.tier[self.tier].work;
        let (piece, _) = node.draw_pieces(work * tier_work, spec.attempt_noise, [0.0, 0.0]);
        let id = (self.peers[key].serial, 0);
        let job = Job {
            key: id,
            from: (0, 0),
            class: class as u16,
            tenant: 0,
            work,
            deadline: Nanos::MAX,
            number: 0,
            piece,
            calls: 0,
            fails: false,
            waits: false,
        };
        match node.admit(now, job, spec.work_ms / 1e3 * tier_work, true, &self.e.rules) {
            Admission::Taken(_) => {
                self.at.insert(id, key);
                self.peers[key].in_progress = Some(id);
                self.counts.begun.fetch_add(1, Ordering::Relaxed);
                self.schedule_node_events(n);
            }
            Admission::Shed => {
                let report = report_text(self.nodes[n as usize].report(now));
                self.counts.shed.fetch_add(1, Ordering::Relaxed);
                self.put(key, &answer(503, &format!("X-Rejected: 1\r\n{report}"), ""));
            }
            Admission::Overloaded { .. } => self.kill(n),
        }
    }

    fn schedule_node_events(&mut self, n: u32) {
        let now = self.now();
        let node = &mut self.nodes[n as usize];
        node.newly_begun.clear();
        if let Some(next_check) = node.update_jam(now) {
            self.queue.put(next_check, FleetEvent::JamCheck { node: n, life: node.life });
        }
        if let Some((when, generation)) = node.next_done(now) {
            self.queue.put(when, FleetEvent::CoreDone { node: n, generation });
        }
    }

    fn core_done(&mut self, n: u32, generation: u64) {
        let now = self.now();
        if self.nodes[n as usize].generation != generation || !self.nodes[n as usize].is_running() {
            return;
        }
        let mut finished = std::mem::take(&mut self.finished);
        self.nodes[n as usize].done(now, &mut finished);
        for place in finished.drain(..) {
            let node = &mut self.nodes[n as usize];
            let Some(job) = node.remove(now, place) else { continue };
            if !job.fails {
                node.served();
            }
            let report = report_text(node.report(now));
            let Some(key) = self.at.remove(&job.key) else { continue };
            if let Some(peer) = self.peers.get_mut(key) {
                peer.in_progress = None;
            }
            let bytes = if job.fails { answer(500, &report, "") } else { answer(200, &report, "ok") };
            if !self.nodes[n as usize].faults.cut {
                self.put(key, &bytes);
            }
        }
        self.finished = finished;
        self.schedule_node_events(n);
    }

    fn kill(&mut self, n: u32) {
        let now = self.now();
        if !self.nodes[n as usize].is_running() {
            return;
        }
        self.nodes[n as usize].terminate(now);
        if let Some(mut listener) = self.listeners[n as usize].take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        let affected: Vec<usize> =
            self.peers.iter().filter(|(_, p)| p.side == Side::Node(n)).map(|(key, _)| key).collect();
        for key in affected {
            if let Some(work) = self.peers[key].in_progress.take() {
                self.at.remove(&work);
            }
            self.close_peer(key);
        }
        self.announce(n, EndpointState::Removed);
    }

    fn restart(&mut self, n: u32) -> io::Result<()> {
        if self.nodes[n as usize].is_running() {
            return Ok(());
        }
        let now = self.now();
        self.listeners[n as usize] =
            Some(listen(self.poll.registry(), self.addresses[n as usize], n as usize)?);
        self.nodes[n as usize].start(now);
        self.announce(n, EndpointState::Running);
        Ok(())
    }

    fn announce(&mut self, n: u32, condition: EndpointState) {
        let when = self.now() + nanos(uniform(self.e.discovery.notice_s, &mut self.notice));
        let started_at = self.nodes[n as usize].started_at;
        self.queue
            .put(when, FleetEvent::Publish(Box::new(ListEntry { node: n, zone: 0, condition, started_at })));
    }

    fn handle_discovery_request(&mut self, key: usize, message: &Message) {
        if self.list.down {
            return self.close_peer(key);
        }
        let query = message.target.split_once('?').map_or("", |q| q.1);
        let field = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        let since: Option<u64> = field("since").and_then(|s| s.parse().ok());
        match since {
            Some(known) if !self.list.has_changes(known) => {
                let wait_ms: f64 = field("timeout_ms").and_then(|t| t.parse().ok()).unwrap_or(1e3);
                let peer = &mut self.peers[key];
                peer.since = since;
                let serial = peer.serial;
                let ends = self.now() + nanos(wait_ms.clamp(0.0, 60e3) / 1e3);
                self.queue.put(ends, FleetEvent::WatchEnds { conn: key, serial });
            }
            _ => self.send_list(key, since),
        }
    }

    fn send_list(&mut self, key: usize, since: Option<u64>) {
        let update = self.list.update_since(since);
        let hosts: Vec<_> = (update.entries.iter())
            .map(|l| {
                let health = match l.condition {
                    EndpointState::Running => "in_service",
                    EndpointState::Draining => "terminating",
                    EndpointState::Removed => "terminated",
                };
                let started_at = l.started_at.map_or(0.0, |b| (self.epoch_ms + seconds(b) * 1e3).round());
                json!({"host": format!("s-{}", l.node), "dial": self.addresses[l.node as usize].to_string(),
                       "site": "z0", "class": "m", "block": 0, "health": health, "share": 1.0, "born_ms": started_at})
            })
            .collect();
        let body = json!({"seq": update.seq, "whole": update.is_full, "hosts": hosts}).to_string();
        self.put(key, &answer(200, "Content-Type: application/json\r\n", &body));
    }

    fn publish(&mut self, line: ListEntry) {
        self.list.publish(line);
        let watching: Vec<usize> =
            self.peers.iter().filter(|(_, p)| p.since.is_some()).map(|(key, _)| key).collect();
        for key in watching {
            let since = self.peers[key].since.take();
            self.send_list(key, since);
            self.peer_ready(key);
        }
    }

    fn handle_event(&mut self, event: FleetEvent) -> io::Result<()> {
        let now = self.now();
        match event {
            FleetEvent::CoreDone { node, generation } => self.core_done(node, generation),
            FleetEvent::JamCheck { node, life } => {
                if self.nodes[node as usize].life == life {
                    self.nodes[node as usize].catch_up(now);
                    self.schedule_node_events(node);
                }
            }
            FleetEvent::Publish(line) => self.publish(*line),
            FleetEvent::WatchEnds { conn, serial } => {
                if let Some(since) =
                    self.peers.get_mut(conn).filter(|p| p.serial == serial).and_then(|p| p.since.take())
                {
                    self.send_list(conn, Some(since));
                    self.peer_ready(conn);
                }
            }
            FleetEvent::TroubleBegins(n) => self.trouble(n, true)?,
            FleetEvent::TroubleEnds(n) => self.trouble(n, false)?,
            FleetEvent::Release { trouble, step, stage } => self.release(trouble, step, stage)?,
        }
        Ok(())
    }

    fn trouble(&mut self, n: usize, begins: bool) -> io::Result<()> {
        let now = self.now();
        let trouble = self.e.trouble[n].clone();
        if begins {
            let mut nodes: Vec<u32> = (0..self.nodes.len() as u32).collect();
            let count = (nodes.len() as f64 * trouble.part).round() as usize;
            nodes.shuffle(&mut self.streams.of("trouble", n as u64));
            nodes.truncate(count.clamp(1, self.nodes.len()));
            self.affected_nodes[n] = nodes;
        }
        let (size, name) = (trouble.size(), trouble.class.as_deref());
        let class = self.e.class.iter().position(|c| Some(c.name.as_str()) == name).map(|c| c as u16);
        for at in self.affected_nodes[n].clone() {
            let node = &mut self.nodes[at as usize];
            node.catch_up(now);
            match trouble.kind {
                TroubleKind::Slow => node.faults.slow = begins.then_some(size),
                TroubleKind::FailFast => node.faults.fails = begins.then_some((size, class)),
                TroubleKind::Gray => node.faults.gray = begins,
                TroubleKind::Cut => node.faults.cut = begins,
                TroubleKind::Jam if begins => node.jam(now),
                TroubleKind::StaleReports => node.reporter().stale = begins,
                TroubleKind::FalseReports => node.reporter().false_utilisation = begins.then_some(size),
                TroubleKind::Crash if begins => self.kill(at),
                TroubleKind::Crash => self.restart(at)?,
                _ => {}
            }
            self.schedule_node_events(at);
        }
        match trouble.kind {
            TroubleKind::DiscoveryDown => {
                self.list.down = begins;
                let affected = self.peers.iter().filter(|(_, p)| begins && p.side == Side::Discovery);
                let affected: Vec<usize> = affected.map(|(key, _)| key).collect();
                affected.into_iter().for_each(|key| self.close_peer(key));
            }
            TroubleKind::RollingRelease if begins => {
                self.queue.put(now, FleetEvent::Release { trouble: n, step: 0, stage: 0 });
            }
            _ => {}
        }
        Ok(())
    }

    fn release(&mut self, n: usize, step: usize, stage: u8) -> io::Result<()> {
        if step >= self.nodes.len() {
            return Ok(());
        }
        let (now, at) = (self.now(), step as u32);
        let each = nanos(self.e.trouble[n].for_s) / self.nodes.len() as u64;
        match stage {
            0 => {
                if self.nodes[step].is_running() {
                    self.nodes[step].state = State::Draining;
                    self.announce(at, EndpointState::Draining);
                }
                self.queue.put(now + each / 2, FleetEvent::Release { trouble: n, step, stage: 1 });
                self.queue.put(now + each, FleetEvent::Release { trouble: n, step: step + 1, stage: 0 });
            }
            1 => {
                self.kill(at);
                self.queue.put(now + each / 4, FleetEvent::Release { trouble: n, step, stage: 2 });
            }
            _ => self.restart(at)?,
        }
        Ok(())
    }
}
