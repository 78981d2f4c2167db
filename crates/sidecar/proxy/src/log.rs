//! The one place where log lines are written: `key=value` pairs on standard error, a few a second.
//!
//! A line is an event name and named values, so that another form of output can take its place here.

use std::fmt::Display;
use std::io::Write;

/// Most lines in one second; more are counted and the count stands in the next line as `muted`.
const LINES_PER_S: u32 = 8;

/// Writes the log lines of one sidecar.
pub struct Log {
    name: String,
    second: u64,
    lines: u32,
    muted: u64,
}

impl Log {
    /// A log for the sidecar `name`.
    pub fn new(name: &str) -> Self {
        Log { name: name.to_owned(), second: 0, lines: 0, muted: 0 }
    }

    /// Writes one line, unless this second has had its lines. `now` is in seconds on any one clock.
    pub fn line(&mut self, now: f64, level: &str, event: &str, values: &[(&str, &dyn Display)]) {
        let second = now as u64;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= LINES_PER_S {
            self.muted += 1;
            return;
        }
        self.lines += 1;
        let mut text = format!("t={now:.3} level={level} name={} event={event}", quoted(&self.name));
        for (key, value) in values {
            text.push_str(&format!(" {key}={}", quoted(&value.to_string())));
        }
        if self.muted > 0 {
            text.push_str(&format!(" muted={}", std::mem::take(&mut self.muted)));
        }
        text.push('\n');
        // A log that nobody reads any more must not end the sidecar.
        let _ = std::io::stderr().write_all(text.as_bytes());
    }
}

/// A value as it stands in a line: quoted where a blank, a quote or a control character is in it.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
