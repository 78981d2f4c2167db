//! What stands beside the crate `fleet`: a voter with its disk ([`durable_voter`]), and the links between processes
//! with the loops that drive a voter and a client. None of it runs on the data path's thread.

pub mod background_client;
pub mod durable_voter;
pub mod fleet_client;
pub mod fleet_config;
pub mod links;
pub mod voter_loop;

use std::time::Duration;

/// Time on a clock that goes on while the machine sleeps, which `std`'s does not on Linux.
pub fn now() -> Duration {
    adjusted(boot_time())
}

#[cfg(not(feature = "moved-clocks"))]
fn adjusted(time: Duration) -> Duration {
    time
}

/// For fault injection: what this process takes for the time, by `PASSRELAY_TEST_CLOCK=RATE,SECONDS_AHEAD`.
#[cfg(feature = "moved-clocks")]
fn adjusted(time: Duration) -> Duration {
    static CLOCK: std::sync::OnceLock<Option<(Duration, f64, f64)>> = std::sync::OnceLock::new();
    let clock = CLOCK.get_or_init(|| {
        let said = std::env::var(TEST_CLOCK).ok()?;
        let (rate, ahead) = said.split_once(',')?;
        Some((time, rate.parse().ok()?, ahead.parse().ok()?))
    });
    match clock {
        None => time,
        Some((start, rate, ahead)) => {
            *start + Duration::from_secs_f64(ahead + time.saturating_sub(*start).as_secs_f64() * rate)
        }
    }
}

/// The variable that moves a process's clock, in builds for fault injection only.
#[cfg(feature = "moved-clocks")]
pub const TEST_CLOCK: &str = "PASSRELAY_TEST_CLOCK";

/// The same clock as the system has it.
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A number that another process is not going to draw.
pub fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(now().as_nanos());
    hasher.finish()
}
