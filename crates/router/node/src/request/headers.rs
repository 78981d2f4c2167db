//! Names of the header fields that the router reads and writes, and the removal of hop-by-hop fields.

use hyper::header::{HeaderName, CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
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
