//! A simulator of fleets behind passrelay at sizes that real sockets do not reach, alternative load balancing policies
//! for comparison, and tools that run, compare, explain and plot experiments.
//!
//! [`world::play`] runs one [`experiment::Experiment`] with one [`rivals::Policy`] and one seed. The same three always
//! give the same [`meter::Outcome`], byte for byte, on any number of threads.

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
