//! The fleet's thread in a process that does something else: it keeps a session with the voters. Nothing in the
//! process waits for it; what it knows is read from a few numbers that it leaves behind.

use crate::fleet_client::FleetClient;
use crate::fleet_config::FleetConfig;
use passrelay_lease_consensus::client::ClientEvent;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The session's time to live.
const SESSION_TTL: Duration = Duration::from_secs(10);
/// The longest wait for something to happen: an end is noticed so late.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// What the thread leaves to be read at any time.
#[derive(Debug, Default)]
pub struct SessionStatus {
    session: AtomicU64,
    sessions_opened: AtomicU64,
    name_taken: AtomicBool,
    stop: AtomicBool,
}

impl SessionStatus {
    /// The session, if one is open.
    pub fn session(&self) -> Option<u64> {
        Some(self.session.load(Ordering::Relaxed)).filter(|s| *s > 0)
    }

    /// Sessions that were opened so far.
    pub fn sessions_opened(&self) -> u64 {
        self.sessions_opened.load(Ordering::Relaxed)
    }

    /// Another process has a session under this name.
    pub fn name_taken(&self) -> bool {
        self.name_taken.load(Ordering::Relaxed)
    }

    fn update(&self, news: &ClientEvent) {
        match news {
            ClientEvent::SessionOpened(session) => {
                self.session.store(*session, Ordering::Relaxed);
                self.sessions_opened.fetch_add(1, Ordering::Relaxed);
                self.name_taken.store(false, Ordering::Relaxed);
            }
            ClientEvent::NameTaken => self.name_taken.store(true, Ordering::Relaxed),
            ClientEvent::SessionEnded => self.session.store(0, Ordering::Relaxed),
            _ => {}
        }
    }
}

/// The thread; its session is closed when this is dropped.
pub struct BackgroundClient {
    status: Arc<SessionStatus>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundClient {
    /// Starts the thread. Voters that can't be reached are no error: it goes on calling them.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no poller or no thread.
    pub fn start(fleet_config: &FleetConfig, name: &str) -> io::Result<BackgroundClient> {
        let mut fleet_client = FleetClient::new(fleet_config, name, SESSION_TTL)?;
        let status = Arc::new(SessionStatus::default());
        let shared = status.clone();
        let thread = thread::Builder::new().name("fleet".to_owned()).spawn(move || {
            while !shared.stop.load(Ordering::Relaxed) {
                match fleet_client.poll(POLL_TIMEOUT) {
                    Ok(news) => news.iter().for_each(|n| shared.update(n)),
                    // A poller that fails once may do so again at once.
                    Err(_) => thread::sleep(POLL_TIMEOUT),
                }
            }
            fleet_client.client.close();
            // Nobody waits for what comes back: the session ends by itself if this gets lost.
            let _ = fleet_client.poll(Duration::ZERO);
        })?;
        Ok(BackgroundClient { status, thread: Some(thread) })
    }

    /// What the thread leaves to be read.
    pub fn status(&self) -> Arc<SessionStatus> {
        self.status.clone()
    }
}

impl Drop for BackgroundClient {
    fn drop(&mut self) {
        self.status.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It has panicked or it has ended: nothing is shared to be done in either case.
            let _ = thread.join();
        }
    }
}
