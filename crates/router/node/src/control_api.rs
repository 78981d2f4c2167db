//! The HTTP API for endpoints and operators: registration, configuration, rollouts and status, and the
//! readiness probe.

mod heartbeat_body;

use crate::clock::Clock;
use crate::coordinator_driver::CoordinatorDriver;
use crate::endpoint_registration::EndpointRegistration;
use crate::http_connection::HttpConnection;
use crate::inbound_connections::{
    ConnectionTimeouts, InboundConnection, InboundConnections, OpenedConnection,
};
use crate::listener::Port;
use crate::memory::{Memory, MemoryCharge};
use crate::readiness::Readiness;
use crate::responses::{json, shared_json, Body};
use crate::settings::CurrentSettings;
use crate::stored_body::{BodyLimits, BodyReadError, StoredBody};
use crate::tasks::BackgroundTasks;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Method, Request, Response, StatusCode};
use passrelay_configuration::RolloutOrder;
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use passrelay_data_plane::memory_budget::{MemoryExhausted, MemoryUse};
use serde_json::Value;
use smol::net::TcpStream;
use smol::Timer;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Maximum length of a heartbeat's body, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;
/// Maximum length of a configuration change's body, in bytes.
const MAX_CONFIGURATION_CHANGE_BYTES: usize = 16 << 20;
/// Maximum size of a call's head, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Length up to which an answer always has room, in bytes.
const MAX_SHORT_ANSWER_BYTES: usize = 4 * 1024;
/// Maximum time for the whole body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Memory of a parsed JSON value with its key, in bytes.
const PARSED_VALUE_BYTES: usize = 96;
/// Interval of the check for connections whose timeout has expired.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may be silent between two calls and within the head of one, and how long an answer may be unread.
const CONNECTION_TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    header: Duration::from_secs(10),
    idle: CONNECTION_LIFETIME,
    response: Some(Duration::from_secs(10)),
};
/// Time after which a connection accepts no further call.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(60);
/// Time that a call in flight at the end of its connection's lifetime has to complete.
const LAST_CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum length of a rollout order's body, in bytes.
const MAX_ROLLOUT_ORDER_BYTES: usize = 64 * 1024;

/// Components that serve the calls of the control API.
pub struct ControlApi {
    /// Processes calls of endpoints.
    pub registration: EndpointRegistration,
    /// Answers the readiness probe.
    pub readiness: Rc<Readiness>,
    /// Processes calls of operators.
    pub driver: Rc<CoordinatorDriver>,
    /// Open connections of the control port.
    pub control_connections: Rc<InboundConnections>,
    /// Open connections of the port for readiness probes.
    pub readiness_connections: Rc<InboundConnections>,
    /// Memory budget, to which bodies are charged.
    pub memory: Memory,
    /// Clock of the process.
    pub clock: Clock,
}

/// Opens the ports for readiness probes and control, as far as they are configured. Both serve the same API.
///
/// # Errors
///
/// Returns the operating system's error if a port cannot be opened.
pub async fn start(
    tasks: &BackgroundTasks,
    api: &Rc<ControlApi>,
    settings: &CurrentSettings,
) -> std::io::Result<()> {
    let (readiness, control) = {
        let settings = settings.borrow();
        (settings.listen_readiness, settings.listen_control)
    };
    let ports = [
        ("readiness", readiness, &api.readiness_connections),
        ("control", control, &api.control_connections),
    ];
    for (name, address, connections) in ports {
        let Some(address) = address else { continue };
        let port = Port::open(name, address, connections.clone(), api.clock).await?;
        let api = api.clone();
        let serve = move |stream, opened| serve_connection(api.clone(), stream, opened);
        tasks.spawn("control_listener", port.accept_all(tasks.spawner(), serve));
    }
    let sweeping = api.clone();
    tasks.spawn_periodic("control_sweep", || SWEEP_INTERVAL, move || sweep(&sweeping));
    Ok(())
}

/// Closes the connections whose timeout has expired.
fn sweep(api: &ControlApi) {
    let now = api.clock.now();
    api.control_connections.sweep(now, CONNECTION_TIMEOUTS);
    api.readiness_connections.sweep(now, CONNECTION_TIMEOUTS);
}

