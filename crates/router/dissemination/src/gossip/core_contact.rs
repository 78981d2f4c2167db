//! Locates the core, the few sidecars that replicate the configuration, and polls it for freshness.
//!
//! The location of the core spreads with every digest. Polls are ordinary digest requests, so that a sidecar outside the core
//! keeps its configuration fresh without a separate protocol. This module does not handle membership of the core.

use super::actions::Context;
use super::timers::CorePollReason;
use super::Gossip;
use crate::messages::CoreHint;
use rand::seq::IndexedRandom;
use std::net::SocketAddrV4;
use std::time::Duration;

impl Gossip {
    /// Updates the location of the core, unless the hint stems from an epoch record no later than the known one.
    pub fn observe_core(&mut self, hint: CoreHint) {
        if self.core.as_ref().is_none_or(|known| hint.supersedes(known)) {
            self.core = Some(hint);
        }
    }

    /// Drops timed-out announcements, schedules the next poll and sends the current one.
    pub(super) fn poll_core(&mut self, context: &mut Context) {
        self.announcements.expire(context.now);
        self.timers.schedule_core_poll(context.now, self.core_poll_reason(context.now));
        for member in self.core_poll_targets(context.now) {
            self.send_digest_request(context, member);
        }
    }

    fn core_poll_reason(&self, now: Duration) -> CorePollReason {
        if !self.announcements.is_empty() {
            CorePollReason::Confirmation
        } else if self.freshness.is_fresh(now) {
            CorePollReason::Routine
        } else {
            CorePollReason::Stale
        }
    }

    /// Returns the members to poll: a single random one while the configuration is fresh and no announcement is pending, to
    /// spread the load over the core.
    fn core_poll_targets(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        let Some(core) = &self.core else { return Vec::new() };
        let random_member = core.members.choose(&mut self.rng).copied();
        let is_member = core.members.contains(&self.own_address);
        if !is_member && self.core_poll_reason(now) == CorePollReason::Routine {
            return random_member.into_iter().collect();
        }
        // The primary has the newest state. If the configuration is not fresh, the primary may be unreachable, so another
        // member is polled as well.
        let fallback =
            random_member.filter(|member| !self.freshness.is_fresh(now) && *member != core.primary);
        std::iter::once(core.primary).chain(fallback).collect()
    }
}
