//! Propagation of the committed configuration.
//!
//! A sidecar that gets a newer configuration announces its index to a few peers, and digests carry the index as well. Whoever
//! learns of a newer index fetches the document from the peer it learned it from. One fetch is in flight at a time; the document
//! may be large, and an announcement reaches each sidecar several times.

use super::actions::Context;
use super::{Gossip, GossipAction, BROADCAST_FANOUT};
use crate::messages::{CommittedConfiguration, GossipMessage};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Timeout for the transfer of a small configuration; after it another peer may be asked ...
const BASE_FETCH_TIMEOUT: Duration = Duration::from_millis(120);
/// ... extended for each KiB of the configuration in force, as an estimate of the next, for slow links.
const FETCH_TIMEOUT_PER_KIB: Duration = Duration::from_micros(1_000);

/// The configuration in force and the fetch in flight.
#[derive(Debug, Default)]
pub(super) struct ConfigurationState {
    /// Its index never decreases.
    current: Option<CommittedConfiguration>,
    /// When the last fetch was sent; None once a configuration arrived.
    fetch_sent_at: Option<Duration>,
}

impl ConfigurationState {
    pub(super) fn current(&self) -> Option<&CommittedConfiguration> {
        self.current.as_ref()
    }

    /// Index of the configuration in force; 0 for none.
    pub(super) fn index(&self) -> u64 {
        self.current.as_ref().map_or(0, |configuration| configuration.index)
    }

    fn fetch_timeout(&self) -> Duration {
        let kib = self.current.as_ref().map_or(0, |configuration| configuration.document.len() / 1_024);
        BASE_FETCH_TIMEOUT + FETCH_TIMEOUT_PER_KIB * u32::try_from(kib).unwrap_or(u32::MAX)
    }

    fn is_fetch_in_flight(&self, now: Duration) -> bool {
        self.fetch_sent_at.is_some_and(|at| now.saturating_sub(at) < self.fetch_timeout())
    }

    /// Fetches the configuration of `index` from a peer unless it is known or a fetch is in flight.
    pub(super) fn fetch_if_newer(&mut self, context: &mut Context, from: SocketAddrV4, index: u64) {
        let have = self.index();
        if index > have && !self.is_fetch_in_flight(context.now) {
            self.fetch_sent_at = Some(context.now);
            context.send(from, GossipMessage::Fetch { have });
        }
    }

    /// Responds to a fetch of whoever has the configuration of index `have`.
    pub(super) fn transfer(&self, context: &mut Context, to: SocketAddrV4, have: u64) {
        if let Some(configuration) = self.current.as_ref().filter(|current| current.index > have) {
            context.send(to, GossipMessage::Configuration(configuration.clone()));
        }
    }

    /// Replaces the configuration if the given one is newer, and ends the fetch. Returns whether it was.
    fn replace(&mut self, configuration: &CommittedConfiguration) -> bool {
        if configuration.index <= self.index() {
            return false;
        }
        self.fetch_sent_at = None;
        self.current = Some(configuration.clone());
        true
    }
}

impl Gossip {
    /// Puts a newer configuration in force and announces it to random peers.
    pub(super) fn apply_configuration(
        &mut self,
        context: &mut Context,
        configuration: CommittedConfiguration,
    ) {
        if !self.configuration.replace(&configuration) {
            return;
        }
        let index = configuration.index;
        context.emit(GossipAction::Configured(configuration));
        for peer in self.view.select(context.now, BROADCAST_FANOUT, &mut self.rng) {
            context.send(peer, GossipMessage::Announce { index });
        }
        // What freshness is known may be that of the configuration before it: ask the core at once.
        self.timers.expedite_core_poll(context.now);
    }
}
