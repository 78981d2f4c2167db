//! What endpoints and operators call: heartbeats, the configuration, the status; and readiness.

use crate::listener::accept_all;
use crate::process::Node;
use crate::responses::{json, Body};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use passrelay_control_plane::configuration_change::{ChangeKind, ConfigurationChange};
use passrelay_control_plane::OperatorRequest;
use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat};
use serde_json::Value;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Longest body of a heartbeat.
const HEARTBEAT_BYTES: usize = 16 * 1024;
/// Longest body of an order.
const ORDER_BYTES: usize = 16 << 20;
/// A connection on which nothing is asked for this long is closed.
const IDLE: Duration = Duration::from_secs(60);

/// Opens the ports for readiness and control.
pub async fn start(node: &Rc<Node>) -> std::io::Result<()> {
    let (readiness, control) = {
        let settings = node.settings.borrow();
        (settings.listen_readiness, settings.listen_control)
    };
    for address in readiness.into_iter().chain(control) {
        let listener = TcpListener::bind(SocketAddr::V4(address)).await?;
        node.executor.spawn(accept_all(node.clone(), listener, "control", serve)).detach();
    }
    Ok(())
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let handler = service_fn(move |request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(answer(&node, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(FuturesIo::new(stream), handler);
    let served = async {
        let _ = connection.await;
    };
    let idle = async {
        Timer::after(IDLE).await;
    };
    smol::future::or(served, idle).await;
}

async fn answer(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/ready") => readiness(node),
        (Method::GET, "/status") => json(StatusCode::OK, node.status()),
        (Method::GET, "/config") => operator(node, OperatorRequest::Read).await,
        (Method::PUT, "/config") => change(node, ChangeKind::Replace, request).await,
        (Method::PATCH, "/config") => change(node, ChangeKind::Patch, request).await,
        (method, path) => match path.strip_prefix("/instances/") {
            Some(id) if method == Method::PUT => heartbeat(node, id, request).await,
            Some(id) if method == Method::DELETE => acknowledgement(node.leave(id).await),
            Some(_) => fault(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE"),
            None => fault(StatusCode::NOT_FOUND, "unknown path"),
        },
    }
}

fn fault(status: StatusCode, problem: &str) -> Response<Body> {
    json(status, serde_json::json!({ "error": problem }).to_string())
}

/// The answer to an endpoint.
fn acknowledgement(acknowledged: bool) -> Response<Body> {
    if acknowledged {
        json(StatusCode::OK, "{}".to_owned())
    } else {
        fault(StatusCode::SERVICE_UNAVAILABLE, "the core does not know of it yet, tell another sidecar")
    }
}

fn readiness(node: &Rc<Node>) -> Response<Body> {
    if node.is_ready() {
        json(StatusCode::OK, "{}".to_owned())
    } else {
        fault(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

async fn operator(node: &Rc<Node>, request: OperatorRequest) -> Response<Body> {
    match node.operator_call(request).recv().await {
        Ok(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            json(status, answer.body.to_string())
        }
        Err(_) => fault(StatusCode::SERVICE_UNAVAILABLE, "no answer, ask again"),
    }
}

async fn change(node: &Rc<Node>, kind: ChangeKind, request: Request<Incoming>) -> Response<Body> {
    let base = request.headers().get("if-match").and_then(|v| v.to_str().ok());
    let base = base.and_then(|text| text.trim().trim_matches('"').parse::<u64>().ok());
    let Some(base) = base else {
        return fault(StatusCode::BAD_REQUEST, "If-Match: should be the generation that the order builds on");
    };
    let Ok(body) = Limited::new(request.into_body(), ORDER_BYTES).collect().await else {
        return fault(StatusCode::PAYLOAD_TOO_LARGE, "the order is too long, or was cut off");
    };
    match String::from_utf8(body.to_bytes().into()) {
        Ok(text) => {
            operator(node, OperatorRequest::Change(ConfigurationChange { kind, base, body: text.into() }))
                .await
        }
        Err(_) => fault(StatusCode::BAD_REQUEST, "document: cannot be read as JSON: not UTF-8"),
    }
}

async fn heartbeat(node: &Rc<Node>, id: &str, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = Limited::new(request.into_body(), HEARTBEAT_BYTES).collect().await else {
        return fault(StatusCode::BAD_REQUEST, "the heartbeat is too long, or was cut off");
    };
    match serde_json::from_slice(&body.to_bytes()).ok().and_then(|body: Value| read_heartbeat(id, &body)) {
        Some(beat) => acknowledgement(node.heartbeat(&beat).await),
        None => fault(StatusCode::BAD_REQUEST, "the heartbeat lacks backend, address, state or sequence"),
    }
}

fn read_heartbeat(id: &str, body: &Value) -> Option<Heartbeat> {
    let text = |name: &str| body.get(name).and_then(Value::as_str);
    let whole = |name: &str| body.get(name).and_then(Value::as_u64);
    let state = match text("state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => return None,
    };
    let address: SocketAddrV4 = text("address")?.parse().ok()?;
    Some(Heartbeat {
        record: EndpointRecord {
            id: id.to_owned(),
            service: text("backend")?.to_owned(),
            address,
            zone: text("zone").unwrap_or_default().to_owned(),
            capacity: whole("capacity").and_then(|c| u32::try_from(c).ok()).unwrap_or(1),
            state,
            sequence: whole("sequence")?,
        },
    })
}
