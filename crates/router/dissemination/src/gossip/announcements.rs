//! Confirmations that the core knows of a change to an endpoint, such as its removal, before the endpoint is sent an
//! acknowledgement.
//!
//! An announcement is confirmed by a member of the core that has been in contact with a majority since the announcement and
//! whose registry agrees with the local one in the endpoint's bucket. Confirmation is best effort: after
//! [`CONFIRMATION_TIMEOUT`] the announcement is silently dropped, and the caller applies its own timeout.

use super::actions::{Context, GossipAction};
use crate::registry::bucket_of;
use std::time::Duration;

/// An announcement that is not confirmed within this time is dropped.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifier of an announcement: a change to an endpoint that the core has to know of before the change is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnouncementId(pub u64);

/// An announcement that awaits confirmation.
#[derive(Debug)]
pub(super) struct PendingAnnouncement {
    id: AnnouncementId,
    /// The endpoint's bucket in registry digests.
    pub(super) bucket: usize,
    pub(super) announced_at: Duration,
}

/// All announcements that await confirmation, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingAnnouncements {
    pending: Vec<PendingAnnouncement>,
    last_id: u64,
}

impl PendingAnnouncements {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds an announcement of the current record of `endpoint`.
    pub(super) fn add(&mut self, now: Duration, endpoint: &str) -> AnnouncementId {
        self.last_id += 1;
        let id = AnnouncementId(self.last_id);
        self.pending.push(PendingAnnouncement { id, bucket: bucket_of(endpoint), announced_at: now });
        id
    }

    /// Drops announcements older than [`CONFIRMATION_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Duration) {
        self.pending.retain(|pending| now.saturating_sub(pending.announced_at) < CONFIRMATION_TIMEOUT);
    }

    /// Removes the announcements for which `is_confirmed` returns true and emits a confirmation for each.
    pub(super) fn confirm(
        &mut self,
        context: &mut Context,
        is_confirmed: impl Fn(&PendingAnnouncement) -> bool,
    ) {
        let (confirmed, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(is_confirmed);
        self.pending = pending;
        for announcement in confirmed {
            context.emit(GossipAction::AnnouncementConfirmed(announcement.id));
        }
    }
}
