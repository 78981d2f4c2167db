//! The node list as discovery writes it, and as `known` in the configuration holds it.

use passrelay_load_balancing::EndpointState;
use serde_json::Value;
use std::net::SocketAddr;

/// One answer of discovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeListUpdate {
    /// The version of the list.
    pub version: u64,
    /// The whole list; otherwise only the lines that changed.
    pub full: bool,
    /// The lines.
    pub nodes: Vec<NodeRecord>,
}

/// What discovery says of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRecord {
    /// Its name, the same for every sidecar.
    pub host: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its condition.
    pub condition: EndpointState,
    /// The Unix time in milliseconds of its last start; 0: long ago.
    pub started_at_ms: f64,
}

impl NodeListUpdate {
    /// Reads an update, or says which key is wrong. Keys that are not known are skipped.
    ///
    /// # Errors
    ///
    /// Returns the path of the first bad key and what is wrong with it.
    pub fn parse(value: &Value) -> Result<NodeListUpdate, String> {
        let version = value["seq"].as_u64().ok_or("seq should be a whole number")?;
        let full = value["whole"].as_bool().ok_or("whole should be true or false")?;
        let hosts = value["hosts"].as_array().ok_or("hosts should be a list")?;
        let nodes = hosts.iter().enumerate().map(|(at, line)| NodeRecord::parse(line, at));
        Ok(NodeListUpdate { version, full, nodes: nodes.collect::<Result<_, _>>()? })
    }
}

impl NodeRecord {
    fn parse(line: &Value, at: usize) -> Result<NodeRecord, String> {
        let text = |key: &str| {
            line[key].as_str().ok_or_else(|| format!("hosts[{at}].{key} should be text, is {}", line[key]))
        };
        let condition = match text("health")? {
            "in_service" => EndpointState::Running,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            other => return Err(format!("hosts[{at}].health has the value '{other}'")),
        };
        let dial = text("dial")?;
        Ok(NodeRecord {
            host: text("host")?.to_owned(),
            address: dial
                .parse()
                .map_err(|_| format!("hosts[{at}].dial should be address:port, is '{dial}'"))?,
            zone: line["site"].as_str().unwrap_or("").to_owned(),
            cell: line["block"].as_u64().unwrap_or(0),
            condition,
            started_at_ms: line["born_ms"].as_f64().filter(|b| *b > 0.0).unwrap_or(0.0),
        })
    }
}
