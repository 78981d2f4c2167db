//! The models: what an emulated fleet consists of.

pub mod caller;
pub mod discovery;
pub mod network;
pub mod node;
pub mod report;
