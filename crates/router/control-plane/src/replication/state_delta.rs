//! The difference between two consecutive replicated states, so that a change costs its own size on the wire.
//!
//! A delta is only ever applied to the state of its base version. Two states of one version are equal, so the base needs no
//! further check; the digest in the document's delta guards against damage. A member that holds another base says so and
//! gets the whole state.

use super::state::{AppliedChange, ReplicatedState, StateVersion};
use passrelay_configuration::{DeltaError, DocumentDelta};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A delta is made only where it has less than this fraction of the document's length.
const MAX_SIZE_FRACTION: f64 = 0.5;

/// The difference of a state from the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDelta {
    /// Version of the state that it applies to.
    pub base: StateVersion,
    /// Version of the resulting state.
    pub version: StateVersion,
    /// Generation of the resulting state.
    pub generation: u64,
    /// The difference of the documents.
    pub document: DocumentDelta,
    /// The change that was applied last.
    #[serde(rename = "order")]
    pub applied_change: AppliedChange,
}

/// Why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StateDeltaError {
    /// The state is of another version than the delta's base, or has no document.
    #[error("the delta applies to another state")]
    OtherBase,
    /// The document's delta can't be applied.
    #[error("{0}")]
    Document(#[from] DeltaError),
}

impl ReplicatedState {
    /// The difference from the state before this one. `None` where it is no single change of the document, or nearly as long as
    /// the whole.
    pub fn delta_from(&self, base: &ReplicatedState) -> Option<StateDelta> {
        let (base_document, document) = (base.document.as_ref()?, self.document.as_ref()?);
        let same_versions = self.service_versions == base.service_versions;
        if self.version.index != base.version.index + 1 || !same_versions {
            return None;
        }
        let applied_change = self.applied_changes.back()?.clone();
        let delta = DocumentDelta::between(base_document, document);
        let is_short = (delta.encoded_size() as f64) < MAX_SIZE_FRACTION * document.len() as f64;
        is_short.then_some(StateDelta {
            base: base.version,
            version: self.version,
            generation: self.generation,
            document: delta,
            applied_change,
        })
    }

    /// The state that a delta from this one results in.
    ///
    /// # Errors
    ///
    /// Returns a [`StateDeltaError`] where the delta is none from this state.
    pub fn apply_delta(&self, delta: &StateDelta) -> Result<ReplicatedState, StateDeltaError> {
        let base = self.document.as_ref().filter(|_| self.version == delta.base);
        let document = delta.document.apply(base.ok_or(StateDeltaError::OtherBase)?)?;
        let change = delta.applied_change.clone();
        let mut state = self.after(delta.version.term, delta.generation, document.into(), change);
        state.version = delta.version;
        Ok(state)
    }
}
