//! Whole clusters of the router fleet in one process: the coordinators of the program on a simulated network, clock
//! and disks, with operators and faults, and a checker that looks only at what was sent and answered.

pub mod checker;
pub mod cluster;
pub mod disk;
pub mod failover;
pub mod faults;
pub mod history;
pub mod limit_checker;
pub mod limits;
pub mod seeds;
