//! The router fleet in simulated time, to find schedules of faults under which it breaks its guarantees.
//!
//! `cluster` runs the coordinators of the program on a simulated network, clock and disks; `faults` injects faults;
//! `history` and `limits` play random histories with operators and clients; `checker` and `limit_checker` judge them by what
//! was sent and answered alone; `failover` measures the time without a primary. Nothing here opens a socket or reads a clock.
//! Everything is drawn from a seed: the same seed gives the same history.

pub mod checker;
pub mod cluster;
pub mod disk;
pub mod failover;
pub mod faults;
pub mod history;
pub mod limit_checker;
pub mod limits;
pub mod seeds;
