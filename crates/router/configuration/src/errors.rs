//! What can be wrong with a document or a patch, and where.
//!
//! The texts are part of the operators' interface: responses of the control API and the output of `passrelay config` carry them.

use std::fmt;
use thiserror::Error;

/// What can be wrong. The list is closed: response statuses and exit codes depend on it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValidationErrorKind {
    /// The bytes are no JSON document.
    #[error("cannot be read as JSON: {0}")]
    Unreadable(String),
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// A value has another type than the one named.
    #[error("should be {0}")]
    WrongType(&'static str),
    /// A number lies outside the range named.
    #[error("is out of range ({0})")]
    OutOfRange(&'static str),
    /// Two items of a list have the same name.
    #[error("has the name '{0}' of an earlier item")]
    DuplicateName(String),
    /// A route names a service that does not exist.
    #[error("names the unknown service '{0}'")]
    UnknownService(String),
    /// Two routes match the same host and path prefix.
    #[error("has the host and path prefix of route '{0}'")]
    DuplicateMatch(String),
    /// The weights of a route sum to zero.
    #[error("has weights that sum to 0")]
    ZeroTotalWeight,
    /// Two tenants have the same API key.
    #[error("holds a key that tenant '{0}' holds too")]
    DuplicateApiKey(String),
    /// A patch upserts and removes the same item.
    #[error("changes and removes '{0}' at once")]
    UpsertedAndRemoved(String),
    /// The generation is not above that of the current configuration.
    #[error("has to be above the current generation {0}")]
    StaleGeneration(u64),
}

/// One error and its path, such as `routes[3].timeout-ms`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {kind}")]
pub struct ValidationError {
    /// Path of the value within the document; `document` for the document itself.
    pub path: String,
    /// What is wrong with the value.
    pub kind: ValidationErrorKind,
}

/// All errors found in one document; never empty when it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ValidationError::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl ValidationErrors {
    /// A single error of the document itself.
    pub fn of_document(kind: ValidationErrorKind) -> Self {
        ValidationErrors(vec![ValidationError { path: "document".to_owned(), kind }])
    }
}
