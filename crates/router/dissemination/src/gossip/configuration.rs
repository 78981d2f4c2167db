//! Propagation of the committed configuration.
//!
//! A sidecar that receives a newer configuration announces its index to a few peers; digests carry the index as well. A sidecar
//! that learns of a newer index fetches the document from the peer that reported it. Only one fetch is in flight at a time,
//! because the document may be large and an announcement reaches each sidecar several times.
//!
//! A change usually affects a small part of the document, so it is sent as a delta. The primary computes the delta once; all
//! other sidecars forward the deltas that they received. A sidecar that is further behind than the known deltas reach, or whose
//! document the deltas do not apply to, receives the complete document.

use super::actions::Context;
use super::{Gossip, GossipAction, BROADCAST_FANOUT};
use crate::messages::{CommittedConfiguration, ConfigurationDelta, GossipMessage};
use passrelay_configuration::{DeltaChain, DeltaError, DocumentDelta};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a fetch, after which the configuration may be fetched from another peer. Extended by
/// [`FETCH_TIMEOUT_PER_KIB`].
const BASE_FETCH_TIMEOUT: Duration = Duration::from_millis(120);
/// Extension of the fetch timeout for each KiB of the configuration in force, whose size estimates that of the next one.
/// Allows for slow links.
const FETCH_TIMEOUT_PER_KIB: Duration = Duration::from_micros(1_000);

/// The configuration in force, the deltas that led to it and the fetch in flight.
#[derive(Debug)]
pub(super) struct ConfigurationState {
    /// The configuration in force; its index never decreases.
    current: Option<CommittedConfiguration>,
    /// Consecutive deltas that lead to the configuration in force.
    deltas: DeltaChain<ConfigurationDelta>,
    /// When the last fetch was sent; `None` once a configuration has been applied.
    fetch_sent_at: Option<Duration>,
    /// Whether this sidecar accepts deltas.
    accepts_deltas: bool,
}

impl ConfigurationState {
    /// Creates the state before any configuration has arrived.
    pub(super) fn new(accepts_deltas: bool) -> Self {
        ConfigurationState {
            current: None,
            deltas: DeltaChain::default(),
            fetch_sent_at: None,
            accepts_deltas,
        }
    }

    pub(super) fn current(&self) -> Option<&CommittedConfiguration> {
        self.current.as_ref()
    }

    /// Returns the index of the configuration in force, or 0 if there is none.
    pub(super) fn index(&self) -> u64 {
        self.current.as_ref().map_or(0, |configuration| configuration.index)
    }

    fn document_length(&self) -> usize {
        self.current.as_ref().map_or(0, |configuration| configuration.document.len())
    }

    fn fetch_timeout(&self) -> Duration {
        let kib = self.document_length() / 1_024;
        BASE_FETCH_TIMEOUT + FETCH_TIMEOUT_PER_KIB * u32::try_from(kib).unwrap_or(u32::MAX)
    }

    fn is_fetch_in_flight(&self, now: Duration) -> bool {
        self.fetch_sent_at.is_some_and(|at| now.saturating_sub(at) < self.fetch_timeout())
    }

    /// Fetches the configuration from a peer if `index` is newer than the local one and no fetch is in flight.
    pub(super) fn fetch_if_newer(&mut self, context: &mut Context, from: SocketAddrV4, index: u64) {
        if index > self.index() && !self.is_fetch_in_flight(context.now) {
            self.fetch(context, from, self.accepts_deltas);
        }
    }

    fn fetch(&mut self, context: &mut Context, from: SocketAddrV4, accepts_deltas: bool) {
        self.fetch_sent_at = Some(context.now);
        context.send(from, GossipMessage::Fetch { have: self.index(), accepts_deltas });
    }

    /// Responds to a fetch from a sidecar whose configuration has the index `have`.
    pub(super) fn transfer(&self, context: &mut Context, to: SocketAddrV4, have: u64, accepts_deltas: bool) {
        let Some(configuration) = self.current.as_ref().filter(|current| current.index > have) else {
            return;
        };
        let deltas = if accepts_deltas { self.deltas_since(have) } else { Vec::new() };
        let message = if deltas.is_empty() {
            GossipMessage::Configuration(configuration.clone())
        } else {
            GossipMessage::ConfigurationDeltas(deltas)
        };
        context.send(to, message);
    }

    /// Returns the deltas from the configuration of an index to the one in force. Empty if some of them are unknown, or if
    /// together they are nearly as long as the document.
    fn deltas_since(&self, index: u64) -> Vec<Arc<ConfigurationDelta>> {
        let deltas = self.deltas.since(&index);
        let documents = deltas.iter().map(|delta| &delta.document);
        if DocumentDelta::are_worth_sending(documents, self.document_length()) {
            deltas
        } else {
            Vec::new()
        }
    }

    /// Replaces the configuration and ends the fetch if the given configuration is newer. Returns whether it is.
    fn replace(&mut self, configuration: &CommittedConfiguration) -> bool {
        if configuration.index <= self.index() {
            return false;
        }
        self.deltas = DeltaChain::default();
        self.advance(configuration);
        true
    }

