//! Connections to endpoints: opened on demand and reused while the endpoint keeps them open.

use crate::listener::limit_receive_buffer;
use crate::logging::{log_event, Quoted};
use crate::response_validator::{ResponseValidator, MAX_RESPONSE_HEAD_BYTES};
use crate::stored_body::OutboundBody;
use crate::tasks::Spawner;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Method, Request, Response};
use passrelay_response_head::{MalformedHead, RequestKind};
use serde_json::{json, Value};
use smol::net::TcpStream;
use smol::Timer;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between a response and the reuse of its connection, because an endpoint may send a surplus second
/// response some milliseconds late.
const REUSE_DELAY: Duration = Duration::from_millis(12);
/// Idle timeout of a connection whose endpoint specifies none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum idle timeout that an endpoint may specify in `Keep-Alive`, in seconds.
const MAX_IDLE_TIMEOUT_S: f64 = 60.0;
/// Time before the end of the `Keep-Alive` timeout from which on a connection is not reused, in seconds: the
/// endpoint may close it while the request is in flight.
const IDLE_MARGIN_S: f64 = 0.3;
/// Maximum size of the buffers of a connection, for the response and for the request, in bytes.
const MAX_BUFFER_BYTES: usize = MAX_RESPONSE_HEAD_BYTES;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// A request to an endpoint.
pub type UpstreamRequest = Request<OutboundBody>;

/// Error of a request that received no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No part of the request was written, so it was not executed.
    #[error("the request was not sent")]
    NotSent,
    /// The request was written at least partly, so it may have been executed.
    #[error("the connection broke after the request was sent")]
    ConnectionBroken,
    /// The head of the response is malformed. The request was written, so it may have been executed.
    #[error("the response is malformed: {0}")]
    MalformedHead(#[from] MalformedHead),
}

/// A connection that can carry one request at a time.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    validator: ResponseValidator,
    address: SocketAddrV4,
    idle_timeout: Duration,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which tells whether the request may have been executed.
    pub async fn send(&mut self, request: UpstreamRequest) -> Result<Response<Incoming>, SendError> {
        let is_head = request.method() == Method::HEAD;
        self.validator.expect_response(if is_head { RequestKind::Head } else { RequestKind::Other });
        match self.sender.try_send_request(request).await {
            // The library has read bytes that came before the request and belong to no response.
            Ok(_) if !self.validator.has_passed_head() => Err(SendError::ConnectionBroken),
            Ok(response) => {
                self.apply_keep_alive(&response);
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => self.validator.fault().map_or(SendError::ConnectionBroken, SendError::MalformedHead),
            }),
        }
    }

    /// Applies the idle timeout that the endpoint specifies in `Keep-Alive`.
    fn apply_keep_alive(&mut self, response: &Response<Incoming>) {
        let keep_alive = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = keep_alive.and_then(|text| {
            let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
            timeout.parse::<f64>().ok()
        });
        if let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) {
            let usable = (seconds - IDLE_MARGIN_S).clamp(0.0, MAX_IDLE_TIMEOUT_S);
            self.idle_timeout = Duration::from_secs_f64(usable);
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Duration,
}

impl IdleConnection {
    fn is_usable(&self, now: Duration) -> bool {
        !self.connection.sender.is_closed()
            && now.saturating_sub(self.idle_since) < self.connection.idle_timeout
    }

    fn can_carry_request(&self, now: Duration) -> bool {
        now.saturating_sub(self.idle_since) >= REUSE_DELAY && self.connection.sender.is_ready()
    }
}

/// Pool of idle connections, by address of the endpoint.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    /// Number of open connections, idle or not.
    open: Rc<Cell<usize>>,
    max_connections: usize,
}

impl ConnectionPool {
    /// Creates an empty pool. Together with the connections in use there are at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        ConnectionPool { idle: RefCell::default(), open: Rc::default(), max_connections }
    }

    /// Returns the numbers of connections as JSON, for operators.
    pub fn status(&self) -> Value {
        json!({ "open": self.open.get(), "limit": self.max_connections })
    }

    /// Returns whether a connection to `address` is idle or one can be opened, for which another idle one may be dropped.
    pub fn has_capacity_for(&self, address: SocketAddrV4) -> bool {
        if self.open.get() < self.max_connections {
            return true;
        }
        let mut by_address = self.idle.borrow_mut();
        if by_address.get(&address).is_some_and(|idle| !idle.is_empty()) {
            return true;
        }
        let since = |idle: &Vec<IdleConnection>| idle.first().map(|connection| connection.idle_since);
        let longest = by_address.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| since(idle));
        let Some(idle) = longest else { return false };
        idle.remove(0);
        true
    }

    /// Takes the most recently used idle connection to an address that can carry a request, if there is one.
    pub fn take(&self, now: Duration, address: SocketAddrV4) -> Option<Connection> {
        let mut by_address = self.idle.borrow_mut();
        let idle = by_address.get_mut(&address)?;
        idle.retain(|idle| idle.is_usable(now));
        let index = idle.iter().rposition(|idle| idle.can_carry_request(now))?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool after its response has been read completely. Drops it if it cannot be reused
    /// or the pool holds [`MAX_IDLE_PER_ENDPOINT`] connections to the address.
    pub fn put(&self, now: Duration, mut connection: Connection) {
        if connection.sender.is_closed() || connection.idle_timeout.is_zero() {
            return;
        }
        connection.is_reused = true;
        let mut by_address = self.idle.borrow_mut();
        let idle = by_address.entry(connection.address).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT {
            idle.push(IdleConnection { connection, idle_since: now });
        }
    }

    /// Drops closed connections and those whose idle timeout has expired.
    pub fn sweep(&self, now: Duration) {
        let mut by_address = self.idle.borrow_mut();
        for idle in by_address.values_mut() {
            idle.retain(|idle| idle.is_usable(now));
        }
        by_address.retain(|_, idle| !idle.is_empty());
    }

    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's or the HTTP library's error, or a timeout after [`CONNECT_TIMEOUT`].
    pub async fn connect(&self, spawner: Spawner, address: SocketAddrV4) -> std::io::Result<Connection> {
        let connect = async {
            let stream = TcpStream::connect(SocketAddr::V4(address)).await?;
            stream.set_nodelay(true)?;
            limit_receive_buffer(&stream);
            Ok(stream)
        };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream: std::io::Result<TcpStream> = smol::future::or(connect, timeout).await;
        let validator = ResponseValidator::default();
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(validator.validate(stream?)))
            .await
            .map_err(std::io::Error::other)?;
        let counted = OpenConnection::count(&self.open);
        spawner.spawn_bounded(async move {
            let _counted = counted;
            if let Err(error) = connection.await {
                log_event!(debug, "upstream_broke", address = address, problem = Quoted(&error));
            }
        });
        Ok(Connection { sender, validator, address, idle_timeout: DEFAULT_IDLE_TIMEOUT, is_reused: false })
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection {
    open: Rc<Cell<usize>>,
}

impl OpenConnection {
    fn count(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        OpenConnection { open: open.clone() }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
