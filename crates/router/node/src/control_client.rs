//! HTTP client for the control port of a sidecar, used by the operators' command line.

use crate::response_validator::ResponseValidator;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request};
use passrelay_response_head::{MalformedHead, RequestKind};
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a call that received no complete response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened, or the call timed out.
    #[error("{address}: {source}")]
    Connection {
        /// Address of the sidecar's control port.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The head of the response is malformed. The call may have been carried out.
    #[error("{address}: the response is malformed: {source}")]
    MalformedResponse {
        /// Address of the sidecar's control port.
        address: SocketAddr,
        /// What is wrong with the head.
        source: MalformedHead,
    },
    /// The request or the response is not valid HTTP, or the connection broke during the call.
    #[error("{address}: {source}")]
    Protocol {
        /// Address of the sidecar's control port.
        address: SocketAddr,
        /// The HTTP library's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A call to a control port.
#[derive(Clone, Debug)]
pub struct ControlCall {
    /// HTTP method.
    pub method: Method,
    /// Path of the resource, such as `/config`.
    pub path: String,
    /// Generation that a change is based on, sent as `If-Match`; `None` for other calls.
    pub if_match: Option<u64>,
    /// Request body as JSON text; empty for calls without a body.
    pub body: String,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body, usually JSON text.
    pub body: String,
}

/// Makes a call and waits for the response.
///
/// # Errors
///
/// Returns a [`CallError`] if there is no complete response within `CALL_TIMEOUT`.
pub fn call(address: SocketAddr, call: ControlCall) -> Result<ControlResponse, CallError> {
    let executor = LocalExecutor::new();
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        Err(CallError::Connection { address, source: std::io::ErrorKind::TimedOut.into() })
    };
    smol::block_on(executor.run(smol::future::or(exchange(&executor, address, call), timeout)))
}

async fn exchange(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    call: ControlCall,
) -> Result<ControlResponse, CallError> {
    let connection_error = |source| CallError::Connection { address, source };
    let protocol_error = |error: hyper::Error| CallError::Protocol { address, source: error.into() };
    let stream = TcpStream::connect(address).await.map_err(connection_error)?;
    let validator = ResponseValidator::default();
    let (mut sender, connection) =
        handshake(FuturesIo::new(validator.validate(stream))).await.map_err(protocol_error)?;
    executor
        .spawn(async move {
            let _ = connection.await;
        })
        .detach();
    let mut request =
        Request::builder().method(call.method).uri(call.path).header("host", address.to_string());
    if let Some(base) = call.if_match {
        request = request.header("if-match", base.to_string());
    }
    let request = request
        .body(Full::new(Bytes::from(call.body)))
        .map_err(|error| CallError::Protocol { address, source: error.into() })?;
    validator.expect_response(RequestKind::Other);
    let response = sender.send_request(request).await.map_err(|error| match validator.fault() {
        Some(source) => CallError::MalformedResponse { address, source },
        None => protocol_error(error),
    })?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(protocol_error)?.to_bytes();
    Ok(ControlResponse { status, body: String::from_utf8_lossy(&body).into_owned() })
}