    /// Puts a newer configuration in force and ends the fetch. The caller has already updated the deltas.
    fn advance(&mut self, configuration: &CommittedConfiguration) {
        self.fetch_sent_at = None;
        self.current = Some(configuration.clone());
    }

    /// Like [`Self::replace`], but computes the delta from the previous configuration, to send to peers.
    fn replace_with_delta(&mut self, configuration: &CommittedConfiguration) -> bool {
        if configuration.index <= self.index() {
            return false;
        }
        if let Some(previous) = &self.current {
            self.deltas.push(delta_between(previous, configuration).map(Arc::new));
        }
        self.advance(configuration);
        true
    }

    /// Applies deltas to the configuration in force and returns the resulting configuration, or `None` if no delta is newer.
    /// Deltas up to the index in force are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no configuration, or if the deltas do not apply to it.
    fn apply_deltas(
        &self,
        deltas: &[Arc<ConfigurationDelta>],
    ) -> Result<Option<CommittedConfiguration>, DeltaError> {
        let Some(current) = &self.current else { return Err(DeltaError::BaseMismatch) };
        let mut result: Option<CommittedConfiguration> = None;
        for delta in deltas.iter().filter(|delta| delta.index > current.index) {
            let base = result.as_ref().unwrap_or(current);
            if delta.base_index != base.index {
                return Err(DeltaError::BaseMismatch);
            }
            let document = delta.document.apply(&base.document)?.into();
            let (index, generation) = (delta.index, delta.generation);
            let service_versions = Some(&delta.service_versions).filter(|versions| !versions.is_empty());
            let service_versions = service_versions.unwrap_or(&base.service_versions).clone();
            let rollouts = Some(&delta.rollouts).filter(|rollouts| !rollouts.is_empty());
            let rollouts = rollouts.unwrap_or(&base.rollouts).clone();
            result = Some(CommittedConfiguration {
                index,
                generation,
                document,
                service_versions,
                rollouts,
                keys_revoked: base.keys_revoked,
            });
        }
        Ok(result)
    }
}

/// Returns the delta from `base` to the later `configuration`, or `None` if it is too long to be sent or cannot express
/// the difference.
fn delta_between(
    base: &CommittedConfiguration,
    configuration: &CommittedConfiguration,
) -> Option<ConfigurationDelta> {
    // The receiver of a delta keeps the versions and rollouts of its base if those of the delta are empty.
    let empties_versions = configuration.service_versions.is_empty() && !base.service_versions.is_empty();
    let empties_rollouts = configuration.rollouts.is_empty() && !base.rollouts.is_empty();
    if empties_versions || empties_rollouts || configuration.keys_revoked != base.keys_revoked {
        return None;
    }
    Some(ConfigurationDelta {
        base_index: base.index,
        index: configuration.index,
        generation: configuration.generation,
        document: DocumentDelta::between_if_worth_sending(&base.document, &configuration.document)?,
        service_versions: configuration.service_versions.clone(),
        rollouts: configuration.rollouts.clone(),
    })
}

impl Gossip {
    /// Puts a newer configuration in force and announces it to random peers.
    pub(super) fn apply_configuration(
        &mut self,
        context: &mut Context,
        configuration: CommittedConfiguration,
    ) {
        if self.configuration.replace(&configuration) {
            self.announce_configuration(context, configuration);
        }
    }

    /// Like [`Self::apply_configuration`], for a configuration that originates here: computes the delta that all other sidecars
    /// forward.
    pub(super) fn apply_committed(&mut self, context: &mut Context, configuration: CommittedConfiguration) {
        if self.configuration.replace_with_delta(&configuration) {
            self.announce_configuration(context, configuration);
        }
    }

    /// Applies deltas; if they do not apply, fetches the complete document from their sender.
    pub(super) fn apply_configuration_deltas(
        &mut self,
        context: &mut Context,
        from: SocketAddrV4,
        deltas: &[Arc<ConfigurationDelta>],
    ) {
        if !self.configuration.accepts_deltas {
            return;
        }
        match self.configuration.apply_deltas(deltas) {
            Ok(Some(configuration)) => {
                let current_index = self.configuration.index();
                for delta in deltas.iter().filter(|delta| delta.index > current_index) {
                    self.configuration.deltas.push(Some(delta.clone()));
                }
                self.configuration.advance(&configuration);
                self.announce_configuration(context, configuration);
            }
            Ok(None) => {}
            Err(_) => self.configuration.fetch(context, from, false),
        }
    }

    fn announce_configuration(&mut self, context: &mut Context, configuration: CommittedConfiguration) {
        let index = configuration.index;
        context.emit(GossipAction::Configured(configuration));
        for peer in self.view.select(context.now, BROADCAST_FANOUT, &mut self.rng) {
            context.send(peer, GossipMessage::Announce { index });
        }
        // The known freshness may refer to the previous configuration, so poll the core at once.
        self.timers.expedite_core_poll(context.now);
    }
}
