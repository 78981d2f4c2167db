//! A reader that walks a [`Value`] and remembers the path, so that each fault is told with its place.

use serde_json::Value;
use std::cell::RefCell;
use std::fmt;
use thiserror::Error;

/// What can be wrong with a configuration. The list is closed: answers and exit codes hang on it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValidationErrorKind {
    /// The text is no JSON document.
    #[error("cannot be read as JSON: {0}")]
    Unreadable(String),
    /// A field that has to be there is missing.
    #[error("is missing")]
    Missing,
    /// A field has another type than expected.
    #[error("should be {0}")]
    WrongType(&'static str),
    /// A number lies outside its range.
    #[error("is out of range ({0})")]
    OutOfRange(&'static str),
    /// Two items of a list have the same name.
    #[error("has the name '{0}' of an earlier item")]
    DuplicateName(String),
    /// A route names a service that does not exist.
    #[error("names the unknown service '{0}'")]
    UnknownService(String),
    /// Two routes have the same host and path prefix.
    #[error("has the host and path prefix of route '{0}'")]
    DuplicatePlace(String),
    /// The weights of a route sum to zero.
    #[error("has weights that sum to 0")]
    NoWeight,
    /// Two tenants share an API key.
    #[error("holds a key that tenant '{0}' holds too")]
    SharedKey(String),
    /// A change upserts and removes the same item.
    #[error("changes and removes '{0}' at once")]
    ChangedAndRemoved(String),
    /// The generation is not above that of the current configuration.
    #[error("has to be above the current generation {0}")]
    OldGeneration(u64),
}

/// One fault and its place, such as `routes[3].timeout-ms`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct ValidationError {
    /// The place in the document; `document` stands for the whole.
    pub path: String,
    /// What is wrong there.
    pub kind: ValidationErrorKind,
}

/// All faults found in one document; never empty when it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ValidationError::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl ValidationErrors {
    /// A single fault of the whole document.
    pub fn of_document(kind: ValidationErrorKind) -> Self {
        ValidationErrors(vec![ValidationError { path: "document".to_owned(), kind }])
    }
}

/// A place in a document. Faults are gathered in a list that all readers of the document share.
pub struct Reader<'a> {
    value: Option<&'a Value>,
    path: String,
    faults: &'a RefCell<Vec<ValidationError>>,
}

impl<'a> Reader<'a> {
    /// A reader at the root of a document.
    pub fn root(value: &'a Value, faults: &'a RefCell<Vec<ValidationError>>) -> Self {
        Reader { value: Some(value), path: String::new(), faults }
    }

    /// Notes a fault at this place.
    pub fn fault(&self, kind: ValidationErrorKind) {
        let path = if self.path.is_empty() { "document".to_owned() } else { self.path.clone() };
        self.faults.borrow_mut().push(ValidationError { path, kind });
    }

    /// Whether there is a value other than null.
    pub fn is_present(&self) -> bool {
        self.value.is_some_and(|v| !v.is_null())
    }

    /// The field of this name.
    pub fn field(&self, name: &str) -> Reader<'a> {
        let path = if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        Reader { value: self.value.and_then(|v| v.get(name)), path, faults: self.faults }
    }

    /// The items of a list; an absent list is empty.
    pub fn items(&self) -> Vec<Reader<'a>> {
        match self.value {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(items)) => {
                let reader = |(n, value)| Reader {
                    value: Some(value),
                    path: format!("{}[{n}]", self.path),
                    faults: self.faults,
                };
                items.iter().enumerate().map(reader).collect()
            }
            Some(_) => {
                self.fault(ValidationErrorKind::WrongType("a list"));
                Vec::new()
            }
        }
    }

    /// Notes a fault unless this is an object.
    pub fn expect_object(&self) {
        match self.value {
            Some(Value::Object(_)) => {}
            Some(_) => self.fault(ValidationErrorKind::WrongType("an object")),
            None => self.fault(ValidationErrorKind::Missing),
        }
    }

    /// A text that has to be there and not be empty.
    pub fn text(&self) -> String {
        match self.value {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            Some(_) => {
                self.fault(ValidationErrorKind::WrongType("a text that is not empty"));
                String::new()
            }
            None => {
                self.fault(ValidationErrorKind::Missing);
                String::new()
            }
        }
    }

    /// A text, or a default where there is none.
    pub fn text_or(&self, default: &str) -> String {
        if self.is_present() {
            self.text()
        } else {
            default.to_owned()
        }
    }

    /// A whole number that has to be there.
    pub fn whole(&self) -> u64 {
        match self.value {
            Some(value) => value.as_u64().unwrap_or_else(|| {
                self.fault(ValidationErrorKind::WrongType("a whole number from 0 up"));
                0
            }),
            None => {
                self.fault(ValidationErrorKind::Missing);
                0
            }
        }
    }

    /// A whole number, or a default where there is none.
    pub fn whole_or(&self, default: u64) -> u64 {
        if self.is_present() {
            self.whole()
        } else {
            default
        }
    }

    /// A number that is not negative, or a default where there is none.
    pub fn number_or(&self, default: f64) -> f64 {
        if !self.is_present() {
            return default;
        }
        match self.value.and_then(Value::as_f64) {
            Some(number) if number.is_finite() && number >= 0.0 => number,
            Some(_) => {
                self.fault(ValidationErrorKind::OutOfRange("from 0 up"));
                default
            }
            None => {
                self.fault(ValidationErrorKind::WrongType("a number"));
                default
            }
        }
    }

    /// True or false, or a default where there is neither.
    pub fn flag_or(&self, default: bool) -> bool {
        if !self.is_present() {
            return default;
        }
        self.value.and_then(Value::as_bool).unwrap_or_else(|| {
            self.fault(ValidationErrorKind::WrongType("true or false"));
            default
        })
    }
}
