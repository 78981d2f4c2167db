//! What stands beside the crate `fleet`: a voter with its disk ([`seat`]), and the links between processes
//! with the loops that drive a voter and a client. None of it runs on the data path's thread.

pub mod member;
pub mod net;
pub mod plan;
pub mod seat;
pub mod voting;

use std::time::Duration;

/// Time on a clock that goes on while the machine sleeps, which `std`'s does not on Linux.
pub fn now() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A number that another process is not going to draw.
pub fn drawn() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(now().as_nanos());
    hasher.finish()
}
