//! The JSON body of an endpoint's heartbeat.

use passrelay_dissemination::{EndpointRecord, EndpointState, Heartbeat};
use serde_json::Value;
use std::net::SocketAddrV4;

/// Maximum length of an endpoint's version, in bytes. Bounded because versions are replicated.
const MAX_VERSION_BYTES: usize = 256;

/// Parses a heartbeat from a JSON body. Returns `None` if a required key is missing or a value is invalid.
pub fn parse(id: &str, body: &Value) -> Option<Heartbeat> {
    let text = |name: &str| body.get(name).and_then(Value::as_str);
    let integer = |name: &str| body.get(name).and_then(Value::as_u64);
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
            capacity: integer("capacity").and_then(|capacity| u32::try_from(capacity).ok()).unwrap_or(1),
            state,
            sequence: integer("sequence")?,
            version: parse_version(body.get("generation"))?,
        },
    })
}

/// Parses the version that an endpoint reports, empty if it reports none. Returns `None` if the value is invalid.
fn parse_version(value: Option<&Value>) -> Option<String> {
    match value {
        None | Some(Value::Null) => Some(String::new()),
        Some(Value::String(text)) if text.len() <= MAX_VERSION_BYTES => Some(text.clone()),
        Some(Value::Number(number)) => Some(number.to_string()),
        Some(_) => None,
    }
}
