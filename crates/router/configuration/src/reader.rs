//! A reader that walks a JSON value and tracks the path, so that all errors are reported at once, each with
//! its path.
//!
//! Reading a value never fails: an invalid value is reported and replaced by a placeholder, and the walk
//! continues. The result of a walk is valid only if it is returned by [`ErrorCollector::into_result`].

use crate::errors::{ValidationError, ValidationErrorKind, ValidationErrors};
use serde_json::Value;
use std::cell::RefCell;

/// Errors found in one walk, in the order in which they were reported. Shared by all readers of the walk.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector(RefCell<Vec<ValidationError>>);

impl ErrorCollector {
    fn push(&self, error: ValidationError) {
        self.0.borrow_mut().push(error);
    }

    /// Returns the result of the walk if no error was reported, and all errors otherwise.
    pub(crate) fn into_result<T>(self, result: T) -> Result<T, ValidationErrors> {
        let errors = self.0.into_inner();
        if errors.is_empty() {
            Ok(result)
        } else {
            Err(ValidationErrors(errors))
        }
    }
}

/// The last segment of a path.
enum PathSegment<'a> {
    Root,
    Field(&'a str),
    Item(usize),
}

/// A reader at one path of a document, where the value may be absent. The path is only formatted for an
/// error, since a document has some ten thousand paths and usually no errors.
pub(crate) struct PathReader<'a> {
    value: Option<&'a Value>,
    /// Reader of the object or list that contains the value; `None` at the root.
    parent: Option<&'a PathReader<'a>>,
    segment: PathSegment<'a>,
    errors: &'a ErrorCollector,
}

impl<'a> PathReader<'a> {
    /// Creates a reader at the root of a document.
    pub(crate) fn root(value: &'a Value, errors: &'a ErrorCollector) -> Self {
        PathReader { value: Some(value), parent: None, segment: PathSegment::Root, errors }
    }

    /// Returns the path of the value; empty at the root.
    fn path(&self) -> String {
        let mut path = self.parent.map(PathReader::path).unwrap_or_default();
        match self.segment {
            PathSegment::Root => {}
            PathSegment::Field(name) => {
                if !path.is_empty() {
                    path.push('.');
                }
                path.push_str(name);
            }
            PathSegment::Item(index) => path.push_str(&format!("[{index}]")),
        }
        path
    }

    /// Reports an error at the path of this reader.
    pub(crate) fn report(&self, kind: ValidationErrorKind) {
        let path = Some(self.path()).filter(|path| !path.is_empty()).unwrap_or_else(|| "document".to_owned());
        self.errors.push(ValidationError { path, kind });
    }

    /// Returns whether there is a value other than null.
    pub(crate) fn is_present(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    /// Returns a reader of the named field. The field may be absent.
    pub(crate) fn field<'b>(&'b self, name: &'b str) -> PathReader<'b> {
        let value = self.value.and_then(|value| value.get(name));
        PathReader { value, parent: Some(self), segment: PathSegment::Field(name), errors: self.errors }
    }

    /// Returns readers of the items of a list. An absent list is empty; a value of another type is reported.
    pub(crate) fn items(&self) -> Vec<PathReader<'_>> {
        match self.value {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(items)) => {
                let reader = |(index, value)| PathReader {
                    value: Some(value),
                    parent: Some(self),
                    segment: PathSegment::Item(index),
                    errors: self.errors,
                };
                items.iter().enumerate().map(reader).collect()
            }
            Some(_) => {
                self.report(ValidationErrorKind::WrongType("a list"));
                Vec::new()
            }
        }
    }

    /// Reports an error unless the value is an object.
    pub(crate) fn expect_object(&self) {
        match self.value {
            Some(Value::Object(_)) => {}
            Some(_) => self.report(ValidationErrorKind::WrongType("an object")),
            None => self.report(ValidationErrorKind::Missing),
        }
    }

    /// Reads a required non-empty string.
    pub(crate) fn text(&self) -> String {
        match self.value {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            Some(_) => self.reject(ValidationErrorKind::WrongType("a text that is not empty")),
            None => self.reject(ValidationErrorKind::Missing),
        }
    }

    /// Reads a non-empty string, or returns `default` if it is absent.
    pub(crate) fn text_or(&self, default: &str) -> String {
        if self.is_present() {
            self.text()
        } else {
            default.to_owned()
        }
    }

    /// Reads a non-empty string, or returns `None` if it is absent.
    pub(crate) fn text_if_present(&self) -> Option<String> {
        self.is_present().then(|| self.text())
    }

    /// Reads a required unsigned integer.
    pub(crate) fn unsigned(&self) -> u64 {
        match self.value {
            Some(value) => value
                .as_u64()
                .unwrap_or_else(|| self.reject(ValidationErrorKind::WrongType("a whole number from 0 up"))),
            None => self.reject(ValidationErrorKind::Missing),
        }
    }

    /// Reads an unsigned integer, or returns `default` if it is absent.
    pub(crate) fn unsigned_or(&self, default: u64) -> u64 {
        if self.is_present() {
            self.unsigned()
        } else {
            default
        }
    }

    /// Reads a non-negative number, or returns `default` if it is absent.
    pub(crate) fn non_negative_or(&self, default: f64) -> f64 {
        if !self.is_present() {
            return default;
        }
        let problem = match self.value.and_then(nearest_double) {
            Some(number) if number < 0.0 => ValidationErrorKind::OutOfRange("from 0 up"),
            Some(number) if number.is_infinite() => ValidationErrorKind::OutOfRange("at most 1.7e308"),
            Some(number) => return number,
            None => ValidationErrorKind::WrongType("a number"),
        };
        self.report(problem);
        default
    }

    /// Reads a boolean, or returns `default` if it is absent.
    pub(crate) fn bool_or(&self, default: bool) -> bool {
        if !self.is_present() {
            return default;
        }
        self.value.and_then(Value::as_bool).unwrap_or_else(|| {
            self.report(ValidationErrorKind::WrongType("true or false"));
            default
        })
    }

    /// Reports an error and returns a placeholder for a required value.
    fn reject<T: Default>(&self, kind: ValidationErrorKind) -> T {
        self.report(kind);
        T::default()
    }
}

/// Returns the double that is nearest to a number, which is infinite beyond the range of doubles. `None` for other values.
fn nearest_double(value: &Value) -> Option<f64> {
    value.as_number()?.as_str().parse().ok()
}
