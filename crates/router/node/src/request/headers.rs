//! Names of the header fields that the router reads and writes, the removal of hop-by-hop fields, and what the fields of a
//! response tell about its body.

use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::HeaderMap;

/// Identifier of a request, echoed by the response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-passrelay-request-id");
/// Time remaining for a request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-passrelay-deadline-ms");
/// Identifier of the endpoint that a request is sent to.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-passrelay-target-instance");
/// Name of the tenant that the key belongs to.
pub const TENANT: HeaderName = HeaderName::from_static("x-passrelay-tenant");
/// Number of input and output tokens of a request.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-passrelay-token-usage");
/// Hashes of a prompt's prefixes.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("x-passrelay-prefix-hash");
/// Set by an endpoint that has not executed a request and will not.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-passrelay-not-executed");
/// Load of the responding endpoint.
pub const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-passrelay-instance-load");
/// Identifier of the last event of a stream that the client has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Priority of a request at the endpoint.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";
/// Content encoding of a body that is not encoded.
const IDENTITY_ENCODING: &str = "identity";
/// Transfer encoding of a body in chunks.
const CHUNKED_ENCODING: &str = "chunked";
/// Prefix of the header fields of this protocol.
const PROTOCOL_PREFIX: &str = "x-passrelay-";

/// Returns the header fields without hop-by-hop fields: those of RFC 9110 and those listed in `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // A client must not be able to remove a field that the endpoint relies on by listing it in `Connection`.
    let named = named.into_iter().filter(|name| !name.as_str().starts_with(PROTOCOL_PREFIX));
    let always = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in always.into_iter().chain(named) {
        forwarded.remove(name);
    }
    forwarded
}

/// Replaces a length that is declared several times by a single one, as whoever relays a response has to (RFC 9110, section 8.6).
/// The values are equal, which the validator of the connection has checked.
pub fn unify_content_length(headers: &mut HeaderMap) {
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let first = length.and_then(|list| list.split(',').next());
    if let Some(value) = first.and_then(|first| HeaderValue::from_str(first.trim()).ok()) {
        headers.insert(CONTENT_LENGTH, value);
    }
}

/// Returns whether a response with these headers is a stream of server-sent events whose bytes are those of its text.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let media_type = text(CONTENT_TYPE).split(';').next().unwrap_or_default().trim();
    let encoding = text(CONTENT_ENCODING).trim();
    media_type.eq_ignore_ascii_case(EVENT_STREAM)
        && (encoding.is_empty() || encoding.eq_ignore_ascii_case(IDENTITY_ENCODING))
}

/// Returns whether the body of a response with these headers has neither a length nor chunks, so that it ends with its
/// connection (RFC 9112, section 6.3).
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    let Some(encodings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
        return !headers.contains_key(CONTENT_LENGTH);
    };
    let last_encoding = encodings.to_str().ok().and_then(|encodings| encodings.rsplit(',').next());
    !last_encoding.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case(CHUNKED_ENCODING))
}
