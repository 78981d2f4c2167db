//! Errors of the store, and the classification of those that mean that it is damaged.

use thiserror::Error;

/// Error of an operation on the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The database reported an error.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// A value could not be encoded.
    #[error("{0}")]
    Encoding(#[source] ciborium::ser::Error<std::io::Error>),
    /// The file system reported an error.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// A value could not be decoded.
    #[error("the value of key '{key}' cannot be decoded")]
    Undecodable {
        /// Key of the value.
        key: &'static str,
        /// The decoder's error.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// Another program has written the database.
    #[error("the database belongs to another program; its tables are {}", tables.join(", "))]
    ForeignDatabase {
        /// Names of the tables in the database.
        tables: Vec<String>,
    },
    /// A later version of this program has written the store.
    #[error(
        "the store has format version {found}, but this program supports only versions up to {supported}"
    )]
    NewerFormat {
        /// Format version of the store.
        found: u32,
        /// Latest format version that this program reads.
        supported: u32,
    },
}

impl StoreError {
    /// Wraps an error of the database.
    pub fn database(error: impl Into<redb::Error>) -> Self {
        StoreError::Database(Box::new(error.into()))
    }

    /// Returns whether the error means that the store is damaged, so that a retry cannot succeed. Does not cover
    /// undecodable values, which always mean damage.
    ///
    /// The decision is based on the text of the source error, because redb reports damage in several ways: as
    /// `Corrupted`, as an I/O error of kind `InvalidData` if the file is not a database, and as `UpgradeRequired` for
    /// a format that redb no longer reads. Other errors, such as a full or failing disk, may be temporary.
    pub fn is_damage(&self) -> bool {
        match self {
            StoreError::Database(source) => indicates_damage(&source.to_string()),
            StoreError::Encoding(source) => indicates_damage(&source.to_string()),
            StoreError::File(_)
            | StoreError::Undecodable { .. }
            | StoreError::ForeignDatabase { .. }
            | StoreError::NewerFormat { .. } => false,
        }
    }
}

fn indicates_damage(text: &str) -> bool {
    let text = text.to_ascii_lowercase();
    text.contains("corrupt") || text.contains("invalid") || text.contains("manual upgrade")
}

#[cfg(test)]
mod tests;
