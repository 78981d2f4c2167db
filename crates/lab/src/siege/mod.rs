//! Sieges of a fleet: leases under faults of every kind, in simulated time and with real processes, and a
//! checker that knows nothing of how leases are made.

pub mod clock;
pub mod crowd;
pub mod history;
pub mod processes;
pub mod relay;
pub mod timed;
