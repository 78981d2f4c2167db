//! A client's request as parsed from its head, before any configuration is looked at.

use super::headers::{DEADLINE, PREFIX_HASH, TOKEN_USAGE};
use crate::responses::Failure;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use passrelay_configuration::Route;
use passrelay_data_plane::prompt::Prompt;
use std::time::Duration;

/// Timeout of a request that gives none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the timeout that a client may give, in seconds.
const MAX_TIMEOUT_S: f64 = 3_600.0;

/// A client's request.
pub struct InboundRequest {
    /// Its method.
    pub method: Method,
    /// Path and query, as forwarded.
    pub uri: Uri,
    /// The host that routes are matched by.
    pub host: String,
    /// All header fields.
    pub headers: HeaderMap,
    /// The bearer key, if there is one.
    pub key: Option<String>,
    /// What the header fields say of the prompt.
    pub prompt: Prompt,
    /// The complete body; empty until it has been read.
    pub body: Bytes,
    /// When the head had been read, on the process's clock.
    pub arrived: Duration,
    /// How long the client waits from then on.
    pub timeout: Duration,
}

impl InboundRequest {
    /// Parses a head.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::BadRequest`] without a host, or where a field can't be read; [`Failure::BadPrompt`] where that is
    /// the declared size of the prompt.
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
            body: Bytes::new(),
            arrived,
            timeout,
        })
    }

    /// When the request has to be over on a route, on the process's clock.
    pub fn deadline(&self, route: &Route) -> Duration {
        self.arrived + self.timeout.min(Duration::from_millis(route.timeout_ms))
    }
}

/// The time that a client waits, by its deadline header.
///
/// # Errors
///
/// Returns [`Failure::BadRequest`] where the header is no number of milliseconds.
pub(super) fn parse_timeout(header: Option<&str>) -> Result<Duration, Failure> {
    let Some(text) = header else { return Ok(DEFAULT_TIMEOUT) };
    let milliseconds: f64 = text.trim().parse().map_err(|_| Failure::BadRequest)?;
    if !milliseconds.is_finite() || milliseconds < 0.0 {
        return Err(Failure::BadRequest);
    }
    Ok(Duration::from_secs_f64((milliseconds / 1_000.0).min(MAX_TIMEOUT_S)))
}
