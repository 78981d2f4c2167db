//! Processing of a client's request from its head to the response, in phases that run in this order:
//!
//! | phase | module | may fail with |
//! |---|---|---|
//! | wait for startup | this module | - |
//! | parse the head | `inbound` | 400 |
//! | match route, authenticate, check freshness | `admission` | 401, 404, 503 |
//! | check the graceful shutdown | this module | 503 |
//! | read the body | `inbound_body` | 400, 408, 413, 503 |
//! | admit again, because reading may have taken long | `admission` | as above |
//! | reserve quota | `quota` | 429, 503 |
//! | select an endpoint, attempt, retry | `endpoint_selection`, `attempts`, by the rules in `retry_policy` | 502, 503, 504 |
//! | relay the response, resume a stream | `relay_body` | a closed connection |
//!
//! Status codes 429 and 503 promise that the request has not been and will not be executed. A request that may have
//! been executed ends with 502 or 504.

mod admission;
mod attempts;
mod body_content;
mod endpoint_call;
mod endpoint_selection;
mod headers;
mod inbound;
mod inbound_body;
mod outbound;
mod quota;
mod relay_body;
mod retry_policy;

use crate::inbound_connections::InboundConnection;
use crate::request_context::RequestContext;
use crate::responses::{Body, Failure};
use attempts::Attempts;
use headers::DEADLINE;
use hyper::body::Incoming;
use hyper::{Request, Response};
use inbound::{InboundRequest, DEFAULT_TIMEOUT};
use passrelay_data_plane::execution_limits::ExecutionLimits;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Time after the start of the process during which requests wait for it to become ready.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Fraction of its timeout that a request waits at most during startup.
const STARTUP_WAIT_FRACTION: f64 = 0.35;
/// Interval of the check whether the process can serve during startup.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Serves a request. The response reports any failure.
pub async fn handle(
    context: &Rc<RequestContext>,
    connection: &InboundConnection,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = context.now();
    wait_for_startup(context, &request).await;
    match forward(context, connection, request, arrived).await {
        Ok(response) => response,
        Err(failure) => failure.response(),
    }
}

/// Waits until the process can serve, for at most a fraction of the request's timeout. A process that has just
/// started usually receives its configuration and endpoints shortly.
async fn wait_for_startup(context: &RequestContext, request: &Request<Incoming>) {
    let header = request.headers().get(&DEADLINE).and_then(|value| value.to_str().ok());
    // A malformed header is rejected when the head is parsed, regardless of the wait before.
    let timeout = inbound::parse_timeout(header).unwrap_or(DEFAULT_TIMEOUT);
    let until = context.now() + timeout.mul_f64(STARTUP_WAIT_FRACTION);
    while context.now() < until.min(STARTUP_PERIOD) && !context.readiness.can_serve() {
        Timer::after(STARTUP_POLL_INTERVAL).await;
    }
}

async fn forward(
    context: &Rc<RequestContext>,
    connection: &InboundConnection,
    request: Request<Incoming>,
    arrived: Duration,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    let inbound = InboundRequest::parse(parts, arrived)?;
    let admission = admission::admit(context, &inbound)?;
    if !context.shutdown.accepts(inbound.deadline(&admission.route)) {
        return Err(Failure::ShuttingDown);
    }
    let limits = ExecutionLimits::of(&admission.route);
    let body_limits = admission.snapshot.table.limits();
    let deadline = inbound.deadline(&admission.route);
    let stored = inbound_body::read(context, connection, body_limits, deadline, body).await?;
    inbound.body.replace(stored);
    let inbound = Rc::new(inbound);
    let admission = admission::admit(context, &inbound)?;
    let reservation = quota::reserve(context, &inbound, &admission).await?;
    let deadline = inbound.deadline(&admission.route);
    let limits = limits.restricted_by(&admission.route);
    drop(admission);
    let mut attempts = Attempts::new(context.clone(), inbound, deadline, limits, reservation);
    match attempts.next(None).await {
        Ok(response) => Ok(relay_body::respond(response, attempts)),
        Err(failure) => {
            attempts.refund();
            Err(failure)
        }
    }
}
