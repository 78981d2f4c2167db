//! The I/O around `passrelay-lease-consensus`: a voter with its journal ([`durable_voter`]), the connections
//! between processes ([`links`]), and the loops that drive a voter and a client. None of it runs on the data
//! path's thread.

pub mod background_client;
pub mod durable_voter;
pub mod fleet_client;
pub mod fleet_config;
pub mod links;
pub mod voter_loop;

use std::time::Duration;

/// Returns the time on a clock that also advances while the machine is suspended, unlike `std`'s clock on
/// Linux.
pub fn now() -> Duration {
    adjusted(boot_time())
}

#[cfg(not(feature = "moved-clocks"))]
fn adjusted(time: Duration) -> Duration {
    time
}

/// Distorts the clock of this process for fault injection, as set by
/// `PASSRELAY_TEST_CLOCK=RATE,SECONDS_AHEAD`.
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

/// Environment variable that distorts the clock, in builds for fault injection only.
#[cfg(feature = "moved-clocks")]
pub const TEST_CLOCK: &str = "PASSRELAY_TEST_CLOCK";

/// Returns the same clock without the distortion of fault injection.
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns a number that no other process is likely to draw.
pub fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(now().as_nanos());
    hasher.finish()
}
