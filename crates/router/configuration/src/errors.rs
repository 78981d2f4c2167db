//! Errors in a document or a patch, with their locations.
//!
//! The error messages are part of the operators' interface: they appear in responses of the control API and
//! in the output of `passrelay config`.

use std::fmt;
use thiserror::Error;

/// Kind of an error. The set of kinds is closed, since response statuses and exit codes depend on it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValidationErrorKind {
    /// The bytes are not a JSON document.
    #[error("cannot be read as JSON: {0}")]
    Unreadable(String),
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// A value does not have the expected type or form, which is described by the text.
    #[error("should be {0}")]
    WrongType(&'static str),
    /// A number is outside the valid range, which is described by the text.
    #[error("is out of range ({0})")]
    OutOfRange(&'static str),
    /// An item has the name of an earlier item in the same list.
    #[error("has the name '{0}' of an earlier item")]
    DuplicateName(String),
    /// A route refers to a service of this name, which does not exist.
    #[error("names the unknown service '{0}'")]
    UnknownService(String),
    /// A route matches the same host and path prefix as the named earlier route.
    #[error("has the host and path prefix of route '{0}'")]
    DuplicateMatch(String),
    /// The weights of a route's backends sum to zero.
    #[error("has weights that sum to 0")]
    ZeroTotalWeight,
    /// A tenant has an API key of the named other tenant.
    #[error("holds a key that tenant '{0}' holds too")]
    DuplicateApiKey(String),
    /// A patch upserts and removes the item of this name.
    #[error("changes and removes '{0}' at once")]
    UpsertedAndRemoved(String),
    /// The generation is not above the generation of the current configuration, which is given.
    #[error("has to be above the current generation {0}")]
    StaleGeneration(u64),
}

/// An error at one path of a document, such as `routes[3].timeout-ms`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct ValidationError {
    /// Path of the invalid value within the document; `document` for the document itself.
    pub path: String,
    /// Reason why the value is invalid.
    pub kind: ValidationErrorKind,
}

/// All errors found in one document or patch. Not empty if returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages: Vec<String> = self.0.iter().map(ValidationError::to_string).collect();
        f.write_str(&messages.join("; "))
    }
}

impl ValidationErrors {
    /// Creates a single error that concerns the document itself.
    pub fn of_document(kind: ValidationErrorKind) -> Self {
        ValidationErrors(vec![ValidationError { path: "document".to_owned(), kind }])
    }
}
