//! All connections of the sidecar: to clients, to nodes and to discovery.
//!
//! [`Connections`] implements [`Transport`], which carries out the dispatcher's decisions. What happens on
//! the connections is queued as [`ConnectionEvent`]s for the dispatcher.

use crate::buffer_pool::BufferPool;
use crate::client_connection::ClientConnection;
use crate::discovery_client::DiscoveryClient;
use crate::http::{response_head, Head};
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

/// Fraction of the nodes' idle timeout after which the sidecar closes idle connections. The sidecar closes
/// first, so that no request is sent on a connection that the node is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// A timer on the timer wheel. Attempts and serial numbers identify timers that no longer apply.
#[derive(Clone, Copy)]
pub enum Timer {
    Dispatcher(dispatcher::Timer),
    /// The connect timeout of an upstream connection. The attempt tells it from a later connection in the
    /// same slot.
    ConnectTimeout(usize, Attempt),
    /// The upstream connection with this serial number missed the connect timeout and is now closed for good.
    LateConnectTimeout(usize, u64),
    /// The timeout of a health check.
    HealthCheckTimeout(usize, Attempt),
    /// A reused connection has shown no failure in the meantime: the last byte of its attempt may be sent.
    SendLastByte(usize, Attempt),
    /// The next call to discovery is due.
    DiscoveryCall,
    /// The timeout of the discovery call with this number.
    DiscoveryTimeout(u64),
    /// Connections are checked for timeouts, and the listener is retried.
    Sweep,
    /// The counters are logged.
    LogCounters,
    /// After SIGTERM: no more connections arrive, and the listener closes.
    CloseListener,
    /// After SIGTERM: idle client connections close, and the others close with their response.
    CloseIdleClients,
    /// After SIGTERM: all pending requests are answered now.
    AnswerPending,
    /// After SIGTERM: the process exits.
    Exit,
}

/// An event on a connection that the dispatcher has not handled yet.
pub enum ConnectionEvent {
    AttemptOutcome {
        id: RequestId,
        number: u32,
        ending: Ending,
    },
    HealthCheckOutcome {
        node: UpstreamId,
        ending: Ending,
    },
    DiscoveryFailed,
    /// A call to discovery was started; its request has to be written.
    DiscoveryCallStarted,
    /// The attempt on this upstream connection ended while it was being started.
    AttemptEnded {
        upstream: usize,
        attempt: Attempt,
        result: AttemptResult,
    },
    /// The client has received its response; the next request may be buffered already.
    ClientReady {
        client: usize,
    },
}

/// Work that continues in the next turn of the event loop without an event from the poller. The serial number
/// tells the slot's connection from a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Continuation {
    /// Discarding of a client's input after its last response.
    DrainInput(usize, u64),
    /// The relay of an upstream connection.
    Relay(usize, u64),
}

/// A request without a response yet.
struct PendingRequest {
    /// Key of the client's connection.
    client: usize,
    head: Head,
    /// When the client's budget ends, in seconds on the loop's clock.
    deadline: f64,
}

/// Returns the client's id of a request; empty if it is absent.
pub fn call_id(head: &Head) -> &str {
    head.header("x-call-id").unwrap_or("")
}

