//! Confirmations that the core knows of a change of an endpoint, such as its end, before the endpoint gets its acknowledgement.
//!
//! A member of the core that is in contact with a majority since the announcement, and whose registry agrees with the local
//! one in the endpoint's bucket, confirms it. Confirmation is best effort: after [`CONFIRMATION_TIMEOUT`] the announcement is
//! dropped without notice, and the caller has a time-out of its own.

use super::actions::{Context, GossipAction};
use crate::registry::bucket_of;
use std::time::Duration;

/// A confirmation that hasn't arrived within this time isn't awaited any longer.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Id of a change of an endpoint that the core has to know of before the change is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnnouncementId(pub u64);

/// An announcement that awaits its confirmation.
#[derive(Debug)]
pub(super) struct PendingAnnouncement {
    announcement: AnnouncementId,
    /// The endpoint's bucket in registry digests.
    pub(super) bucket: usize,
    pub(super) announced_at: Duration,
}

/// All announcements that await their confirmation, oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingAnnouncements {
    pending: Vec<PendingAnnouncement>,
    last_id: u64,
}

impl PendingAnnouncements {
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds an announcement of what is known of `endpoint`.
    pub(super) fn add(&mut self, now: Duration, endpoint: &str) -> AnnouncementId {
        self.last_id += 1;
        let announcement = AnnouncementId(self.last_id);
        self.pending.push(PendingAnnouncement {
            announcement,
            bucket: bucket_of(endpoint),
            announced_at: now,
        });
        announcement
    }

    /// Drops announcements past [`CONFIRMATION_TIMEOUT`].
    pub(super) fn expire(&mut self, now: Duration) {
        self.pending.retain(|pending| now.saturating_sub(pending.announced_at) < CONFIRMATION_TIMEOUT);
    }

    /// Removes the announcements that `is_confirmed` holds for and emits their confirmations.
    pub(super) fn confirm(
        &mut self,
        context: &mut Context,
        is_confirmed: impl Fn(&PendingAnnouncement) -> bool,
    ) {
        let (confirmed, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(is_confirmed);
        self.pending = pending;
        for confirmation in confirmed {
            context.emit(GossipAction::AnnouncementConfirmed(confirmation.announcement));
        }
    }
}
