//! Propagation of the committed configuration.
//!
//! A sidecar that gets a newer configuration announces its index to a few peers, and digests carry the index as well. Whoever
//! learns of a newer index fetches the document from the peer it learned it from. One fetch is in flight at a time; the document
//! may be large, and an announcement reaches each sidecar several times.
//!
//! A change alters little of a document, so it travels as a delta. The primary makes it once; all others pass on the deltas
//! that they received. A sidecar that is further behind than the deltas reach, or whose document they don't fit, gets the
//! whole document.

use super::actions::Context;
use super::{Gossip, GossipAction, BROADCAST_FANOUT};
use crate::messages::{CommittedConfiguration, ConfigurationDelta, GossipMessage};
use passrelay_configuration::{DeltaChain, DeltaError, DocumentDelta};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the transfer of a small configuration; after it another peer may be asked ...
const BASE_FETCH_TIMEOUT: Duration = Duration::from_millis(120);
/// ... extended for each KiB of the configuration in force, as an estimate of the next, for slow links.
const FETCH_TIMEOUT_PER_KIB: Duration = Duration::from_micros(1_000);

/// The configuration in force and the fetch in flight.
#[derive(Debug)]
pub(super) struct ConfigurationState {
    /// Its index never decreases.
    current: Option<CommittedConfiguration>,
    /// How the configuration in force came about.
    deltas: DeltaChain<ConfigurationDelta>,
    /// When the last fetch was sent; None once a configuration arrived.
    fetch_sent_at: Option<Duration>,
    /// Whether this sidecar takes deltas.
    accepts_deltas: bool,
}

impl ConfigurationState {
    /// No configuration yet.
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

    /// Index of the configuration in force; 0 for none.
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

    /// Fetches the configuration of `index` from a peer unless it is known or a fetch is in flight.
    pub(super) fn fetch_if_newer(&mut self, context: &mut Context, from: SocketAddrV4, index: u64) {
        if index > self.index() && !self.is_fetch_in_flight(context.now) {
            self.fetch(context, from, self.accepts_deltas);
        }
    }

    fn fetch(&mut self, context: &mut Context, from: SocketAddrV4, accepts_deltas: bool) {
        self.fetch_sent_at = Some(context.now);
        context.send(from, GossipMessage::Fetch { have: self.index(), accepts_deltas });
    }

    /// Responds to a fetch of whoever has the configuration of index `have`.
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

    /// The deltas that lead from the configuration of an index to that in force; empty where they are not all known, or
    /// nearly as long as the document.
    fn deltas_since(&self, index: u64) -> Vec<Arc<ConfigurationDelta>> {
        let deltas = self.deltas.since(&index);
        let documents = deltas.iter().map(|delta| &delta.document);
        if DocumentDelta::are_worth_sending(documents, self.document_length()) {
            deltas
        } else {
            Vec::new()
        }
    }

    /// Replaces the configuration if the given one is newer, and ends the fetch. Returns whether it was.
    fn replace(&mut self, configuration: &CommittedConfiguration) -> bool {
        if configuration.index <= self.index() {
            return false;
        }
        self.deltas = DeltaChain::default();
        self.advance(configuration);
        true
    }

    /// Puts a newer configuration in force whose deltas are known.
    fn advance(&mut self, configuration: &CommittedConfiguration) {
        self.fetch_sent_at = None;
        self.current = Some(configuration.clone());
    }

    /// As [`Self::replace`], and makes the delta from the configuration before it, for peers.
    fn replace_and_compare(&mut self, configuration: &CommittedConfiguration) -> bool {
        if configuration.index <= self.index() {
            return false;
        }
        if let Some(previous) = &self.current {
            self.deltas.push(delta_between(previous, configuration).map(Arc::new));
        }
        self.advance(configuration);
        true
    }

    /// The configuration that deltas lead to from the one in force; None where none of them is newer. Those up to the one in
    /// force are passed over.
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
            let known = Some(&delta.service_versions).filter(|versions| !versions.is_empty());
            let service_versions = known.unwrap_or(&base.service_versions).clone();
            let rollouts = Some(&delta.rollouts).filter(|rollouts| !rollouts.is_empty());
            let rollouts = rollouts.unwrap_or(&base.rollouts).clone();
            result = Some(CommittedConfiguration { index, generation, document, service_versions, rollouts });
        }
        Ok(result)
    }
}

/// The delta from one configuration to a later one; `None` where it is too long to be sent.
fn delta_between(
    base: &CommittedConfiguration,
    configuration: &CommittedConfiguration,
) -> Option<ConfigurationDelta> {
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

    /// As [`Self::apply_configuration`] where this process is the source: it makes the delta that all others pass on.
    pub(super) fn apply_committed(&mut self, context: &mut Context, configuration: CommittedConfiguration) {
        if self.configuration.replace_and_compare(&configuration) {
            self.announce_configuration(context, configuration);
        }
    }

    /// Applies deltas; where they don't fit, fetches the whole document from their sender.
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
                let held = self.configuration.index();
                for delta in deltas.iter().filter(|delta| delta.index > held) {
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
        // What freshness is known may be that of the configuration before it: ask the core at once.
        self.timers.expedite_core_poll(context.now);
    }
}
