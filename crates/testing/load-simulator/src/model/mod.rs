//! Models of the parts of an emulated fleet.

pub mod caller;
pub mod discovery;
pub mod network;
pub mod node;
pub mod report;
