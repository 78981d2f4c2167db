//! A client's request as parsed from its head, independent of any configuration.

use super::headers::{DEADLINE, PREFIX_HASH, TOKEN_USAGE};
use crate::responses::Failure;
use crate::stored_body::StoredBody;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use passrelay_configuration::Route;
use passrelay_data_plane::prompt::Prompt;
use std::cell::RefCell;
use std::time::Duration;

/// Timeout of a request that specifies none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum timeout that a client may specify, in seconds.
const MAX_TIMEOUT_S: f64 = 3_600.0;

/// A client's request.
pub struct InboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as forwarded.
    pub uri: Uri,
    /// Host that routes are matched against.
    pub host: String,
    /// All header fields, as received.
    pub headers: HeaderMap,
    /// The bearer key, if the request has one.
    pub key: Option<String>,
    /// Description of the prompt in the header fields.
    pub prompt: Prompt,
    /// The complete body; empty until it has been read, and once it is not sent again.
    pub body: RefCell<StoredBody>,
    /// When the head had been read, on the clock of the process.
    pub arrived: Duration,
    /// How long the client waits after `arrived`.
    pub timeout: Duration,
}

impl InboundRequest {
    /// Parses a request head.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::BadRequest`] if the host is missing or a field is malformed, and [`Failure::BadPrompt`] if that field
    /// is the declared size of the prompt.
    pub fn parse(parts: Parts, arrived: Duration) -> Result<Self, Failure> {
        let text = |name: &HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let host = parts.uri.host().or_else(|| text(&HOST)).ok_or(Failure::BadRequest)?.to_owned();
        let bearer = text(&AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
        let key = bearer.map(|key| key.trim().to_owned());
        let timeout = parse_timeout(text(&DEADLINE))?;
        let token_usage = parts.headers.get(&TOKEN_USAGE).map(HeaderValue::as_bytes);
        let prompt = Prompt::from_headers(token_usage, text(&PREFIX_HASH))?;
        let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(InboundRequest {
            uri: path_and_query.parse().map_err(|_| Failure::BadRequest)?,
            host,
            key,
            prompt,
            method: parts.method,
            headers: parts.headers,
            body: RefCell::default(),
            arrived,
            timeout,
        })
    }

    /// Returns the deadline of the request on a route, on the clock of the process.
    pub fn deadline(&self, route: &Route) -> Duration {
        self.arrived + self.timeout.min(Duration::from_millis(route.timeout_ms))
    }
}

/// Parses the client's timeout from the deadline header. Returns [`DEFAULT_TIMEOUT`] without a header.
///
/// # Errors
///
/// Returns [`Failure::BadRequest`] if the header is not a non-negative number of milliseconds.
pub(super) fn parse_timeout(header: Option<&str>) -> Result<Duration, Failure> {
    let Some(text) = header else { return Ok(DEFAULT_TIMEOUT) };
    let milliseconds: f64 = text.trim().parse().map_err(|_| Failure::BadRequest)?;
    if !milliseconds.is_finite() || milliseconds < 0.0 {
        return Err(Failure::BadRequest);
    }
    Ok(Duration::from_secs_f64((milliseconds / 1_000.0).min(MAX_TIMEOUT_S)))
}
