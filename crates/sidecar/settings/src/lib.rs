//! What a sidecar is told, as it is written: its configuration, node lists and load reports.

mod config;
mod node_list;
mod report;

pub use config::{line_of, Config, ConfigError, Item, Names, ServiceSettings};
pub use node_list::{NodeLine, NodeListUpdate};
pub use report::{is_sound, parse_report};
