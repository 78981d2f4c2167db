//! The nodes and the discovery of an experiment as stand-ins on loopback: one thread, one loop. The nodes are the
//! emulator's own models, driven by the wall clock, with the experiment's troubles.

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

/// Tokens from here on are connections; those below are listeners.
const FIRST: usize = 1 << 20;

enum Happens {
    Core { node: u32, generation: u64 },
    Crowd { node: u32, life: u32 },
    Publish(Box<ListEntry>),
    WatchEnds { conn: usize, serial: u64 },
    Begins(usize),
    Ends(usize),
    Release { trouble: usize, step: usize, stage: u8 },
}

/// Who a connection belongs to.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Node(u32),
    Discovery,
}

struct Peer {
    conn: Conn,
    side: Side,
    serial: u64,
    /// What a watch knows.
    since: Option<u64>,
    /// The request that is at work.
    at_work: Option<(u64, u32)>,
}

/// What a fleet has counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that nodes began to work on.
    pub begun: AtomicU64,
    /// Requests turned away.
    pub shed: AtomicU64,
}

/// A fleet on loopback; it ends when dropped.
pub struct Fleet {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the nodes listen.
    pub nodes: Vec<SocketAddr>,
    /// What has been counted.
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Fleet {
    /// Starts the nodes of a tier and its discovery. Troubles count from now on.
    ///
    /// # Errors
    ///
    /// Fails when no port or descriptor can be had.
    pub fn start(e: &Experiment, tier: usize, seed: u64) -> io::Result<Fleet> {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let mut ground = Ground::new(e, tier, seed, counts.clone())?;
        let (discovery, nodes) = (ground.discovery_at, ground.addresses.clone());
        let ends = stop.clone();
        let thread = std::thread::Builder::new().name("fleet".to_owned()).spawn(move || ground.run(&ends))?;
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

struct Ground {
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
    queue: Queue<Happens>,
    began: Instant,
    epoch_ms: f64,
    notice: Stream,
    streams: Streams,
    struck: Vec<Vec<u32>>,
    counts: Arc<Counts>,
    finished: Vec<usize>,
}

fn listen(registry: &Registry, at: SocketAddr, token: usize) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(at)?;
    registry.register(&mut listener, Token(token), Interest::READABLE)?;
    Ok(listener)
}

/// A report as it stands in a header.
fn report_text(report: Option<LoadReport>) -> String {
    let Some(r) = report else { return String::new() };
    let fields = [("qps", r.rps), ("util", r.cpu), ("inflight", r.in_flight), ("queue", r.queued)];
    let fields = fields.iter().filter_map(|(name, v)| v.map(|v| format!("{name}={v:.4}")));
    format!("X-Load-Report: {}\r\n", fields.collect::<Vec<_>>().join(","))
}

fn answer(status: u16, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{more}\r\n{body}", body.len()).into_bytes()
}

impl Ground {
    fn new(e: &Experiment, tier: usize, seed: u64, counts: Arc<Counts>) -> io::Result<Ground> {
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
        let discovery = listen(poll.registry(), any, FIRST - 1)?;
        let lines = (0..nodes.len() as u32).map(|node| ListEntry {
            node,
            zone: 0,
            condition: EndpointState::Running,
            started_at: None,
        });
        let mut queue = Queue::default();
        for (n, t) in e.trouble.iter().enumerate().filter(|(_, t)| e.tier_of(t) == tier) {
            queue.put(nanos(t.from_s), Happens::Begins(n));
            queue.put(nanos(t.from_s + t.for_s), Happens::Ends(n));
        }
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Ok(Ground {
            list: Discovery::new(&e.discovery, lines),
            discovery_at: discovery.local_addr()?,
            notice: streams.of("notice", 0),
            struck: vec![Vec::new(); e.trouble.len()],
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
                if token >= FIRST {
                    self.peer_ready(token - FIRST);
                } else {
                    self.let_in(token)?;
                }
            }
            let now = self.now();
            while self.queue.next_time().is_some_and(|at| at <= now) {
                if let Some(event) = self.queue.take() {
                    self.happens(event)?;
                }
            }
        }
        Ok(())
    }

    fn let_in(&mut self, token: usize) -> io::Result<()> {
        loop {
            let (listener, side) = match token {
                t if t == FIRST - 1 => (Some(&self.discovery), Side::Discovery),
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
                self.changed(n);
            }
            let entry = self.peers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut sock, Token(FIRST + entry.key()), interest)?;
            self.serial += 1;
            entry.insert(Peer {
                conn: Conn::new(sock),
                side,
                serial: self.serial,
                since: None,
                at_work: None,
            });
        }
    }

    fn drop_peer(&mut self, key: usize) {
        let Some(mut peer) = self.peers.try_remove(key) else { return };
        let _ = self.poll.registry().deregister(&mut peer.conn.sock);
        let now = self.now();
        if let Side::Node(n) = peer.side {
            let node = &mut self.nodes[n as usize];
            node.connections = node.connections.saturating_sub(1);
            if let Some(work) = peer.at_work {
                self.at.remove(&work);
                self.nodes[n as usize].cancel(now, work);
                self.changed(n);
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
            if peer.at_work.is_some() || peer.since.is_some() {
                break;
            }
            match peer.conn.take(false) {
                Ok(Some(message)) => match peer.side {
                    Side::Node(n) => self.asked(key, n, &message),
                    Side::Discovery => self.list_asked(key, &message),
                },
                Ok(None) => break,
                Err(_) => return self.drop_peer(key),
            }
        }
        if !open {
            self.drop_peer(key);
        }
    }

    fn put(&mut self, key: usize, bytes: &[u8]) {
        if let Some(peer) = self.peers.get_mut(key) {
            if !peer.conn.put(bytes) {
                self.drop_peer(key);
            }
        }
    }

    // ---- Nodes ----

    fn asked(&mut self, key: usize, n: u32, message: &Message) {
        let now = self.now();
        let node = &mut self.nodes[n as usize];
        if message.target == "/health" || message.target == "/status/load" {
            let (bytes, chore) = if self.e.limits.probes {
                (answer(200, &report_text(node.report(now)), ""), node.kind.probe_ms / 1e3)
            } else {
                (answer(404, "", ""), 0.0)
            };
            node.add_background_work(now, chore);
            self.changed(n);
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
                self.peers[key].at_work = Some(id);
                self.counts.begun.fetch_add(1, Ordering::Relaxed);
                self.changed(n);
            }
            Admission::Shed => {
                let report = report_text(self.nodes[n as usize].report(now));
                self.counts.shed.fetch_add(1, Ordering::Relaxed);
                self.put(key, &answer(503, &format!("X-Rejected: 1\r\n{report}"), ""));
            }
            Admission::Overloaded { .. } => self.kill(n),
        }
    }

    fn changed(&mut self, n: u32) {
        let now = self.now();
        let node = &mut self.nodes[n as usize];
        node.newly_begun.clear();
        if let Some(look) = node.update_jam(now) {
            self.queue.put(look, Happens::Crowd { node: n, life: node.life });
        }
        if let Some((when, generation)) = node.next_done(now) {
            self.queue.put(when, Happens::Core { node: n, generation });
        }
    }

    fn core(&mut self, n: u32, generation: u64) {
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
                peer.at_work = None;
            }
            let bytes = if job.fails { answer(500, &report, "") } else { answer(200, &report, "ok") };
            if !self.nodes[n as usize].faults.cut {
                self.put(key, &bytes);
            }
        }
        self.finished = finished;
        self.changed(n);
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
        let own: Vec<usize> =
            self.peers.iter().filter(|(_, p)| p.side == Side::Node(n)).map(|(key, _)| key).collect();
        for key in own {
            if let Some(work) = self.peers[key].at_work.take() {
                self.at.remove(&work);
            }
            self.drop_peer(key);
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
            .put(when, Happens::Publish(Box::new(ListEntry { node: n, zone: 0, condition, started_at })));
    }

