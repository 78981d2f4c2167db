//! Parsing and printing of the wire's lines. No decisions are made here.

use passrelay_load_balancing::{
    Action, ClassId, Condition, Ending, Entry, Event, Outcome, Report, RequestId, UpstreamId, ZoneId,
};
use passrelay_sidecar_settings::{parse_report, Item, Names};
use std::fmt::Write as _;
use std::str::FromStr;

/// What went wrong with a line: what was expected.
pub type Expected = String;

/// The fields of one line after the message name.
pub struct Fields<'a> {
    name: &'a str,
    parts: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its message name and fields.
    pub fn new(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        Fields { name: parts.next().unwrap_or(""), parts: parts.collect() }
    }

    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Checks the number of fields; fields past `least` are optional.
    pub fn count(&self, least: usize, most: usize) -> Result<(), Expected> {
        if (least..=most).contains(&self.parts.len()) {
            return Ok(());
        }
        let wanted = if least == most { format!("{least}") } else { format!("{least} to {most}") };
        Err(format!("{} takes {wanted} fields, got {}", self.name, self.parts.len()))
    }

    pub fn rest(&self, from: usize) -> &[&'a str] {
        self.parts.get(from..).unwrap_or(&[])
    }

    /// The field as text; `None` if absent.
    pub fn text(&self, at: usize) -> Option<&'a str> {
        self.parts.get(at).copied().filter(|t| *t != "-" && !t.is_empty())
    }

    pub fn need_text(&self, at: usize, what: &str) -> Result<&'a str, Expected> {
        self.text(at).ok_or_else(|| format!("{}: field {} should be {what}, is absent", self.name, at + 1))
    }

    /// The field as a number; `None` if absent.
    pub fn number<T: FromStr>(&self, at: usize, what: &str) -> Result<Option<T>, Expected> {
        let Some(text) = self.text(at) else { return Ok(None) };
        let bad = |_| format!("{}: field {} should be {what}, is '{text}'", self.name, at + 1);
        text.parse().map(Some).map_err(bad)
    }

    pub fn need<T: FromStr>(&self, at: usize, what: &str) -> Result<T, Expected> {
        let missing = || format!("{}: field {} should be {what}, is absent", self.name, at + 1);
        self.number(at, what)?.ok_or_else(missing)
    }

    /// A time or span: a finite number.
    pub fn need_time(&self, at: usize, what: &str) -> Result<f64, Expected> {
        let value: f64 = self.need(at, what)?;
        let bad = || format!("{}: field {} should be {what}, is not finite", self.name, at + 1);
        value.is_finite().then_some(value).ok_or_else(bad)
    }

    pub fn need_bool(&self, at: usize) -> Result<bool, Expected> {
        match self.text(at) {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => Err(format!("{}: field {} should be 1 or 0", self.name, at + 1)),
        }
    }
}

/// Parses an `item` line.
pub fn item(f: &Fields) -> Result<Item, Expected> {
    f.count(5, 7)?;
    let condition = match f.need_text(4, "a condition")? {
        "on" => Condition::Running,
        "fading" => Condition::Draining,
        "off" => Condition::Removed,
        other => return Err(format!("item: condition should be on, fading or off, is '{other}'")),
    };
    let started = f.number::<f64>(6, "a start time")?.filter(|s| s.is_finite() && *s != 0.0);
    let upstream = UpstreamId(f.need(0, "an upstream id")?);
    let cell = f.number(3, "a cell number")?.unwrap_or(0);
    let entry = Entry { upstream, zone: ZoneId(0), cell, condition, started };
    Ok(Item { entry, zone: f.text(1).unwrap_or("").to_owned() })
}

