//! Load reports as text: `name=value` pairs in HTTP, `name:value` pairs in the simulator's protocol.

use passrelay_load_balancing::LoadReport;

/// Upper bound of a plausible value: a number of requests, milliseconds, or requests per second.
const MAX_VALUE: f64 = 1e6;
/// Upper bound of a plausible CPU share, beyond any measurement noise.
const MAX_CPU: f64 = 4.0;

/// Returns whether all values can be true. Otherwise nonsense in a report could starve a node or flood it
/// with requests.
pub fn is_plausible(report: &LoadReport) -> bool {
    let values = [report.in_flight, report.queued, report.service_time_ms, report.rps, report.err_rps];
    values.iter().flatten().all(|value| (0.0..=MAX_VALUE).contains(value))
        && report.cpu.is_none_or(|value| (0.0..=MAX_CPU).contains(&value))
}

/// Parses a report of comma-separated pairs, each a name and a value joined by `separator`. Unknown names are
/// skipped.
///
/// A value is known by its name in the settings and by the name that operators use for it.
///
/// # Errors
///
/// Returns a message with the pair that is not a name and a number.
pub fn parse_load_report(text: &str, separator: char) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',').map(str::trim) {
        let invalid = || format!("a report value should be name{separator}number, is '{pair}'");
        let (name, value) = pair.split_once(separator).ok_or_else(invalid)?;
        let value: f64 = value.trim().parse().map_err(|_| invalid())?;
        let field = match name.trim() {
            "active" | "inflight" => &mut report.in_flight,
            "waiting" | "queue" => &mut report.queued,
            "cpu" | "util" => &mut report.cpu,
            "avg_ms" | "latency_ms" => &mut report.service_time_ms,
            "rps" | "qps" => &mut report.rps,
            "err_rps" | "eps" => &mut report.err_rps,
            _ => continue,
        };
        *field = Some(value);
    }
    Ok(report)
}
