//! The simulator's line protocol: parses its messages into events and prints actions. This module makes no
//! decisions and keeps no state.

mod fields;

pub use fields::Fields;

use passrelay_load_balancing::{
    Action, ClassId, Ending, EndpointEntry, EndpointState, Event, LoadReport, Outcome, RequestId, UpstreamId,
    ZoneId,
};
use passrelay_sidecar_settings::{parse_load_report, Names, UnresolvedEntry};
use std::fmt::{self, Write as _};

/// Flag bit of a `submit` line: the work hint is valid.
const FLAG_WORK_HINT: u64 = 1;
/// Flag bit of a `submit` line: the client marked the request as a repeat.
const FLAG_REPEAT: u64 = 2;

/// A line that cannot be processed; displays the reason.
#[derive(Debug)]
pub struct LineError(String);

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LineError {}

impl From<String> for LineError {
    fn from(reason: String) -> Self {
        LineError(reason)
    }
}

/// Parses an `item` line: one entry of an endpoint list, with the name of its zone.
pub fn parse_item(fields: &Fields<'_>) -> Result<UnresolvedEntry, LineError> {
    fields.check_count(5, 7)?;
    let state = match fields.required_text(4, "a condition")? {
        "on" => EndpointState::Running,
        "fading" => EndpointState::Draining,
        "off" => EndpointState::Removed,
        other => return Err(format!("item: condition should be on, fading or off, is '{other}'").into()),
    };
    // The simulator writes 0 for an upstream that started long ago.
    let started =
        fields.number::<f64>(6, "a start time")?.filter(|started| started.is_finite() && *started != 0.0);
    let upstream = UpstreamId(fields.required_number(0, "an upstream id")?);
    let cell = fields.number(3, "a cell number")?.unwrap_or(0);
    let entry = EndpointEntry { upstream, zone: ZoneId(0), cell, state, started };
    Ok(UnresolvedEntry { entry, zone_name: fields.text(1).unwrap_or("").to_owned() })
}

/// Parses an event of one instance, except those about lists, starts and stops. Returns `None` for a message
/// that the balancer does not use.
pub fn parse_event(fields: &Fields<'_>, names: &Names) -> Result<Option<Event>, LineError> {
    let event = match fields.name() {
        "submit" => parse_submit(fields, names)?,
        "first" => {
            fields.check_count(5, 5)?;
            Event::ResponseStarted { id: request_id(fields)?, attempt: attempt_number(fields)? }
        }
        "reply" => {
            fields.check_count(7, 8)?;
            Event::Outcome(Outcome {
                id: request_id(fields)?,
                attempt: attempt_number(fields)?,
                upstream: upstream_id(fields, 3)?,
                ending: parse_ending(fields, 4)?,
                elapsed: fields.required_seconds(5, "a time")?,
                last: fields.required_flag(6)?,
                report: parse_optional_report(fields, 7)?,
            })
        }
        "gone" => {
            fields.check_count(2, 2)?;
            Event::ClientDisconnected(request_id(fields)?)
        }
        "ring" => {
            fields.check_count(2, 2)?;
            Event::Wake(fields.required_number(1, "a token")?)
        }
        "probed" => {
            fields.check_count(4, 5)?;
            Event::HealthCheckEnded {
                upstream: upstream_id(fields, 1)?,
                ending: parse_ending(fields, 2)?,
                elapsed: fields.required_seconds(3, "a time")?,
                report: parse_optional_report(fields, 4)?,
            }
        }
        "from_peer" => {
            fields.check_count(3, 3)?;
            return Ok(None);
        }
        other => return Err(format!("unknown message '{other}'").into()),
    };
    Ok(Some(event))
}

fn parse_submit(fields: &Fields<'_>, names: &Names) -> Result<Event, LineError> {
    fields.check_count(3, 8)?;
    let class = fields.required_text(2, "a class")?;
    let known = names.classes.iter().position(|known| known == class);
    let class = known.ok_or_else(|| format!("submit: unknown class '{class}'"))?;
    let tenant = names.tenant_id(fields.text(3).filter(|tenant| *tenant != "0"));
    let tenant = tenant.map_err(|tenant| format!("submit: unknown tenant '{tenant}'"))?;
    // The key of a keyed request is validated but not used, since the upstreams deduplicate.
    fields.number::<u64>(4, "a key")?;
    let flags: u64 = fields.number(7, "flags")?.unwrap_or(0);
    Ok(Event::Request {
        id: request_id(fields)?,
        class: ClassId(class),
        tenant,
        client_timeout: fields.number(5, "a time")?.unwrap_or(f64::INFINITY),
        work_hint: fields.number(6, "a time")?.filter(|_| flags & FLAG_WORK_HINT != 0),
        repeat: flags & FLAG_REPEAT != 0,
    })
}

fn parse_ending(fields: &Fields<'_>, index: usize) -> Result<Ending, LineError> {
    Ok(match fields.required_text(index, "an outcome")? {
        "delivered" => Ending::Served,
        "app_error" => Ending::UpstreamError,
        "shed" => Ending::Shed,
        "expired" => Ending::TimedOut,
        "dial_failed" => Ending::ConnectFailed,
        "dropped" => Ending::ConnectionLost,
        "revoked" => Ending::Cancelled,
        "unused" => Ending::NotSent,
        other => return Err(format!("{}: unknown outcome '{other}'", fields.name()).into()),
    })
}

fn parse_optional_report(fields: &Fields<'_>, index: usize) -> Result<Option<LoadReport>, LineError> {
    let report = fields.text(index).map(|text| parse_load_report(text, ':')).transpose();
    Ok(report.map_err(|problem| format!("{}: {problem}", fields.name()))?)
}

fn request_id(fields: &Fields<'_>) -> Result<RequestId, LineError> {
    fields.required_number(1, "a request id").map(RequestId)
}

fn attempt_number(fields: &Fields<'_>) -> Result<u32, LineError> {
    fields.required_number(2, "an attempt number")
}

fn upstream_id(fields: &Fields<'_>, index: usize) -> Result<UpstreamId, LineError> {
    fields.required_number(index, "an upstream id").map(UpstreamId)
}

/// Appends one action of an instance to `out`.
pub fn print_action(out: &mut String, instance: u64, action: &Action) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, upstream, timeout: None } => {
            writeln!(out, "attempt\t{instance}\t{}\t0\t{}", id.0, upstream.0)
        }
        Action::Send { id, upstream, timeout: Some(timeout) } => {
            writeln!(out, "attempt\t{instance}\t{}\t{timeout:.6}\t{}", id.0, upstream.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "abort_attempt\t{instance}\t{}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => {
            writeln!(out, "not_now\t{instance}\t{}\t{:.6}", id.0, retry_after.unwrap_or(0.0))
        }
        Action::Fail { id } => writeln!(out, "error\t{instance}\t{}", id.0),
        Action::Wake { after, token } => writeln!(out, "sleep\t{instance}\t{after:.6}\t{token}"),
        Action::HealthCheck(upstream) => writeln!(out, "test\t{instance}\t{}", upstream.0),
        Action::Subscribe => writeln!(out, "observe\t{instance}\t1"),
    };
}
