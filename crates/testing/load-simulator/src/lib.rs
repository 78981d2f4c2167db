//! The laboratory: an emulator of fleets behind passrelay at sizes that sockets do not reach, rivals of its
//! decision module, and the tools that run, compare, explain and plot experiments.
//!
//! [`world::play`] plays one [`experiment::Experiment`] with one [`rivals::Policy`] and one seed. The same three
//! give the same [`meter::Outcome`] to the byte, on one thread or many.

pub mod cli;
pub mod experiment;
pub mod fault_injection;
pub mod meter;
pub mod model;
pub mod observer;
pub mod plot;
pub mod queue;
pub mod random;
pub mod results;
pub mod rivals;
pub mod sockets;
pub mod stats;
pub mod tables;
pub mod theory;
pub mod world;
