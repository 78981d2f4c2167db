//! The operators' orders on a primary: what is taken, what is refused, what can't be said yet.

use crate::replication::{AppliedChange, ReplicatedState};
use passrelay_configuration::{apply_patch, parse_document, Configuration, ValidationErrors};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// How an order changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// A whole configuration.
    Replace,
    /// Items by name.
    Patch,
}

/// An order as an operator sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// How it changes the configuration.
    pub kind: ChangeKind,
    /// The generation that it builds on.
    pub base: u64,
    /// The document or the change, as JSON.
    pub body: Arc<str>,
}

/// Why an order is refused. The list is closed: [`Rejection::status`] gives the answer to each.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Another version is in force than the order builds on.
    #[error("the current generation is {current}, the order builds on {base}")]
    GenerationMismatch {
        /// The generation in force.
        current: u64,
        /// That of the order.
        base: u64,
    },
    /// The result would be no valid configuration.
    #[error("{0}")]
    Invalid(ValidationErrors),
}

impl Rejection {
    /// The status that an operator gets.
    pub fn status(&self) -> u16 {
        match self {
            Rejection::GenerationMismatch { .. } => 412,
            Rejection::Invalid(_) => 400,
        }
    }
}

/// What a primary makes of an order, given its newest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was taken before: to be acknowledged once the state is committed.
    AlreadyApplied,
    /// It is to be taken.
    Apply {
        /// The generation that it brings.
        generation: u64,
        /// The document that follows.
        document: Arc<str>,
        /// What is remembered of it.
        order: AppliedChange,
    },
    /// It is refused, if this primary still leads and the state is committed.
    Reject(Rejection),
    /// It builds on a version so old that it may have been taken and forgotten since. Neither an acknowledgement nor a
    /// refusal would be safe.
    HistoryTruncated,
}

impl ConfigurationChange {
    /// The digest by which the same order is recognised.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update([self.kind as u8]);
        hasher.update(self.base.to_le_bytes());
        hasher.update(self.body.as_bytes());
        hasher.finalize().into()
    }

    /// The generation that its body names.
    pub fn generation(&self) -> Option<u64> {
        parse_document(self.body.as_bytes()).ok()?.get("generation")?.as_u64()
    }

    /// What is to be made of this order on top of a state.
    pub fn judge(&self, state: &ReplicatedState) -> Verdict {
        let digest = self.digest();
        if state.applied_changes.iter().any(|o| o.digest == digest) {
            return Verdict::AlreadyApplied;
        }
        match self.next_document(state) {
            Err(Rejection::GenerationMismatch { .. }) if state.may_have_truncated(self.base) => {
                Verdict::HistoryTruncated
            }
            Ok((generation, document)) => {
                Verdict::Apply { generation, document, order: AppliedChange { generation, digest } }
            }
            Err(refusal) => Verdict::Reject(refusal),
        }
    }

    fn next_document(&self, state: &ReplicatedState) -> Result<(u64, Arc<str>), Rejection> {
        let body = parse_document(self.body.as_bytes()).map_err(Rejection::Invalid)?;
        if self.base != state.generation {
            return Err(Rejection::GenerationMismatch { current: state.generation, base: self.base });
        }
        let document = match self.kind {
            ChangeKind::Replace => body,
            ChangeKind::Patch => {
                let current =
                    state.document.as_deref().map_or(Ok(Value::Null), |d| parse_document(d.as_bytes()));
                apply_patch(&current.map_err(Rejection::Invalid)?, &body).map_err(Rejection::Invalid)?
            }
        };
        let configuration = Configuration::read(&document).map_err(Rejection::Invalid)?;
        configuration.follows(state.generation).map_err(Rejection::Invalid)?;
        Ok((configuration.generation, document.to_string().into()))
    }
}
