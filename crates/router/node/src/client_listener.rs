//! Accepts client connections, serves requests on them and closes them.

use crate::client_connections::{ClientConnection, ConnectionCommand, ConnectionTimeouts};
use crate::listener::accept_all;
use crate::request;
use crate::request_context::RequestContext;
use crate::responses::{Body, BodyError};
use crate::tasks::BackgroundTasks;
use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Interval of the check for connections whose timeout has expired.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum buffer size of a connection that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum size of a request head while there is no configuration, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Connection timeouts while there is no configuration.
const DEFAULT_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { header: Duration::from_secs(3), idle: Duration::from_secs(15) };

/// Opens the port for clients and starts serving it, if `address` is given.
///
/// # Errors
///
/// Returns the operating system's error if the port cannot be opened.
pub async fn start(
    tasks: &BackgroundTasks,
    context: &Rc<RequestContext>,
    address: Option<SocketAddrV4>,
) -> io::Result<()> {
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(SocketAddr::V4(address)).await?;
    let serving = context.clone();
    let serve = move |stream| serve_connection(serving.clone(), stream);
    tasks.spawn("client_listener", accept_all(tasks.spawner(), listener, "front", serve));
    let sweeping = context.clone();
    tasks.spawn_periodic("connection_sweep", || SWEEP_INTERVAL, move || sweep(&sweeping));
    Ok(())
}

/// Closes timed-out client connections and idle connections to endpoints, and logs charges that were refused.
fn sweep(context: &RequestContext) {
    let snapshot = context.data_plane.configuration.snapshot();
    let timeouts = snapshot.map_or(DEFAULT_TIMEOUTS, |snapshot| {
        let limits = snapshot.table.limits();
        ConnectionTimeouts {
            header: Duration::from_millis(limits.header_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
        }
    });
    let now = context.now();
    context.clients.sweep(now, timeouts);
    context.upstream.sweep(now);
    context.memory.log_refusals();
}

async fn serve_connection(context: Rc<RequestContext>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let opened = context.clients.open(context.now());
    let connection = opened.connection;
    let io = FuturesIo::new(TrackedStream {
        stream,
        connection: connection.clone(),
        context: context.clone(),
        resets: false,
    });
    let snapshot = context.data_plane.configuration.snapshot();
    let max_header_bytes =
        snapshot.map_or(DEFAULT_MAX_HEADER_BYTES, |snapshot| snapshot.table.limits().max_header_bytes);
    let service = {
        let context = context.clone();
        let connection = connection.clone();
        service_fn(move |request| respond(context.clone(), connection.clone(), request))
    };
    let serving = hyper::server::conn::http1::Builder::new()
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut serving = std::pin::pin!(serving);
    loop {
        let command = {
            let served = async {
                let _ = serving.as_mut().await;
                None
            };
            smol::future::or(served, async { opened.commands.recv().await.ok() }).await
        };
        match command {
            Some(ConnectionCommand::Finish) => serving.as_mut().graceful_shutdown(),
            // A request may have arrived since the command was sent. It is served, and a later sweep closes
            // the connection.
            Some(ConnectionCommand::Close) if connection.is_busy() => {}
            Some(ConnectionCommand::Close) | None => break,
        }
    }
    context.clients.closed(opened.id);
}

async fn respond(
    context: Rc<RequestContext>,
    connection: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    connection.request_started();
    let accepts_chunks = request.version() != Version::HTTP_10;
    let mut response = request::handle(&context, request).await;
    if context.shutdown.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let has_length =
        response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some();
    connection.set_response_ends_with_connection(!accepts_chunks && !has_length);
    Ok(response.map(|body| -> Body { Box::pin(TrackedBody { body, connection, context }) }))
}

/// A client socket that notifies its connection when bytes arrive. While a response is incomplete whose regular end is that of
/// the connection, as with HTTP/1.0, any end of the socket resets it, also that of the process.
struct TrackedStream {
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    context: Rc<RequestContext>,
    /// Whether the operating system resets the connection when the socket is closed.
    resets: bool,
}

impl TrackedStream {
    /// Has the operating system reset the connection at the end of the socket, or close it in order, as the response needs it.
    fn update_reset(&mut self) {
        let resets = self.connection.response_ends_with_connection();
        if resets != self.resets {
            self.resets = resets;
            // If this fails, the connection has already ended.
            let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(length)) if length > 0) {
            self.connection.bytes_received(self.context.now());
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, buffer: &[u8]) -> Poll<io::Result<usize>> {
        self.update_reset();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffers: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        self.update_reset();
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// A response body that notifies its connection once it has been written or abandoned.
struct TrackedBody {
    body: Body,
    connection: Rc<ClientConnection>,
    context: Rc<RequestContext>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.body.as_mut().poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.connection.set_response_ends_with_connection(false);
        }
        frame
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
        self.connection.request_finished(self.context.now());
    }
}
