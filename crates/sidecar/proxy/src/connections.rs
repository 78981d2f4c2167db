//! All connections of the sidecar, to clients, nodes and discovery. Implements [`Transport`]: carries out what the dispatcher decides,
//! and queues what happens on the connections as [`ConnectionEvent`]s.

use crate::buffer_pool::BufferPool;
use crate::client_connection::ClientConnection;
use crate::discovery_client::DiscoveryClient;
use crate::http::{answer_head, Head};
use crate::log::Log;
use crate::pool::{Attempt, AttemptResult, Pools, ResponseBody, UpstreamConnection};
use crate::timer_wheel::TimerWheel;
use mio::Registry;
use passrelay_load_balancing::dispatcher::{self, Answer, Transport};
use passrelay_load_balancing::{Ending, RequestId, UpstreamId};
use slab::Slab;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt::Display;

mod clients;
mod discovery;
mod relays;
mod tokens;
mod upstreams;

pub use tokens::{generation, owner, Owner, DISCOVERY, LISTENER, SIGNALS};

/// Idle connections are closed at this fraction of the nodes' idle timeout, so that the sidecar closes first and no request meets a
/// connection that the node is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// What fires on the timer wheel.
#[derive(Clone, Copy)]
pub enum Timer {
    Dispatcher(dispatcher::Timer),
    /// A connection to a node should be up by now; the number tells its attempt from a later one.
    Dial(usize, Attempt),
    /// A connection that is late, with this number, is given up for good.
    Late(usize, u64),
    /// A probe should be back.
    Probe(usize, Attempt),
    /// A kept connection has shown no fault: the last byte of its attempt may go out.
    LastByte(usize, Attempt),
    /// The next call to discovery.
    Ask,
    /// Discovery should have answered call N.
    Overdue(u64),
    /// Idle and slow connections are looked through, and the listener is tried again.
    Sweep,
    /// Figures go to the log.
    Figures,
    /// After SIGTERM: arrivals have ended.
    CloseListener,
    /// After SIGTERM: kept connections have had their time.
    LastCall,
    /// After SIGTERM: what is owed has to be answered now.
    AnswersDue,
    /// After SIGTERM: the process ends.
    Exit,
}

/// An event on a connection that the dispatcher has not handled yet.
pub enum ConnectionEvent {
    AttemptOutcome {
        id: RequestId,
        number: u32,
        ending: Ending,
    },
    ProbeOutcome {
        node: UpstreamId,
        ending: Ending,
    },
    DiscoveryFailed,
    /// A call to discovery goes out on a connection that is up.
    DiscoveryRequested,
    /// The attempt of this upstream ended while it was set out.
    AttemptEnded {
        upstream: usize,
        attempt: Attempt,
        end: AttemptResult,
    },
    /// This client has had its answer and may already hold the next request.
    ClientReady {
        client: usize,
    },
}

/// Work that continues in the next turn without an event of the poller. The number tells the slot's connection from a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Continuation {
    /// A client's connection after its last answer, with bytes that lie unread.
    DrainInput(usize, u64),
    /// The relay of a node's connection.
    Pump(usize, u64),
}

/// A request without an answer yet.
struct Pending {
    client: usize,
    head: Head,
    deadline: f64,
}

/// The client's own id of a request.
pub fn call_id(head: &Head) -> &str {
    head.header("x-call-id").unwrap_or("")
}

/// All connections.
pub struct Connections {
    registry: Registry,
    pub timers: TimerWheel<Timer>,
    pub buffers: BufferPool,
    pub clients: Slab<ClientConnection>,
    pub upstreams: Slab<UpstreamConnection>,
    pub pools: Pools,
    pub discovery: DiscoveryClient,
    pub log: Log,
    pub events: VecDeque<ConnectionEvent>,
    pub continuations: BTreeSet<Continuation>,
    pub now: f64,
    /// Clients let in so far.
    accept: u64,
    /// Connections to nodes begun so far.
    dialed: u64,
    /// Answers say that the connection closes: after SIGTERM's last call, or in standby.
    pub closing: bool,
    name: String,
    pending: HashMap<RequestId, Pending>,
    /// The clients' ids of these.
    call_ids: HashSet<String>,
    /// Where each attempt is.
    out: HashMap<(RequestId, u32), usize>,
    /// The body of the answer that is about to be given.
    pub load: Option<ResponseBody>,
    /// The upstream whose served answer is about to be passed on while it comes.
    pub stream: Option<usize>,
    max_upstreams: usize,
    connect_timeout: f64,
    conn_idle: f64,
}

