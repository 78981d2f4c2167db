//! Formatting of log lines of the form `event=name key=value`.
//!
//! A line is formatted only if its level is enabled, so that a disabled event on the request path costs a single
//! comparison. The program chooses levels and sinks.

use std::fmt;

/// Displays a value in double quotes, for text that may contain spaces. Quotes within the text are not escaped,
/// because the lines are meant for people and `grep` rather than for a parser.
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "\"{}\"", self.0)
    }
}

/// Logs one event: `log_event!(warn, "accept_failed", listener = name, problem = Quoted(&error))` writes
/// `event=accept_failed listener=control problem="too many open files"`.
macro_rules! log_event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        log::$level!(concat!("event=", $name $(, " ", stringify!($key), "={}")*) $(, $value)*)
    };
}

pub(crate) use log_event;

#[cfg(test)]
mod tests;
