//! The tab-separated fields of one line.

use super::LineError;
use std::str::FromStr;

/// Placeholder of a field without a value.
const ABSENT: &str = "-";

/// One line: the name of its message and its fields, which are numbered from 0 in code and from 1 in error
/// messages.
pub struct Fields<'a> {
    name: &'a str,
    values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its message name and fields.
    pub fn parse(line: &'a str) -> Self {
        let mut parts = line.split('\t');
        Fields { name: parts.next().unwrap_or(""), values: parts.collect() }
    }

    /// Returns the name of the message.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Checks the number of fields; fields beyond `min` are optional.
    ///
    /// # Errors
    ///
    /// Returns a message with the allowed number.
    pub fn check_count(&self, min: usize, max: usize) -> Result<(), LineError> {
        if (min..=max).contains(&self.values.len()) {
            return Ok(());
        }
        let allowed = if min == max { format!("{min}") } else { format!("{min} to {max}") };
        Err(format!("{}: should have {allowed} fields, has {}", self.name, self.values.len()).into())
    }

    /// Returns the fields from the index `from` on; empty beyond the last.
    pub fn rest(&self, from: usize) -> &[&'a str] {
        self.values.get(from..).unwrap_or(&[])
    }

    /// Returns a field as text; `None` if it is absent.
    pub fn text(&self, index: usize) -> Option<&'a str> {
        self.values.get(index).copied().filter(|text| *text != ABSENT && !text.is_empty())
    }

    /// Returns a field as text, or an error if it is absent; `what` describes it in the error.
    pub fn required_text(&self, index: usize, what: &str) -> Result<&'a str, LineError> {
        self.text(index).ok_or_else(|| self.absent(index, what))
    }

    /// Returns a field as a number; `None` if it is absent.
    pub fn number<T: FromStr>(&self, index: usize, what: &str) -> Result<Option<T>, LineError> {
        let Some(text) = self.text(index) else { return Ok(None) };
        let invalid = |_| format!("{}: field {} should be {what}, is '{text}'", self.name, index + 1).into();
        text.parse().map(Some).map_err(invalid)
    }

    /// Returns a field as a number, or an error if it is absent; `what` describes it in the error.
    pub fn required_number<T: FromStr>(&self, index: usize, what: &str) -> Result<T, LineError> {
        self.number(index, what)?.ok_or_else(|| self.absent(index, what))
    }

    /// Returns a time or duration in seconds: a finite number.
    pub fn required_seconds(&self, index: usize, what: &str) -> Result<f64, LineError> {
        let value: f64 = self.required_number(index, what)?;
        if value.is_finite() {
            return Ok(value);
        }
        Err(format!("{}: field {} should be {what}, is {value}", self.name, index + 1).into())
    }

    /// Returns a flag, written as 1 or 0.
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
