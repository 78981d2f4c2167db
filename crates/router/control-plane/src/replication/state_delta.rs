//! Deltas between consecutive replicated states, so that the size of a message depends on the change and not on the
//! document.
//!
//! A delta is only applied to the state of its base version. Two states of the same version are equal, so the base
//! needs no further check; the digest in the document's delta guards against corruption. A member that holds another
//! base rejects the delta and receives the complete state.

use super::state::{AppliedChange, ReplicatedState, StateVersion};
use passrelay_configuration::{Delta, DeltaError, DocumentDelta};
use serde::{Deserialize, Serialize};

/// The difference between a state and its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDelta {
    /// Version of the state that the delta applies to.
    pub base: StateVersion,
    /// Version of the resulting state.
    pub version: StateVersion,
    /// Generation of the resulting state.
    pub generation: u64,
    /// Difference between the two documents.
    pub document: DocumentDelta,
    /// The change that produced the resulting state; appended to the history of applied changes.
    #[serde(rename = "order")]
    pub applied_change: AppliedChange,
}

impl Delta for StateDelta {
    type Position = StateVersion;

    fn base(&self) -> StateVersion {
        self.base
    }
}

impl ReplicatedState {
    /// Returns the delta from `base`, the preceding state, to this one. Returns `None` if the two differ by more than
    /// one change of the document, or if the delta would be nearly as long as the document itself.
    pub fn delta_from(&self, base: &ReplicatedState) -> Option<StateDelta> {
        let (base_document, document) = (base.document.as_ref()?, self.document.as_ref()?);
        let same_versions = self.service_versions == base.service_versions && self.rollouts == base.rollouts;
        if self.version.index != base.version.index + 1 || !same_versions {
            return None;
        }
        let applied_change = self.applied_changes.back()?.clone();
        Some(StateDelta {
            base: base.version,
            version: self.version,
            generation: self.generation,
            document: DocumentDelta::between_if_worth_sending(base_document, document)?,
            applied_change,
        })
    }

    /// Returns the state that results from applying a delta to this one.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaError`] if this state is not the base of the delta, or if the document's delta does not apply.
    pub fn apply_delta(&self, delta: &StateDelta) -> Result<ReplicatedState, DeltaError> {
        let base = self.document.as_ref().filter(|_| self.version == delta.base);
        let document = delta.document.apply(base.ok_or(DeltaError::BaseMismatch)?)?;
        let change = delta.applied_change.clone();
        let mut state = self.with_change(delta.version.term, delta.generation, document.into(), change);
        state.version = delta.version;
        Ok(state)
    }
}
