//! Configuration changes of operators: how a primary evaluates a change against its newest state.
//!
//! Operators retry. A change whose acknowledgement was lost is submitted again, possibly to another primary and after
//! other changes. Three rules make this safe:
//!
//! - Compare-and-set: a change names its base generation and is applied only to that generation. Of two concurrent
//!   changes, one is rejected, so no change is overwritten unnoticed.
//! - Idempotence by digest: the replicated state contains the digests of the most recently applied changes. A change
//!   whose digest is among them is acknowledged again and not applied twice. The generation number does not identify a
//!   change, since two operators may choose the same one.
//! - Bounded history: only a limited number of digests is kept. A change that does not apply and may be older than the
//!   history is neither acknowledged nor rejected ([`Verdict::HistoryTruncated`]), since either could be wrong.
//!
//! A verdict does not imply commitment. It is based on a state that may not be committed, and on the assumption that
//! this process is still the primary; `coordinator::operator_calls` waits until both are certain before it answers the
//! operator.

use crate::replication::{AppliedChange, ReplicatedState};
use passrelay_configuration::{apply_patch, parse_document, Configuration, ValidationErrors};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// How a change modifies the configuration. The discriminants are part of the digest of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Replaces the configuration; the body is a complete one.
    Replace,
    /// Modifies the configuration; the body contains the items to set or remove, by name.
    Patch,
}

/// A change as submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Whether the body is a complete configuration or a patch.
    pub kind: ChangeKind,
    /// Base generation: the only generation that the change applies to.
    pub base: u64,
    /// The configuration or the patch, as JSON.
    pub body: Arc<str>,
}

/// Why a change is rejected. The texts are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The compare-and-set failed: the change is based on another generation than the current one.
    #[error("the current generation is {current}, the order builds on {base}")]
    GenerationMismatch {
        /// Generation of the primary's newest state.
        current: u64,
        /// Base generation of the change.
        base: u64,
    },
    /// The body cannot be parsed, or the result would not be a valid successor of the configuration.
    #[error("{0}")]
    Invalid(ValidationErrors),
}

/// Verdict of a primary on a change, given its newest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The state contains the change. It is to be acknowledged once the state is committed.
    AlreadyApplied,
    /// The change applies. It is to be proposed, and acknowledged once the resulting state is committed.
    Apply {
        /// Generation of the resulting configuration.
        generation: u64,
        /// The resulting configuration, as JSON.
        document: Arc<str>,
        /// Entry for the history of applied changes.
        applied_change: AppliedChange,
    },
    /// The change does not apply. It is to be rejected once the state is committed and a quorum has confirmed the
    /// primary.
    Reject(Rejection),
    /// The change is based on a generation before the history of applied changes, so it may have been applied and
    /// dropped from the history. Neither an acknowledgement nor a rejection would be safe.
    HistoryTruncated,
}

impl ConfigurationChange {
    /// Returns the SHA-256 digest of kind, base and body, which identifies the change when it is submitted again. It is
    /// stored in the replicated state, so the hashed bytes are fixed.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update([self.kind as u8]);
        hasher.update(self.base.to_le_bytes());
        hasher.update(self.body.as_bytes());
        hasher.finalize().into()
    }

    /// Returns the generation that the body specifies, or `None` if the body cannot be parsed or has none.
    pub fn generation(&self) -> Option<u64> {
        parse_document(self.body.as_bytes()).ok()?.get("generation")?.as_u64()
    }

    /// Evaluates this change against a state. Deterministic and without side effects.
    ///
    /// The history is searched first: an applied change never matches the current generation again, so its retry would
    /// be rejected if the generation was checked first.
    pub fn evaluate(&self, state: &ReplicatedState) -> Verdict {
        let digest = self.digest();
        if state.applied_changes.iter().any(|applied| applied.digest == digest) {
            return Verdict::AlreadyApplied;
        }
        match self.apply(state) {
            Err(Rejection::GenerationMismatch { .. }) if state.may_have_truncated(self.base) => {
                Verdict::HistoryTruncated
            }
            Ok(Applied { generation, document }) => {
                let applied_change = AppliedChange { generation, digest };
                Verdict::Apply { generation, document, applied_change }
            }
            Err(rejection) => Verdict::Reject(rejection),
        }
    }

    /// Returns the configuration that results from this change. Parses the body before checking the generation, so
    /// that a malformed body is rejected as such, however old its base is.
    fn apply(&self, state: &ReplicatedState) -> Result<Applied, Rejection> {
        let body = parse_document(self.body.as_bytes()).map_err(Rejection::Invalid)?;
        if self.base != state.generation {
            return Err(Rejection::GenerationMismatch { current: state.generation, base: self.base });
        }
        let document = match self.kind {
            ChangeKind::Replace => body,
            ChangeKind::Patch => {
                let current = current_document(state).map_err(Rejection::Invalid)?;
                apply_patch(&current, &body).map_err(Rejection::Invalid)?
            }
        };
        let configuration = Configuration::read(&document).map_err(Rejection::Invalid)?;
        configuration.check_generation_above(state.generation).map_err(Rejection::Invalid)?;
        Ok(Applied { generation: configuration.generation, document: document.to_string().into() })
    }
}

/// The configuration that results from a change.
struct Applied {
    generation: u64,
    /// The configuration, as JSON.
    document: Arc<str>,
}

/// Returns the document of a state, or JSON `null` before the first configuration.
fn current_document(state: &ReplicatedState) -> Result<Value, ValidationErrors> {
    state.document.as_deref().map_or(Ok(Value::Null), |document| parse_document(document.as_bytes()))
}
