//! Accepts client connections and serves requests on them.

use crate::http_connection::HttpConnection;
use crate::inbound_connections::{ConnectionTimeouts, InboundConnection, OpenedConnection};
use crate::listener;
use crate::request;
use crate::request_context::RequestContext;
use crate::responses::Body;
use crate::tasks::BackgroundTasks;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// Interval of the check for connections whose timeout has expired.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a request head while there is no configuration, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Connection timeouts while there is no configuration.
const DEFAULT_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { header: Duration::from_secs(3), idle: Duration::from_secs(15), response: None };

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
    let port =
        listener::Port::open("front", address, context.resources.clients.clone(), context.clock).await?;
    let serving = context.clone();
    let serve = move |stream, opened| serve_connection(serving.clone(), stream, opened);
    tasks.spawn("client_listener", port.accept_all(tasks.spawner(), serve));
    let sweeping = context.clone();
    tasks.spawn_periodic("connection_sweep", || SWEEP_INTERVAL, move || sweep(&sweeping));
    Ok(())
}

/// Closes timed-out client connections and idle connections to endpoints, and logs what was refused and which responses were
/// malformed.
fn sweep(context: &RequestContext) {
    let snapshot = context.data_plane.configuration.snapshot();
    let timeouts = snapshot.map_or(DEFAULT_TIMEOUTS, |snapshot| {
        let limits = snapshot.table.limits();
        ConnectionTimeouts {
            header: Duration::from_millis(limits.header_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
            // A response is bounded by the deadline of its request.
            response: None,
        }
    });
    let now = context.now();
    context.resources.clients.sweep(now, timeouts);
    context.resources.upstream.sweep(now);
    context.resources.log_refusals();
    context.data_plane.malformed_responses.log_new();
}

async fn serve_connection(context: Rc<RequestContext>, stream: TcpStream, opened: OpenedConnection) {
    let snapshot = context.data_plane.configuration.snapshot();
    let max_header_bytes =
        snapshot.map_or(DEFAULT_MAX_HEADER_BYTES, |snapshot| snapshot.table.limits().max_header_bytes);
    let connection = HttpConnection { stream, opened, clock: context.clock, max_header_bytes };
    connection.serve(|connection, request| respond(context.clone(), connection, request)).await;
}

async fn respond(
    context: Rc<RequestContext>,
    connection: Rc<InboundConnection>,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut response = request::handle(&context, &connection, request).await;
    if context.shutdown.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