    // ---- Discovery ----

    fn list_asked(&mut self, key: usize, message: &Message) {
        if self.list.down {
            return self.drop_peer(key);
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
                self.queue.put(ends, Happens::WatchEnds { conn: key, serial });
            }
            _ => self.tell(key, since),
        }
    }

    fn tell(&mut self, key: usize, since: Option<u64>) {
        let told = self.list.update_since(since);
        let hosts: Vec<_> = (told.entries.iter())
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
        let body = json!({"seq": told.seq, "whole": told.is_full, "hosts": hosts}).to_string();
        self.put(key, &answer(200, "Content-Type: application/json\r\n", &body));
    }

    fn publish(&mut self, line: ListEntry) {
        self.list.publish(line);
        let watching: Vec<usize> =
            self.peers.iter().filter(|(_, p)| p.since.is_some()).map(|(key, _)| key).collect();
        for key in watching {
            let since = self.peers[key].since.take();
            self.tell(key, since);
            self.peer_ready(key);
        }
    }

    // ---- Troubles ----

    fn happens(&mut self, event: Happens) -> io::Result<()> {
        let now = self.now();
        match event {
            Happens::Core { node, generation } => self.core(node, generation),
            Happens::Crowd { node, life } => {
                if self.nodes[node as usize].life == life {
                    self.nodes[node as usize].catch_up(now);
                    self.changed(node);
                }
            }
            Happens::Publish(line) => self.publish(*line),
            Happens::WatchEnds { conn, serial } => {
                if let Some(since) =
                    self.peers.get_mut(conn).filter(|p| p.serial == serial).and_then(|p| p.since.take())
                {
                    self.tell(conn, Some(since));
                    self.peer_ready(conn);
                }
            }
            Happens::Begins(n) => self.trouble(n, true)?,
            Happens::Ends(n) => self.trouble(n, false)?,
            Happens::Release { trouble, step, stage } => self.release(trouble, step, stage)?,
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
            self.struck[n] = nodes;
        }
        let (size, name) = (trouble.size(), trouble.class.as_deref());
        let class = self.e.class.iter().position(|c| Some(c.name.as_str()) == name).map(|c| c as u16);
        for at in self.struck[n].clone() {
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
            self.changed(at);
        }
        match trouble.kind {
            TroubleKind::DiscoveryDown => {
                self.list.down = begins;
                let own = self.peers.iter().filter(|(_, p)| begins && p.side == Side::Discovery);
                let own: Vec<usize> = own.map(|(key, _)| key).collect();
                own.into_iter().for_each(|key| self.drop_peer(key));
            }
            TroubleKind::RollingRelease if begins => {
                self.queue.put(now, Happens::Release { trouble: n, step: 0, stage: 0 });
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
                self.queue.put(now + each / 2, Happens::Release { trouble: n, step, stage: 1 });
                self.queue.put(now + each, Happens::Release { trouble: n, step: step + 1, stage: 0 });
            }
            1 => {
                self.kill(at);
                self.queue.put(now + each / 4, Happens::Release { trouble: n, step, stage: 2 });
            }
            _ => self.restart(at)?,
        }
        Ok(())
    }
}