async fn serve_connection(api: Rc<ControlApi>, stream: TcpStream, opened: OpenedConnection) {
    let connection = opened.connection.clone();
    let http = HttpConnection { stream, opened, clock: api.clock, max_header_bytes: MAX_HEADER_BYTES };
    let mut serving = pin!(http.serve(|connection, request| respond(api.clone(), connection, request)));
    if completes_within(CONNECTION_LIFETIME, serving.as_mut()).await {
        return;
    }
    connection.finish();
    completes_within(LAST_CALL_TIMEOUT, serving).await;
}

/// Returns whether a future completes within `time`.
async fn completes_within(time: Duration, future: impl Future) -> bool {
    let completed = async {
        future.await;
        true
    };
    let timed_out = async {
        Timer::after(time).await;
        false
    };
    smol::future::or(completed, timed_out).await
}

/// A call to the control API.
struct Call {
    api: Rc<ControlApi>,
    connection: Rc<InboundConnection>,
    request: Request<Incoming>,
}

impl Call {
    /// Reads the body of the call, up to `max_length` bytes. The returned charge is for the body.
    async fn read_body(self, max_length: usize) -> Result<(Vec<u8>, MemoryCharge), BodyReadError> {
        let limits = BodyLimits { max_length, chunk_timeout: BODY_TIMEOUT, total_timeout: BODY_TIMEOUT };
        let charge = || self.api.memory.charge(MemoryUse::ControlBodies);
        self.connection.body_started(self.api.clock.now());
        let read = StoredBody::read(limits, charge(), self.request.into_body()).await;
        self.connection.body_finished();
        Ok(read?.into_contiguous(charge())?)
    }
}

