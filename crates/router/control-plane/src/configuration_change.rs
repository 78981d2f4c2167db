//! Configuration changes of the operators: how a primary adjudicates one against its newest state.
//!
//! Operators retry. A change whose acknowledgement was lost is submitted again, possibly to another primary and after
//! other changes, so three rules make submission safe:
//!
//! - Compare-and-set: a change names the generation that it builds on and is applied only to that generation. Of two
//!   concurrent changes one is rejected, never overwritten unseen.
//! - Idempotence by digest: the replicated state carries the digests of the changes applied last. A change whose digest
//!   is among them is acknowledged again and not applied twice. The generation number does not identify a change:
//!   two operators may choose the same one.
//! - Bounded history: only a limited number of digests is kept. A change that no longer applies and may be older than
//!   the history is neither acknowledged nor rejected ([`Verdict::HistoryTruncated`]); either could be false.
//!
//! A verdict says nothing about commitment. It rests on a state that may not be committed, and on this process still
//! being the primary; `coordinator::operator_calls` waits for both before the operator is answered.

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
    /// The body is a complete configuration.
    Replace,
    /// The body is a patch: items to set or remove, by name.
    Patch,
}

/// A change as submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Complete configuration or patch.
    pub kind: ChangeKind,
    /// The generation that it builds on; it applies to no other.
    pub base: u64,
    /// The configuration or the patch, JSON.
    pub body: Arc<str>,
}

/// Why a change is rejected. The texts are part of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The compare-and-set failed: the change builds on another generation than the current one.
    #[error("the current generation is {current}, the order builds on {base}")]
    GenerationMismatch {
        /// The current generation.
        current: u64,
        /// The generation that the change builds on.
        base: u64,
    },
    /// The body cannot be read, or the result would not be a valid successor of the configuration.
    #[error("{0}")]
    Invalid(ValidationErrors),
}

/// Verdict of a primary on a change, given its newest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The state contains the change: to be acknowledged once the state is committed.
    AlreadyApplied,
    /// The change applies: to be proposed, and acknowledged once the resulting state is committed.
    Apply {
        /// Generation of the resulting configuration.
        generation: u64,
        /// The resulting configuration, JSON.
        document: Arc<str>,
        /// Entry for the history of applied changes.
        applied_change: AppliedChange,
    },
    /// The change does not apply: to be rejected once the state is committed and a quorum has confirmed the primary.
    Reject(Rejection),
    /// The change builds on a generation before the history of applied changes, so it may have been applied and dropped
    /// from the history. Neither an acknowledgement nor a rejection would be safe.
    HistoryTruncated,
}

impl ConfigurationChange {
    /// SHA-256 of kind, base and body: identifies the change when it is submitted again. Stored in the replicated state,
    /// so its input is fixed.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = Sha256::new();
        hasher.update([self.kind as u8]);
        hasher.update(self.base.to_le_bytes());
        hasher.update(self.body.as_bytes());
        hasher.finalize().into()
    }

    /// The generation named by the body, if that can be read.
    pub fn generation(&self) -> Option<u64> {
        parse_document(self.body.as_bytes()).ok()?.get("generation")?.as_u64()
    }

    /// Adjudicates this change against a state. Deterministic, without side effects.
    ///
    /// The history is searched first: a change that has been applied never matches the current generation again, so in
    /// the other order its retry would be rejected.
    pub fn adjudicate(&self, state: &ReplicatedState) -> Verdict {
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

    /// The configuration that results from this change. Whether the body can be read is checked before the generation,
    /// so that an unreadable body is rejected as such however old its base is.
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

/// Result of a change.
struct Applied {
    generation: u64,
    /// The configuration, JSON.
    document: Arc<str>,
}

/// The document of a state; JSON `null` before the first configuration.
fn current_document(state: &ReplicatedState) -> Result<Value, ValidationErrors> {
    state.document.as_deref().map_or(Ok(Value::Null), |document| parse_document(document.as_bytes()))
}
