//! The answers that a sidecar gives of its own: one closed list of kinds, and a table from kind to answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// A body of any kind; one that fails breaks the client's connection off.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Why an answer breaks off in its middle.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The endpoint broke off.
    #[error("the endpoint broke off")]
    BrokeOff,
    /// The route's time is over.
    #[error("the time for the answer is over")]
    TimedOut,
}

/// Everything that can keep a request from having an endpoint's answer. 429 and 503 promise that it has not run and
/// never will; what may have run gets 502 or 504.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// There is no configuration yet.
    #[error("there is no configuration yet")]
    NotConfigured,
    /// The configuration isn't known to be current.
    #[error("the configuration is not known to be current")]
    NotFresh,
    /// No route has this host and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The head tells something that can't be.
    #[error("the request can't be read")]
    BadRequest,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body comes too slowly.
    #[error("the request came too slowly")]
    TooSlow,
    /// The tenant's quota is used up.
    #[error("the quota is used up")]
    OverQuota,
    /// Nobody grants quota just now.
    #[error("nobody grants quota just now")]
    NoGrantor,
    /// No endpoint can take the request now.
    #[error("no endpoint can take the request now")]
    NoEndpoint,
    /// This process ends before the request would be over.
    #[error("this sidecar is about to end, ask another")]
    Ending,
    /// An endpoint may have run the request and gave no answer.
    #[error("the endpoint gave no answer")]
    NoAnswer,
    /// The time is over and an endpoint may have run the request.
    #[error("the time is over")]
    TimedOut,
}

impl Failure {
    /// Status and, where trying again makes sense, the time after which.
    fn answer(self) -> (StatusCode, Option<Duration>) {
        let at_once = Some(Duration::ZERO);
        let soon = Some(Duration::from_millis(100));
        let later = Some(Duration::from_millis(500));
        match self {
            Failure::NotConfigured | Failure::NotFresh | Failure::NoGrantor => {
                (StatusCode::SERVICE_UNAVAILABLE, later)
            }
            Failure::NoRoute => (StatusCode::NOT_FOUND, None),
            Failure::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Failure::BadRequest => (StatusCode::BAD_REQUEST, None),
            Failure::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Failure::TooSlow => (StatusCode::REQUEST_TIMEOUT, None),
            Failure::OverQuota => (StatusCode::TOO_MANY_REQUESTS, later),
            Failure::NoEndpoint => (StatusCode::SERVICE_UNAVAILABLE, soon),
            Failure::Ending => (StatusCode::SERVICE_UNAVAILABLE, at_once),
            Failure::NoAnswer => (StatusCode::BAD_GATEWAY, None),
            Failure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        }
    }

    /// The answer to a client.
    pub fn response(self) -> Response<Body> {
        let (status, retry_after) = self.answer();
        let mut response = json(status, serde_json::json!({ "error": self.to_string() }).to_string());
        if let Some(after) = retry_after {
            let seconds = format!("{:.1}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if matches!(self, Failure::BodyTooLong | Failure::TooSlow | Failure::BadRequest) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// A JSON answer.
pub fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A body that is known whole.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}
