//! Node lists, as discovery sends them and as `known` in the configuration holds them.

use passrelay_load_balancing::EndpointState;
use serde_json::Value;
use std::net::SocketAddr;

/// A response of discovery: a full node list or its changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeListUpdate {
    /// Version of the list; written as `seq`.
    pub version: u64,
    /// Whether this is the full list; otherwise it holds only the nodes that changed. Written as `whole`.
    pub full: bool,
    /// The nodes of the list or those that changed; written as `hosts`.
    pub nodes: Vec<NodeRecord>,
}

/// What discovery reports of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRecord {
    /// Name of the node, the same for every sidecar.
    pub host: String,
    /// Address at which the node takes requests; written as `dial`.
    pub address: SocketAddr,
    /// Name of the node's zone, empty if absent; written as `site`.
    pub zone: String,
    /// Number of the node's cell, 0 if absent; written as `block`.
    pub cell: u64,
    /// Whether the node takes requests; written as `health`.
    pub state: EndpointState,
    /// Unix time of the last start in milliseconds, 0 if it started long ago; written as `born_ms`.
    pub started_at_ms: f64,
}

impl NodeListUpdate {
    /// Parses an update. Unknown keys are skipped.
    ///
    /// # Errors
    ///
    /// Returns a message with the path of the first invalid key.
    pub fn parse(value: &Value) -> Result<NodeListUpdate, String> {
        let version = value["seq"].as_u64().ok_or("seq should be a whole number")?;
        let full = value["whole"].as_bool().ok_or("whole should be true or false")?;
        let hosts = value["hosts"].as_array().ok_or("hosts should be a list")?;
        let nodes = hosts.iter().enumerate().map(|(index, host)| NodeRecord::parse(host, index));
        Ok(NodeListUpdate { version, full, nodes: nodes.collect::<Result<_, _>>()? })
    }
}

impl NodeRecord {
    /// Parses the entry `hosts[index]`.
    fn parse(host: &Value, index: usize) -> Result<NodeRecord, String> {
        let text = |key: &str| {
            host[key].as_str().ok_or_else(|| format!("hosts[{index}].{key} should be text, is {}", host[key]))
        };
        let state = match text("health")? {
            "in_service" => EndpointState::Running,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            other => {
                return Err(format!(
                    "hosts[{index}].health should be in_service, terminating or terminated, is '{other}'"
                ))
            }
        };
        let address = text("dial")?;
        Ok(NodeRecord {
            host: text("host")?.to_owned(),
            address: address
                .parse()
                .map_err(|_| format!("hosts[{index}].dial should be address:port, is '{address}'"))?,
            zone: host["site"].as_str().unwrap_or("").to_owned(),
            cell: host["block"].as_u64().unwrap_or(0),
            state,
            started_at_ms: host["born_ms"].as_f64().filter(|started_at| *started_at > 0.0).unwrap_or(0.0),
        })
    }
}