/// Returns the response to a call whose body was not read. `too_long` is the status if it is too long.
fn unread_body(problem: BodyReadError, too_long: StatusCode) -> Response<Body> {
    let status = match problem {
        BodyReadError::TooLong => too_long,
        BodyReadError::Disconnected => StatusCode::BAD_REQUEST,
        BodyReadError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyReadError::MemoryExhausted(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = error(status, &problem.to_string());
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn respond(
    api: Rc<ControlApi>,
    connection: Rc<InboundConnection>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let call = Call { api: api.clone(), connection, request };
    let api = &api;
    match (method, path.as_str()) {
        (Method::GET, "/ready") => readiness(api),
        (Method::GET, "/status") => json(StatusCode::OK, api.driver.status()),
        (Method::GET, "/config") => run_operator_call(api, OperatorRequest::Read).await,
        (Method::PUT, "/config") => change_configuration(call, ChangeKind::Replace).await,
        (Method::PATCH, "/config") => change_configuration(call, ChangeKind::Patch).await,
        (method, path) => match path.strip_prefix("/instances/") {
            Some(id) if method == Method::PUT => heartbeat(call, id).await,
            Some(id) if method == Method::DELETE => acknowledgement(api.registration.deregister(id).await),
            Some(_) => error(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE"),
            None => rollouts(call, method, path).await,
        },
    }
}

async fn rollouts(call: Call, method: Method, path: &str) -> Response<Body> {
    match (method, path) {
        (Method::POST, "/rollouts") => order_rollout(call).await,
        (_, "/rollouts") => error(StatusCode::METHOD_NOT_ALLOWED, "POST"),
        (method, path) => match path.strip_prefix("/rollouts/") {
            Some(service) if method == Method::GET => {
                let read = OperatorRequest::ReadRollout { service: service.to_owned() };
                run_operator_call(&call.api, read).await
            }
            Some(_) => error(StatusCode::METHOD_NOT_ALLOWED, "GET"),
            None => error(StatusCode::NOT_FOUND, "unknown path"),
        },
    }
}

fn error(status: StatusCode, problem: &str) -> Response<Body> {
    json(status, serde_json::json!({ "error": problem }).to_string())
}

async fn order_rollout(call: Call) -> Response<Body> {
    let api = call.api.clone();
    let body = match call.read_body(MAX_ROLLOUT_ORDER_BYTES).await {
        Ok((body, _)) => body,
        Err(problem) => return unread_body(problem, StatusCode::PAYLOAD_TOO_LARGE),
    };
    match RolloutOrder::read(&body) {
        Ok(order) => run_operator_call(&api, OperatorRequest::OrderRollout(order)).await,
        Err(problem) => error(StatusCode::BAD_REQUEST, &problem.to_string()),
    }
}

/// Returns the response to an endpoint's call.
fn acknowledgement(acknowledged: bool) -> Response<Body> {
    if acknowledged {
        json(StatusCode::OK, "{}".to_owned())
    } else {
        error(StatusCode::SERVICE_UNAVAILABLE, "the core does not know of it yet, tell another sidecar")
    }
}

fn readiness(api: &ControlApi) -> Response<Body> {
    if api.readiness.is_ready() {
        json(StatusCode::OK, "{}".to_owned())
    } else {
        error(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

async fn run_operator_call(api: &ControlApi, request: OperatorRequest) -> Response<Body> {
    match api.driver.operator_call(request).recv().await {
        Ok(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            match charge_answer(api, answer.body.len()) {
                Ok(charge) => shared_json(status, answer.body, charge),
                Err(exhausted) => error(StatusCode::SERVICE_UNAVAILABLE, &exhausted.to_string()),
            }
        }
        Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "no answer, ask again"),
    }
}

/// Charges an answer to an operator. A short one, such as an acknowledgement, is never refused.
fn charge_answer(api: &ControlApi, length: usize) -> Result<MemoryCharge, MemoryExhausted> {
    let mut charge = api.memory.charge(MemoryUse::ControlBodies);
    if length <= MAX_SHORT_ANSWER_BYTES {
        charge.set(length as u64);
    } else {
        charge.grow(length as u64)?;
    }
    Ok(charge)
}

async fn change_configuration(call: Call, kind: ChangeKind) -> Response<Body> {
    let base = call.request.headers().get("if-match").and_then(|value| value.to_str().ok());
    let base = base.and_then(|text| text.trim().trim_matches('"').parse::<u64>().ok());
    let Some(base) = base else {
        return error(StatusCode::BAD_REQUEST, "If-Match: should be the generation that the order builds on");
    };
    let api = call.api.clone();
    let (body, mut charge) = match call.read_body(MAX_CONFIGURATION_CHANGE_BYTES).await {
        Ok(read) => read,
        Err(problem) => return unread_body(problem, StatusCode::PAYLOAD_TOO_LARGE),
    };
    if let Err(exhausted) = charge.grow(parsed_bytes(&body)) {
        return error(StatusCode::SERVICE_UNAVAILABLE, &exhausted.to_string());
    }
    match String::from_utf8(body) {
        Ok(text) => {
            let change = ConfigurationChange { kind, base, body: text.into() };
            run_operator_call(&api, OperatorRequest::Change(change)).await
        }
        Err(_) => error(StatusCode::BAD_REQUEST, "document: cannot be read as JSON: not UTF-8"),
    }
}

/// Returns an upper estimate of the bytes that the parsed form of a JSON document takes. Every value but the outermost, with its
/// key, follows one of the counted characters.
fn parsed_bytes(document: &[u8]) -> u64 {
    let values = document.iter().filter(|byte| matches!(byte, b',' | b'[' | b'{')).count();
    (values * PARSED_VALUE_BYTES + document.len()) as u64
}

async fn heartbeat(call: Call, id: &str) -> Response<Body> {
    let api = call.api.clone();
    let body = match call.read_body(MAX_HEARTBEAT_BYTES).await {
        Ok((body, _)) => body,
        Err(problem) => return unread_body(problem, StatusCode::BAD_REQUEST),
    };
    let body: Option<Value> = serde_json::from_slice(&body).ok();
    match body.and_then(|body| heartbeat_body::parse(id, &body)) {
        Some(heartbeat) => acknowledgement(api.registration.heartbeat(&heartbeat).await),
        None => error(
            StatusCode::BAD_REQUEST,
            "the heartbeat lacks backend, address, state or sequence, or its generation is no text of at most 256 bytes",
        ),
    }
}
