//! HTTP client of the operators' command line for the control port of a sidecar.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request};
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call has no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection can't be opened, or the call timed out.
    #[error("{address}: {source}")]
    Connection {
        /// The sidecar.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The request or the response is not valid HTTP, or the connection broke in between.
    #[error("{address}: {source}")]
    Protocol {
        /// The sidecar.
        address: SocketAddr,
        /// The HTTP library's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A call to a control port.
#[derive(Clone, Debug)]
pub struct ControlCall {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// The generation that a change is based on.
    pub if_match: Option<u64>,
    /// The body, JSON.
    pub body: String,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlResponse {
    /// Its HTTP status.
    pub status: u16,
    /// Its body, usually JSON.
    pub body: String,
}

/// Makes a call and waits for the response.
///
/// # Errors
///
/// Returns why there is none.
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
    let broken = |source| CallError::Connection { address, source };
    let protocol = |error: hyper::Error| CallError::Protocol { address, source: error.into() };
    let stream = TcpStream::connect(address).await.map_err(broken)?;
    let (mut sender, connection) = handshake(FuturesIo::new(stream)).await.map_err(protocol)?;
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
    let response = sender.send_request(request).await.map_err(protocol)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(protocol)?.to_bytes();
    Ok(ControlResponse { status, body: String::from_utf8_lossy(&body).into_owned() })
}
