//! Load reports as text: `name=value` pairs in an answer, `name:value` pairs on the simulator's wire.

use passrelay_load_balancing::LoadReport;

/// More than any figure of a report can be: requests, milliseconds, or requests a second.
const MOST: f64 = 1e6;
/// More than any noise makes of a share of the CPU.
const MOST_CPU: f64 = 4.0;

/// Whether all figures can be true. Guards against a node that is starved or flooded by nonsense.
pub fn is_plausible(report: &LoadReport) -> bool {
    let figures = [report.in_flight, report.queued, report.service_time_ms, report.rps, report.err_rps];
    figures.iter().flatten().all(|v| (0.0..=MOST).contains(v))
        && report.cpu.is_none_or(|v| (0.0..=MOST_CPU).contains(&v))
}

/// Reads pairs set apart by commas, name and value by `between`; names not known are skipped.
///
/// Both the names of the settings and those that operators use for the same figures are known.
///
/// # Errors
///
/// Returns the pair that is not a name and a number.
pub fn parse_load_report(text: &str, between: char) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',').map(str::trim) {
        let bad = || format!("a report value should be name{between}number, is '{pair}'");
        let (name, value) = pair.split_once(between).ok_or_else(bad)?;
        let value: f64 = value.trim().parse().map_err(|_| bad())?;
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
