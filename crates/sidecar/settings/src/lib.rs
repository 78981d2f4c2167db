//! Parsing and validation of a sidecar's input: its configuration, node lists and load reports.

mod config;
mod node_list;
mod report;

pub use config::{error_line, Config, ConfigError, Names, ServiceSettings, UnresolvedEntry};
pub use node_list::{NodeListUpdate, NodeRecord};
pub use report::{is_plausible, parse_load_report};
