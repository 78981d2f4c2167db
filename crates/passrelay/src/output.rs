//! How results are printed.

use clap::ValueEnum;

/// How results are printed.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// For programs.
    Json,
}
