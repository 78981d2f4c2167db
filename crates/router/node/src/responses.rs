//! The router's own responses: one closed list of failures, and the table from failure to status and headers.
//!
//! Responses of endpoints are relayed by `request::relay_body`.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use passrelay_data_plane::prompt::PromptError;
use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// `Retry-After` where another sidecar can take the request.
const RETRY_AT_ONCE: Option<Duration> = Some(Duration::ZERO);
/// `Retry-After` where an endpoint may become available within moments.
const RETRY_SOON: Option<Duration> = Some(Duration::from_millis(100));
/// `Retry-After` where a configuration or a grant has to come first.
const RETRY_LATER: Option<Duration> = Some(Duration::from_millis(500));

/// The body of any response; an error in it closes the client's connection.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Why a response is cut off after its head was sent.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The endpoint closed its connection early, and no other one continues.
    #[error("the endpoint broke off")]
    BrokeOff,
    /// The request's deadline has passed.
    #[error("the time for the answer is over")]
    TimedOut,
}

/// Why a request has no response of an endpoint. 429 and 503 promise that it has not been executed and never
/// will be; one that may have been executed gets 502 or 504.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// There is no configuration yet.
    #[error("there is no configuration yet")]
    NotConfigured,
    /// The configuration isn't known to be current, so that the key may have been revoked.
    #[error("the configuration is not known to be current")]
    NotFresh,
    /// No route has this host and path.
    #[error("no route has this host and path")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The head or body is malformed.
    #[error("the request can't be read")]
    BadRequest,
    /// The declared size of the prompt is malformed.
    #[error("{0}")]
    BadPrompt(#[from] PromptError),
    /// The body is longer than the limit.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body arrives too slowly.
    #[error("the request came too slowly")]
    TooSlow,
    /// The tenant's quota is exhausted.
    #[error("the quota is used up")]
    OverQuota,
    /// The quota's grantor does not answer.
    #[error("nobody grants quota just now")]
    NoGrantor,
    /// No endpoint can be attempted now.
    #[error("no endpoint can take the request now")]
    NoEndpoint,
    /// This process shuts down before the request's deadline.
    #[error("this sidecar is about to end, ask another")]
    Ending,
    /// An endpoint may have executed the request and gave no response.
    #[error("the endpoint gave no answer")]
    NoAnswer,
    /// The deadline has passed and an endpoint may have executed the request.
    #[error("the time is over")]
    TimedOut,
}

impl Failure {
    /// Status and, where a retry makes sense, the time after which.
    fn status(self) -> (StatusCode, Option<Duration>) {
        match self {
            Failure::NotConfigured | Failure::NotFresh | Failure::NoGrantor => {
                (StatusCode::SERVICE_UNAVAILABLE, RETRY_LATER)
            }
            Failure::NoRoute => (StatusCode::NOT_FOUND, None),
            Failure::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Failure::BadRequest | Failure::BadPrompt(_) => (StatusCode::BAD_REQUEST, None),
            Failure::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Failure::TooSlow => (StatusCode::REQUEST_TIMEOUT, None),
            Failure::OverQuota => (StatusCode::TOO_MANY_REQUESTS, RETRY_LATER),
            Failure::NoEndpoint => (StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON),
            Failure::Ending => (StatusCode::SERVICE_UNAVAILABLE, RETRY_AT_ONCE),
            Failure::NoAnswer => (StatusCode::BAD_GATEWAY, None),
            Failure::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        }
    }

    /// Whether part of the request's body may not have been read, so that the connection can't carry another request.
    fn leaves_body_unread(self) -> bool {
        matches!(self, Failure::BodyTooLong | Failure::TooSlow | Failure::BadRequest | Failure::BadPrompt(_))
    }

    /// The response to the client.
    pub fn response(self) -> Response<Body> {
        let (status, retry_after) = self.status();
        let mut response = json(status, serde_json::json!({ "error": self.to_string() }).to_string());
        if let Some(after) = retry_after {
            let seconds = format!("{:.1}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        if self.leaves_body_unread() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// A JSON response.
pub fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A body that is already complete.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}
