//! Clients' connections: accepting them, serving requests on them, ending them.

use crate::client_connections::{ClientConnection, ConnectionCommand};
use crate::listener::accept_all;
use crate::process::Node;
use crate::request;
use crate::responses::{Body, BodyError};
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Pause between looks for connections that rest too long.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Least size of a connection's buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8_192;
/// Bounds where there is no configuration yet.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_HEAD_WITHIN: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_WITHIN: Duration = Duration::from_secs(15);

/// Opens the clients' port, if this role serves it.
pub async fn start(node: &Rc<Node>) -> io::Result<()> {
    let address = node.settings.borrow().listen_front;
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(SocketAddr::V4(address)).await?;
    node.executor.spawn(accept_all(node.clone(), listener, "front", serve)).detach();
    node.executor.spawn(sweep(node.clone())).detach();
    Ok(())
}

async fn sweep(node: Rc<Node>) {
    loop {
        Timer::after(SWEEP_EVERY).await;
        let limits = node.snapshot().map(|s| s.table.limits().clone());
        let head =
            limits.as_ref().map_or(DEFAULT_HEAD_WITHIN, |l| Duration::from_millis(l.header_timeout_ms));
        let idle = limits.as_ref().map_or(DEFAULT_IDLE_WITHIN, |l| Duration::from_millis(l.idle_timeout_ms));
        let now = node.now();
        node.clients.sweep(now, head, idle);
        node.pool.sweep(now);
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (number, connection, commands) = node.clients.open(node.now());
    let io = FuturesIo::new(TrackedStream { stream, connection: connection.clone(), node: node.clone() });
    let head_bytes = node.snapshot().map_or(DEFAULT_HEAD_BYTES, |s| s.table.limits().max_header_bytes);
    let service = {
        let (node, connection) = (node.clone(), connection.clone());
        service_fn(move |request| answer(node.clone(), connection.clone(), request))
    };
    let serving = hyper::server::conn::http1::Builder::new()
        .max_buf_size(head_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service);
    let mut serving = std::pin::pin!(serving);
    loop {
        let command = {
            let served = async {
                let _ = serving.as_mut().await;
                None
            };
            smol::future::or(served, async { commands.recv().await.ok() }).await
        };
        match command {
            Some(ConnectionCommand::Finish) => serving.as_mut().graceful_shutdown(),
            // A request may have come between the order and now: it is served, and the connection looked at again later.
            Some(ConnectionCommand::Close) if connection.is_busy() => {}
            Some(ConnectionCommand::Close) | None => break,
        }
    }
    node.clients.closed(number);
}

async fn answer(
    node: Rc<Node>,
    connection: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    connection.request_begins();
    let mut response = request::relay(&node, request).await;
    if node.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| -> Body { Box::pin(TrackedBody { body, connection, node }) }))
}

/// A client's socket; tells the connection when bytes come.
struct TrackedStream {
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    node: Rc<Node>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(length)) if length > 0) {
            self.connection.bytes_came(self.node.now());
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, buffer: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffers: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// The body of an answer; tells the connection when it is over.
struct TrackedBody {
    body: Body,
    connection: Rc<ClientConnection>,
    node: Rc<Node>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.request_ends(self.node.now());
    }
}
