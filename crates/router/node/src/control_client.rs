//! Calls of an operator's command line to the control port of a sidecar.

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

/// A call without an answer after this has failed.
const PATIENCE: Duration = Duration::from_secs(5);

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection, or it broke.
    #[error("{address}: {source}")]
    Connection {
        /// The sidecar.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// What came is no answer.
    #[error("{address}: {problem}")]
    Protocol {
        /// The sidecar.
        address: SocketAddr,
        /// What is wrong.
        problem: String,
    },
}

/// A call to a control port.
#[derive(Clone, Debug)]
pub struct ControlCall {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: &'static str,
    /// The generation that a change builds on.
    pub if_match: Option<u64>,
    /// The body, JSON.
    pub body: String,
}

/// Makes a call and waits for the answer: its status and body.
///
/// # Errors
///
/// Returns why there is none.
pub fn call(address: SocketAddr, call: ControlCall) -> Result<(u16, String), CallError> {
    let executor = LocalExecutor::new();
    let late = async {
        Timer::after(PATIENCE).await;
        Err(CallError::Connection { address, source: std::io::ErrorKind::TimedOut.into() })
    };
    smol::block_on(executor.run(smol::future::or(exchange(&executor, address, call), late)))
}

async fn exchange(
    executor: &LocalExecutor<'_>,
    address: SocketAddr,
    call: ControlCall,
) -> Result<(u16, String), CallError> {
    let broken = |source| CallError::Connection { address, source };
    let protocol = |e: hyper::Error| CallError::Protocol { address, problem: e.to_string() };
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
        .map_err(|e| CallError::Protocol { address, problem: e.to_string() })?;
    let response = sender.send_request(request).await.map_err(protocol)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(protocol)?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
