//! Deterministic simulation of the router fleet, to find schedules of faults under which it breaks its guarantees.
//!
//! `cluster` runs the coordinators of the program on a simulated network, clock and disks; `faults` injects faults;
//! `history` and `limits` simulate random histories with operators and clients; `checker` and `limit_checker` judge them
//! solely by what was sent and answered; `failover` measures the time without a primary. Nothing here opens a socket or reads
//! a clock. All random numbers derive from a seed: the same seed gives the same history.

pub mod checker;
pub mod cluster;
pub mod disk;
pub mod failover;
pub mod faults;
pub mod history;
pub mod limit_checker;
pub mod limits;
pub mod seeds;