/// Limits of connections; times in seconds.
pub struct Bounds {
    pub max_upstreams: usize,
    pub connect_timeout: f64,
    pub conn_idle: f64,
}

impl Connections {
    pub fn new(
        registry: Registry,
        tick: f64,
        discovery: DiscoveryClient,
        log: Log,
        name: &str,
        bounds: &Bounds,
    ) -> Self {
        Connections {
            registry,
            timers: TimerWheel::new(tick),
            buffers: BufferPool::default(),
            clients: Slab::new(),
            upstreams: Slab::new(),
            pools: Pools::default(),
            discovery,
            log,
            events: VecDeque::new(),
            continuations: BTreeSet::new(),
            now: 0.0,
            accept: 0,
            dialed: 0,
            closing: false,
            name: name.to_owned(),
            pending: HashMap::new(),
            call_ids: HashSet::new(),
            out: HashMap::new(),
            load: None,
            stream: None,
            max_upstreams: bounds.max_upstreams,
            connect_timeout: bounds.connect_timeout,
            conn_idle: bounds.conn_idle * IDLE_TIMEOUT_FRACTION,
        }
    }

    pub fn log_event(&mut self, level: &str, event: &str, values: &[(&str, &dyn Display)]) {
        self.log.line(self.now, level, event, values);
    }

    /// Goes on with what was left for this turn.
    pub fn run_continuations(&mut self) {
        for continuations in std::mem::take(&mut self.continuations) {
            match continuations {
                Continuation::DrainInput(key, number) => {
                    if self.clients.get(key).is_some_and(|k| k.number == number) {
                        self.drain_input(key);
                    }
                }
                Continuation::Pump(upstream, number) => {
                    if self.upstreams.get(upstream).is_some_and(|b| b.number == number) {
                        self.pump(upstream);
                    }
                }
            }
        }
    }
}

impl Transport for Connections {
    fn send(&mut self, id: RequestId, number: u32, to: UpstreamId) {
        self.start_attempt(to, Attempt::Request { id, number });
    }

    fn cancel(&mut self, id: RequestId, number: u32) {
        if let Some(key) = self.out.remove(&(id, number)) {
            self.close_upstream(key);
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let load = self.load.take();
        let Some(key) = self.untrack_request(id) else { return };
        if let (Answer::Served { .. }, Some(upstream)) = (answer, self.stream) {
            self.stream = None;
            load.into_iter().for_each(|l| self.buffers.give_back(l.buffer));
            return self.open_relay(key, upstream);
        }
        match (answer, load) {
            (Answer::Served { .. }, Some(ResponseBody { buffer, body, media })) => {
                let Some(client) = self.clients.get_mut(key) else { return self.buffers.give_back(buffer) };
                client.close |= self.closing;
                let fields: Vec<(&str, &dyn Display)> =
                    media.iter().map(|m| ("Content-Type", m as &dyn Display)).collect();
                let head = answer_head(200, body.len(), client.close, &fields);
                client.reply(self.now, head, Some((buffer, body)));
                self.write_out(key);
            }
            (Answer::Rejected { retry_after: Some(wait) }, _) => {
                self.respond(key, 503, "refused, come again later\n", &[("Retry-After", &wait)]);
            }
            (Answer::Rejected { retry_after: None }, _) => {
                self.respond(key, 503, "refused, come again later\n", &[]);
            }
            (Answer::Invalid, _) => self.respond(key, 400, "the node finds the request at fault\n", &[]),
            (Answer::Failed { timed_out: true }, _) => self.respond(key, 504, "no answer in time\n", &[]),
            (Answer::Failed { timed_out: false } | Answer::Served { .. }, _) => {
                self.respond(key, 502, "failed\n", &[]);
            }
        }
    }

    fn health_check(&mut self, node: UpstreamId) {
        self.start_attempt(node, Attempt::Probe { sent: self.now });
    }

    fn subscribe(&mut self) {
        self.discovery.wanted = true;
        self.ask();
    }

    fn set_timer(&mut self, at: f64, timer: dispatcher::Timer) {
        self.timers.set(at, Timer::Dispatcher(timer));
    }
}

#[cfg(test)]
mod tests;