fn ending(name: &str) -> Result<Ending, Expected> {
    Ok(match name {
        "delivered" => Ending::Delivered,
        "app_error" => Ending::AppError,
        "shed" => Ending::Shed,
        "expired" => Ending::Expired,
        "dial_failed" => Ending::DialFailed,
        "dropped" => Ending::Dropped,
        "revoked" => Ending::Revoked,
        "unused" => Ending::Unused,
        other => return Err(format!("unknown outcome '{other}'")),
    })
}

fn report(text: Option<&str>) -> Result<Option<Report>, Expected> {
    text.map(|t| parse_report(t, ':')).transpose()
}

/// Parses an event of one instance other than those about lists, starts and stops. `None`: not for the module.
pub fn event(f: &Fields, names: &Names) -> Result<Option<Event>, Expected> {
    let id = |at| f.need(at, "a request id").map(RequestId);
    let upstream = |at| f.need(at, "an upstream id").map(UpstreamId);
    Ok(Some(match f.name() {
        "submit" => {
            f.count(3, 8)?;
            let class = f.need_text(2, "a class")?;
            let known = names.classes.iter().position(|c| c == class);
            let class = known.ok_or_else(|| format!("submit: unknown class '{class}'"))?;
            let tenant = names.tenant(f.text(3).filter(|t| *t != "0"));
            let tenant = tenant.map_err(|t| format!("submit: unknown tenant '{t}'"))?;
            f.number::<u64>(4, "a key")?;
            let flags: u64 = f.number(7, "flags")?.unwrap_or(0);
            Event::Request {
                id: id(1)?,
                class: ClassId(class),
                tenant,
                ttl: f.number(5, "a time")?.unwrap_or(f64::INFINITY),
                work_hint: f.number(6, "a time")?.filter(|_| flags & 1 != 0),
                repeat: flags & 2 != 0,
            }
        }
        "first" => {
            f.count(5, 5)?;
            Event::StreamBegan { id: id(1)?, attempt: f.need(2, "an attempt number")? }
        }
        "reply" => {
            f.count(7, 8)?;
            Event::Outcome(Outcome {
                id: id(1)?,
                attempt: f.need(2, "an attempt number")?,
                upstream: upstream(3)?,
                ending: ending(f.need_text(4, "an outcome")?)?,
                elapsed: f.need_time(5, "a time")?,
                last: f.need_bool(6)?,
                report: report(f.text(7))?,
            })
        }
        "gone" => {
            f.count(2, 2)?;
            Event::Gone(id(1)?)
        }
        "ring" => {
            f.count(2, 2)?;
            Event::Wake(f.need(1, "a token")?)
        }
        "probed" => {
            f.count(4, 5)?;
            Event::Probed {
                upstream: upstream(1)?,
                ending: ending(f.need_text(2, "an outcome")?)?,
                elapsed: f.need_time(3, "a time")?,
                report: report(f.text(4))?,
            }
        }
        "from_peer" => {
            f.count(3, 3)?;
            return Ok(None);
        }
        other => return Err(format!("a message of the wire, got '{other}'")),
    }))
}

/// Prints one action of an instance.
pub fn print(out: &mut String, who: u64, action: &Action) {
    let _ = match action {
        Action::Send { id, upstream, timeout: None } => {
            writeln!(out, "attempt\t{who}\t{}\t0\t{}", id.0, upstream.0)
        }
        Action::Send { id, upstream, timeout: Some(p) } => {
            writeln!(out, "attempt\t{who}\t{}\t{p:.6}\t{}", id.0, upstream.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "abort_attempt\t{who}\t{}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => {
            writeln!(out, "not_now\t{who}\t{}\t{:.6}", id.0, retry_after.unwrap_or(0.0))
        }
        Action::Fail { id } => writeln!(out, "error\t{who}\t{}", id.0),
        Action::Wake { after, token } => writeln!(out, "sleep\t{who}\t{after:.6}\t{token}"),
        Action::Probe(upstream) => writeln!(out, "test\t{who}\t{}", upstream.0),
        Action::Watch => writeln!(out, "observe\t{who}\t1"),
    };
}
