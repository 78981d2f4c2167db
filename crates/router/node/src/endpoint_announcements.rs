//! Endpoint announcements that await confirmation by the core.

use passrelay_dissemination::AnnouncementId;
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;

/// The announcements that the core has not confirmed yet, each with the channel to notify.
#[derive(Default)]
pub struct PendingAnnouncements {
    pending: RefCell<HashMap<AnnouncementId, Sender<()>>>,
}

impl PendingAnnouncements {
    /// Registers an announcement. The returned channel is notified of its confirmation.
    pub fn register(&self, announcement: AnnouncementId) -> Receiver<()> {
        let (confirmed, confirmation) = smol::channel::bounded(1);
        self.pending.borrow_mut().insert(announcement, confirmed);
        confirmation
    }

    /// Notifies the waiter of an announcement that the core has confirmed.
    pub fn confirm(&self, announcement: &AnnouncementId) {
        if let Some(confirmed) = self.pending.borrow_mut().remove(announcement) {
            let _ = confirmed.try_send(());
        }
    }

    /// Drops an announcement whose confirmation is no longer awaited.
    pub fn remove(&self, announcement: &AnnouncementId) {
        self.pending.borrow_mut().remove(announcement);
    }
}