/// All connections of the sidecar and the state that they share.
pub struct Connections {
    registry: Registry,
    pub timers: TimerWheel<Timer>,
    pub buffers: BufferPool,
    pub clients: Slab<ClientConnection>,
    pub upstreams: Slab<UpstreamConnection>,
    pub pools: Pools,
    pub discovery: DiscoveryClient,
    pub log: Log,
    /// Number of responses of nodes that could not be used, since the start of the process.
    pub invalid_responses: u64,
    /// Events that the dispatcher has not handled yet.
    pub events: VecDeque<ConnectionEvent>,
    pub continuations: BTreeSet<Continuation>,
    /// Time of the current turn, in seconds on the loop's clock.
    pub now: f64,
    /// Serial number of the last accepted client connection.
    last_client_serial: u64,
    /// Serial number of the last upstream connection.
    last_upstream_serial: u64,
    /// Whether responses close their connections: after the shutdown has closed idle clients, or in standby.
    pub close_after_response: bool,
    /// Name of the sidecar, sent to discovery.
    name: String,
    pending_requests: HashMap<RequestId, PendingRequest>,
    /// The clients' ids of the pending requests.
    call_ids: HashSet<String>,
    /// Key of the upstream connection of each attempt in flight.
    in_flight: HashMap<(RequestId, u32), usize>,
    /// Body of the response that the dispatcher is about to give; set while it handles an outcome.
    pub response_body: Option<ResponseBody>,
    /// Key of the upstream connection whose served response is about to be streamed; set while the dispatcher
    /// handles its outcome.
    pub streamed_upstream: Option<usize>,
    max_upstreams: usize,
    connect_timeout: f64,
    upstream_idle_timeout: f64,
}

/// Limits of connections; times in seconds.
pub struct ConnectionLimits {
    pub max_upstreams: usize,
    pub connect_timeout: f64,
    /// Time after which a node closes an idle connection.
    pub node_idle_timeout: f64,
}

impl Connections {
    pub fn new(
        registry: Registry,
        tick: f64,
        discovery: DiscoveryClient,
        log: Log,
        name: &str,
        limits: &ConnectionLimits,
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
            invalid_responses: 0,
            events: VecDeque::new(),
            continuations: BTreeSet::new(),
            now: 0.0,
            last_client_serial: 0,
            last_upstream_serial: 0,
            close_after_response: false,
            name: name.to_owned(),
            pending_requests: HashMap::new(),
            call_ids: HashSet::new(),
            in_flight: HashMap::new(),
            response_body: None,
            streamed_upstream: None,
            max_upstreams: limits.max_upstreams,
            connect_timeout: limits.connect_timeout,
            upstream_idle_timeout: limits.node_idle_timeout * IDLE_TIMEOUT_FRACTION,
        }
    }

    pub fn log_event(&mut self, level: &str, event: &str, values: &[(&str, &dyn Display)]) {
        self.log.write_event(self.now, level, event, values);
    }

    /// Runs the work that was left for this turn.
    pub fn run_continuations(&mut self) {
        for continuation in std::mem::take(&mut self.continuations) {
            match continuation {
                Continuation::DrainInput(key, serial) => {
                    if self.clients.get(key).is_some_and(|client| client.serial == serial) {
                        self.drain_input(key);
                    }
                }
                Continuation::Relay(upstream, serial) => {
                    if self.upstreams.get(upstream).is_some_and(|upstream| upstream.serial == serial) {
                        self.pump_relay(upstream);
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
        if let Some(key) = self.in_flight.remove(&(id, number)) {
            self.close_upstream(key);
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let body = self.response_body.take();
        let Some(key) = self.untrack_request(id) else { return };
        if let (Answer::Served { .. }, Some(upstream)) = (answer, self.streamed_upstream) {
            self.streamed_upstream = None;
            body.into_iter().for_each(|body| self.buffers.release(body.buffer));
            return self.open_relay(key, upstream);
        }
        match (answer, body) {
            (Answer::Served { .. }, Some(ResponseBody { buffer, range, content_type })) => {
                let Some(client) = self.clients.get_mut(key) else { return self.buffers.release(buffer) };
                client.close |= self.close_after_response;
                let headers: Vec<(&str, &dyn Display)> =
                    content_type.iter().map(|value| ("Content-Type", value as &dyn Display)).collect();
                let head = response_head(200, range.len(), client.close, &headers);
                client.set_response(self.now, head, Some((buffer, range)));
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
        self.start_attempt(node, Attempt::HealthCheck { sent_at: self.now });
    }

    fn subscribe(&mut self) {
        self.discovery.subscribed = true;
        self.call_discovery();
    }

    fn set_timer(&mut self, at: f64, timer: dispatcher::Timer) {
        self.timers.schedule(at, Timer::Dispatcher(timer));
    }
}

#[cfg(test)]
mod tests;
