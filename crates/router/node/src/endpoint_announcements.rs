//! Announcements of endpoints that wait until the core has confirmed them.

use passrelay_dissemination::AnnouncementId;
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;

/// Announcements that the core has not confirmed yet.
#[derive(Default)]
pub struct PendingAnnouncements {
    pending: RefCell<HashMap<AnnouncementId, Sender<()>>>,
}

impl PendingAnnouncements {
    /// Waits for the confirmation of an announcement; it comes through the channel.
    pub fn register(&self, announcement: AnnouncementId) -> Receiver<()> {
        let (confirmed, confirmation) = smol::channel::bounded(1);
        self.pending.borrow_mut().insert(announcement, confirmed);
        confirmation
    }

    /// The core has confirmed an announcement.
    pub fn confirm(&self, announcement: &AnnouncementId) {
        if let Some(waiting) = self.pending.borrow_mut().remove(announcement) {
            let _ = waiting.try_send(());
        }
    }

    /// Nobody waits for this announcement any more.
    pub fn remove(&self, announcement: &AnnouncementId) {
        self.pending.borrow_mut().remove(announcement);
    }
}
