//! The tab-separated fields of one line.

use super::LineError;
use std::str::FromStr;

/// Written for a field without a value.
const ABSENT: &str = "-";

/// One line: the name of its message and its fields, numbered from 0 in code and from 1 in error texts.
pub struct Fields<'a> {
    name: &'a str,
    values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its message name and fields.
    pub fn new(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        Fields { name: parts.next().unwrap_or(""), values: parts.collect() }
    }

    /// The name of the message.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Checks the number of fields; fields beyond `min` are optional.
    ///
    /// # Errors
    ///
    /// Returns the number that is allowed.
    pub fn check_count(&self, min: usize, max: usize) -> Result<(), LineError> {
        if (min..=max).contains(&self.values.len()) {
            return Ok(());
        }
        let allowed = if min == max { format!("{min}") } else { format!("{min} to {max}") };
        Err(format!("{} takes {allowed} fields, got {}", self.name, self.values.len()).into())
    }

    /// The fields from this one on; empty beyond the last.
    pub fn rest(&self, from: usize) -> &[&'a str] {
        self.values.get(from..).unwrap_or(&[])
    }

    /// A field as text; `None` if absent.
    pub fn text(&self, index: usize) -> Option<&'a str> {
        self.values.get(index).copied().filter(|text| *text != ABSENT && !text.is_empty())
    }

    /// A field as text; `what` names it in the error if it is absent.
    pub fn required_text(&self, index: usize, what: &str) -> Result<&'a str, LineError> {
        self.text(index).ok_or_else(|| self.absent(index, what))
    }

    /// A field as a number; `None` if absent.
    pub fn number<T: FromStr>(&self, index: usize, what: &str) -> Result<Option<T>, LineError> {
        let Some(text) = self.text(index) else { return Ok(None) };
        let unreadable =
            |_| format!("{}: field {} should be {what}, is '{text}'", self.name, index + 1).into();
        text.parse().map(Some).map_err(unreadable)
    }

    /// A field as a number; `what` names it in the error if it is absent.
    pub fn required<T: FromStr>(&self, index: usize, what: &str) -> Result<T, LineError> {
        self.number(index, what)?.ok_or_else(|| self.absent(index, what))
    }

    /// A time or span in seconds: a finite number.
    pub fn required_seconds(&self, index: usize, what: &str) -> Result<f64, LineError> {
        let value: f64 = self.required(index, what)?;
        if value.is_finite() {
            return Ok(value);
        }
        Err(format!("{}: field {} should be {what}, is not finite", self.name, index + 1).into())
    }

    /// A flag: 1 or 0.
    pub fn required_flag(&self, index: usize) -> Result<bool, LineError> {
        match self.text(index) {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => Err(format!("{}: field {} should be 1 or 0", self.name, index + 1).into()),
        }
    }

    fn absent(&self, index: usize, what: &str) -> LineError {
        format!("{}: field {} should be {what}, is absent", self.name, index + 1).into()
    }
}
