//! Output formats of the commands.

use clap::ValueEnum;

/// Output format of a command.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}
