//! Structured logging: one line of `key=value` pairs per event on standard error, with a rate limit.
//!
//! All log output passes through [`Log::write_event`] as an event name and named values, so the output format can be
//! replaced here.

use std::fmt::Display;
use std::io::Write;

/// Maximum number of lines per second. Lines beyond it are dropped and counted; the next line reports the
/// count as `muted`.
const MAX_LINES_PER_S: u32 = 8;

/// The logger of one sidecar.
pub struct Log {
    name: String,
    second: u64,
    lines: u32,
    dropped: u64,
}

impl Log {
    /// Creates the logger of the sidecar called `name`.
    pub fn new(name: &str) -> Self {
        Log { name: name.to_owned(), second: 0, lines: 0, dropped: 0 }
    }

    /// Writes one line, or drops it if this second's limit is reached. `now` is in seconds on any one clock.
    pub fn write_event(&mut self, now: f64, level: &str, event: &str, values: &[(&str, &dyn Display)]) {
        let second = now as u64;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_S {
            self.dropped += 1;
            return;
        }
        self.lines += 1;
        let mut text = format!("t={now:.3} level={level} name={} event={event}", quoted(&self.name));
        for (key, value) in values {
            text.push_str(&format!(" {key}={}", quoted(&value.to_string())));
        }
        if self.dropped > 0 {
            text.push_str(&format!(" muted={}", std::mem::take(&mut self.dropped)));
        }
        text.push('\n');
        // A closed standard error must not stop the sidecar.
        let _ = std::io::stderr().write_all(text.as_bytes());
    }
}

/// Returns `value` as written in a log line: quoted if it is empty or contains whitespace, a control
/// character, `"` or `=`.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
