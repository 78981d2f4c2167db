//! The seeds that a test plays.

use std::ops::Range;

/// The seeds that the environment variable of this name gives as `FROM..TO`; the first `default` seeds if it isn't set or
/// can't be read.
pub fn seeds_from_env(variable: &str, default: u64) -> Range<u64> {
    let value = std::env::var(variable).ok();
    let range = value.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..default)
}
