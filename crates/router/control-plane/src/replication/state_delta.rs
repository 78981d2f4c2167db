//! The difference between two consecutive replicated states, so that a change costs its own size on the wire.
//!
//! A delta is only ever applied to the state of its base version. Two states of one version are equal, so the base needs no
//! further check; the digest in the document's delta guards against damage. A member that holds another base says so and
//! gets the whole state.

use super::state::{AppliedChange, ReplicatedState, StateVersion};
use passrelay_configuration::{Delta, DeltaError, DocumentDelta};
use serde::{Deserialize, Serialize};

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

impl Delta for StateDelta {
    type Position = StateVersion;

    fn base(&self) -> StateVersion {
        self.base
    }
}

impl ReplicatedState {
    /// The difference from the state before this one. `None` where it is no single change of the document, or nearly as long as
    /// the whole.
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

    /// The state that a delta from this one results in.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaError`] where the delta is none from this state.
    pub fn apply_delta(&self, delta: &StateDelta) -> Result<ReplicatedState, DeltaError> {
        let base = self.document.as_ref().filter(|_| self.version == delta.base);
        let document = delta.document.apply(base.ok_or(DeltaError::BaseMismatch)?)?;
        let change = delta.applied_change.clone();
        let mut state = self.after(delta.version.term, delta.generation, document.into(), change);
        state.version = delta.version;
        Ok(state)
    }
}
