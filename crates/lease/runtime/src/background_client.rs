//! A background thread that keeps a session with the voters for a process with another main task. The process
//! never waits for the thread; it reads the session's status from atomics.

use crate::fleet_client::FleetClient;
use crate::fleet_config::FleetConfig;
use passrelay_lease_consensus::client::ClientEvent;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time to live of the session.
const SESSION_TTL: Duration = Duration::from_secs(10);
/// Maximum time to wait for an event, and thus the delay until the thread notices that it should stop.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// Status of the session, readable at any time.
#[derive(Debug, Default)]
pub struct SessionStatus {
    session: AtomicU64,
    sessions_opened: AtomicU64,
    name_taken: AtomicBool,
    stop: AtomicBool,
}

impl SessionStatus {
    /// Returns the open session, if there is one.
    pub fn session(&self) -> Option<u64> {
        Some(self.session.load(Ordering::Relaxed)).filter(|s| *s > 0)
    }

    /// Returns the number of sessions opened so far.
    pub fn sessions_opened(&self) -> u64 {
        self.sessions_opened.load(Ordering::Relaxed)
    }

    /// Whether another process has a session under this name.
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

/// The thread. Dropping this closes the session.
pub struct BackgroundClient {
    status: Arc<SessionStatus>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundClient {
    /// Starts the thread. Unreachable voters are not an error: the thread keeps trying to connect.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no poller or no thread.
    pub fn start(fleet_config: &FleetConfig, name: &str) -> io::Result<BackgroundClient> {
        let mut fleet_client = FleetClient::new(fleet_config, name, SESSION_TTL)?;
        let status = Arc::new(SessionStatus::default());
        let shared = status.clone();
        let thread = thread::Builder::new().name("fleet".to_owned()).spawn(move || {
            while !shared.stop.load(Ordering::Relaxed) {
                match fleet_client.poll(POLL_TIMEOUT) {
                    Ok(news) => news.iter().for_each(|n| shared.update(n)),
                    // The poller may fail again at once, so this avoids a busy loop.
                    Err(_) => thread::sleep(POLL_TIMEOUT),
                }
            }
            fleet_client.client.close();
            // No response is awaited. If the request gets lost, the session expires.
            let _ = fleet_client.poll(Duration::ZERO);
        })?;
        Ok(BackgroundClient { status, thread: Some(thread) })
    }

    /// Returns the shared status of the session.
    pub fn status(&self) -> Arc<SessionStatus> {
        self.status.clone()
    }
}

impl Drop for BackgroundClient {
    fn drop(&mut self) {
        self.status.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread has ended or panicked; there is nothing left to do in either case.
            let _ = thread.join();
        }
    }
}
