//! The fleet's thread in a process that does something else: it keeps a session with the voters. Nothing in the
//! process waits for it; what it knows is read from a few numbers that it leaves behind.

use crate::member::Member;
use crate::plan::Plan;
use passrelay_lease_consensus::client::News;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The session's time to live.
const TTL: Duration = Duration::from_secs(10);
/// The longest wait for something to happen: an end is noticed so late.
const STEP: Duration = Duration::from_millis(50);

/// What the thread leaves to be read at any time.
#[derive(Debug, Default)]
pub struct View {
    session: AtomicU64,
    sessions: AtomicU64,
    name_taken: AtomicBool,
    end: AtomicBool,
}

impl View {
    /// The session, if one is open.
    pub fn session(&self) -> Option<u64> {
        Some(self.session.load(Ordering::Relaxed)).filter(|s| *s > 0)
    }

    /// Sessions that were opened so far.
    pub fn sessions(&self) -> u64 {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Another process has a session under this name.
    pub fn name_taken(&self) -> bool {
        self.name_taken.load(Ordering::Relaxed)
    }

    fn hear(&self, news: &News) {
        match news {
            News::Opened(session) => {
                self.session.store(*session, Ordering::Relaxed);
                self.sessions.fetch_add(1, Ordering::Relaxed);
                self.name_taken.store(false, Ordering::Relaxed);
            }
            News::NameTaken => self.name_taken.store(true, Ordering::Relaxed),
            News::Ended => self.session.store(0, Ordering::Relaxed),
            _ => {}
        }
    }
}

/// The thread; its session is closed when this is dropped.
pub struct Resident {
    view: Arc<View>,
    thread: Option<JoinHandle<()>>,
}

impl Resident {
    /// Starts the thread. Voters that can't be reached are no error: it goes on calling them.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no poller or no thread.
    pub fn start(plan: &Plan, name: &str) -> io::Result<Resident> {
        let mut member = Member::new(plan, name, TTL)?;
        let view = Arc::new(View::default());
        let left = view.clone();
        let thread = thread::Builder::new().name("fleet".to_owned()).spawn(move || {
            while !left.end.load(Ordering::Relaxed) {
                match member.step(STEP) {
                    Ok(news) => news.iter().for_each(|n| left.hear(n)),
                    // A poller that fails once may do so again at once.
                    Err(_) => thread::sleep(STEP),
                }
            }
            member.client.close();
            // Nobody waits for what comes back: the session ends by itself if this gets lost.
            let _ = member.step(Duration::ZERO);
        })?;
        Ok(Resident { view, thread: Some(thread) })
    }

    /// What the thread leaves to be read.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }
}

impl Drop for Resident {
    fn drop(&mut self) {
        self.view.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It has panicked or it has ended: nothing is left to be done in either case.
            let _ = thread.join();
        }
    }
}
