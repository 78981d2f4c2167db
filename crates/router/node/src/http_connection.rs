//! An HTTP/1.1 connection of a client, endpoint or operator: serves its requests, keeps its phase up to date and closes it when
//! it is told to.

use crate::clock::Clock;
use crate::inbound_connections::{ConnectionCommand, InboundConnection, OpenedConnection};
use crate::responses::{Body, BodyError};
use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Minimum buffer size of a connection that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// An accepted connection and where it is registered.
pub struct HttpConnection {
    /// The socket.
    pub stream: TcpStream,
    /// The connection's state and commands.
    pub opened: OpenedConnection,
    /// Clock of the process.
    pub clock: Clock,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
}

impl HttpConnection {
    /// Serves requests with `handler` until the connection ends. Both sides may end it.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Rc<InboundConnection>, Request<Incoming>) -> F,
        F: Future<Output = Response<Body>>,
    {
        let HttpConnection { stream, opened, clock, max_header_bytes } = self;
        let _ = stream.set_nodelay(true);
        let connection = opened.connection.clone();
        let tracked = TrackedStream { stream, connection: connection.clone(), clock, resets: false };
        let service = service_fn(|request: Request<Incoming>| {
            connection.request_started();
            let accepts_chunks = request.version() != Version::HTTP_10;
            let response = handler(connection.clone(), request);
            let connection = connection.clone();
            async move { Ok::<_, Infallible>(track(response.await, connection, clock, accepts_chunks)) }
        });
        let serving = hyper::server::conn::http1::Builder::new()
            .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(FuturesIo::new(tracked), service);
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
                // A request may have arrived since the command was sent. It is served; the connection ends after it if it
                // has to make room, and otherwise by a later sweep.
                Some(ConnectionCommand::Close) if connection.is_busy() => {
                    if connection.postpone_eviction() {
                        serving.as_mut().graceful_shutdown();
                    }
                }
                Some(ConnectionCommand::Close | ConnectionCommand::Abort) | None => break,
            }
        }
    }
}

/// Returns the response with a body that notifies the connection of its end.
fn track(
    response: Response<Body>,
    connection: Rc<InboundConnection>,
    clock: Clock,
    accepts_chunks: bool,
) -> Response<Body> {
    let has_length =
        response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some();
    connection.set_response_ends_with_connection(!accepts_chunks && !has_length);
    connection.response_started(clock.now());
    response.map(|body| -> Body { Box::pin(TrackedBody { body, connection, clock }) })
}

/// A socket that notifies its connection when bytes arrive. While a response is incomplete whose regular end is that of
/// the connection, as with HTTP/1.0, any end of the socket resets it, also that of the process.
struct TrackedStream {
    stream: TcpStream,
    connection: Rc<InboundConnection>,
    clock: Clock,
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
            self.connection.bytes_received(self.clock.now());
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
    connection: Rc<InboundConnection>,
    clock: Clock,
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
        self.connection.request_finished(self.clock.now());
    }
}
