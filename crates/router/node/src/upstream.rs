//! Connections to endpoints: opened when needed, kept while they rest.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use thiserror::Error;

/// A connection that isn't up after this is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// After an answer a connection rests this long: a second answer may come some milliseconds late.
const REST: Duration = Duration::from_millis(12);
/// A resting connection is used for this long where the endpoint tells nothing.
const IDLE: Duration = Duration::from_secs(8);
/// A resting connection is no longer used this much before the end told in `Keep-Alive`.
const IDLE_MARGIN_S: f64 = 0.3;
/// Resting connections kept for one endpoint.
const KEPT: usize = 32;

/// A request as it goes to an endpoint.
pub type UpstreamRequest = Request<Full<Bytes>>;

/// Why no answer came.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was written.
    #[error("the request was not sent")]
    NotSent,
    /// The request was sent, wholly or in part.
    #[error("the connection broke")]
    Broken,
}

/// A connection that can carry a request now.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddrV4,
    idle_for: Duration,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: UpstreamRequest) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.learn_keep_alive(&response);
                Ok(response)
            }
            Err(mut e) => Err(match e.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            }),
        }
    }

    fn learn_keep_alive(&mut self, response: &Response<Incoming>) {
        let told = response.headers().get("keep-alive").and_then(|v| v.to_str().ok());
        let seconds = told.and_then(|text| {
            let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
            timeout.parse::<f64>().ok()
        });
        if let Some(seconds) = seconds.filter(|s| s.is_finite() && *s >= 0.0) {
            self.idle_for = Duration::from_secs_f64((seconds - IDLE_MARGIN_S).clamp(0.0, 60.0));
        }
    }
}

struct Resting {
    connection: Connection,
    since: Duration,
}

/// Resting connections by address.
#[derive(Default)]
pub struct Pool {
    resting: RefCell<HashMap<SocketAddrV4, Vec<Resting>>>,
}

impl Pool {
    /// A resting connection, the one used last first.
    pub fn take(&self, now: Duration, address: SocketAddrV4) -> Option<Connection> {
        let mut all = self.resting.borrow_mut();
        let resting = all.get_mut(&address)?;
        resting.retain(|r| is_usable(r, now));
        let index = resting
            .iter()
            .rposition(|r| now.saturating_sub(r.since) >= REST && r.connection.sender.is_ready())?;
        Some(resting.remove(index).connection)
    }

    /// Keeps a connection whose answer is over.
    pub fn put(&self, now: Duration, mut connection: Connection) {
        if connection.sender.is_closed() || connection.idle_for.is_zero() {
            return;
        }
        connection.is_reused = true;
        let mut all = self.resting.borrow_mut();
        let resting = all.entry(connection.address).or_default();
        if resting.len() < KEPT {
            resting.push(Resting { connection, since: now });
        }
    }

    /// Drops connections that have rested too long.
    pub fn sweep(&self, now: Duration) {
        let mut all = self.resting.borrow_mut();
        for resting in all.values_mut() {
            resting.retain(|r| is_usable(r, now));
        }
        all.retain(|_, resting| !resting.is_empty());
    }

    /// Opens a connection.
    pub async fn connect(
        &self,
        executor: &LocalExecutor<'static>,
        address: SocketAddrV4,
    ) -> std::io::Result<Connection> {
        let connect = async {
            let stream = TcpStream::connect(SocketAddr::V4(address)).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream: std::io::Result<TcpStream> = smol::future::or(connect, timeout).await;
        let (sender, connection) = Builder::new()
            .handshake(FuturesIo::new(stream?))
            .await
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        executor
            .spawn(async move {
                if let Err(e) = connection.await {
                    log::debug!("event=upstream_broke address={address} problem=\"{e}\"");
                }
            })
            .detach();
        Ok(Connection { sender, address, idle_for: IDLE, is_reused: false })
    }
}

fn is_usable(resting: &Resting, now: Duration) -> bool {
    !resting.connection.sender.is_closed() && now.saturating_sub(resting.since) < resting.connection.idle_for
}
