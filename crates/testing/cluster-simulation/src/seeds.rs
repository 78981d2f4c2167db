//! The range of seeds that a test simulates.

use std::ops::Range;

/// Returns the range of seeds in an environment variable, written as `FROM..TO`, or `0..default` if the variable is unset or
/// cannot be parsed.
pub fn seeds_from_env(variable: &str, default: u64) -> Range<u64> {
    let value = std::env::var(variable).ok();
    let range = value.as_deref().and_then(|text| text.split_once(".."));
    range.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..default)
}
