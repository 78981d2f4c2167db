//! Errors of the store, and which of them mean that it is damaged.

use thiserror::Error;

/// Why an operation on the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The database refuses.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// A value can't be encoded.
    #[error("{0}")]
    Encoding(#[source] ciborium::ser::Error<std::io::Error>),
    /// The file system refuses.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// A value can't be decoded.
    #[error("the value of '{key}' is damaged")]
    Undecodable {
        /// The key of the value.
        key: &'static str,
        /// The decoder's error.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// Another program has written the database.
    #[error("it is another program's: its tables are {}", tables.join(", "))]
    Foreign {
        /// The names of its tables.
        tables: Vec<String>,
    },
    /// A later version of the program has written the store.
    #[error("its format is {found}, this program knows {known} and earlier")]
    Newer {
        /// The format version found.
        found: u32,
        /// The latest version that this program reads.
        known: u32,
    },
}

impl StoreError {
    /// Wraps any error of the database.
    pub fn database(error: impl Into<redb::Error>) -> Self {
        StoreError::Database(Box::new(error.into()))
    }

    /// Whether the store is damaged, so that no retry can help. Not for undecodable values, which always are.
    ///
    /// Decided by the text of the source, because redb reports damage in several ways: as `Corrupted`, as an
    /// I/O error of the kind `InvalidData` where the file is no database, and as `UpgradeRequired` for a
    /// format that it no longer reads. Anything else, a full or failing disk for instance, may pass.
    pub fn is_damage(&self) -> bool {
        match self {
            StoreError::Database(source) => indicates_damage(&source.to_string()),
            StoreError::Encoding(source) => indicates_damage(&source.to_string()),
            StoreError::File(_)
            | StoreError::Undecodable { .. }
            | StoreError::Foreign { .. }
            | StoreError::Newer { .. } => false,
        }
    }
}

fn indicates_damage(text: &str) -> bool {
    let text = text.to_ascii_lowercase();
    text.contains("corrupt") || text.contains("invalid") || text.contains("manual upgrade")
}

#[cfg(test)]
mod tests;
