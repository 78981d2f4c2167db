//! Which seeds a test plays.

use std::ops::Range;

/// The seeds that the environment variable of this name tells as `FROM..TO`; else those from 0 up to `least`.
pub fn seeds_from(variable: &str, least: u64) -> Range<u64> {
    let told = std::env::var(variable).ok();
    let range = told.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..least)
}
