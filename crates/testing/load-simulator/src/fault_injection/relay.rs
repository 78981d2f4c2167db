//! A relay between two processes: for each direction of a link it can hold bytes back and release them late,
//! delay them, stop in the middle of a frame, and drop the connections.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes carried at one go: less than most frames, so that a cut falls in the middle of one.
const CHUNK: usize = 64;
/// How often a thread looks whether something changed.
const LOOK: Duration = Duration::from_millis(5);

/// What is wrong with a link now.
#[derive(Default)]
pub struct Wrong {
    /// Bytes are held back: on the way there, on the way back.
    pub cut: [AtomicBool; 2],
    /// Each chunk is delayed by so many milliseconds.
    pub delay_ms: AtomicU64,
    /// Grows with each time that all connections are to be dropped.
    pub dropped: AtomicU64,
    /// The relay ends.
    pub end: AtomicBool,
}

/// A relay.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub wrong: Arc<Wrong>,
}

impl Relay {
    /// A relay to an address, on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails where there is none.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let door = TcpListener::bind("127.0.0.1:0")?;
        door.set_nonblocking(true)?;
        let (address, wrong) = (door.local_addr()?, Arc::new(Wrong::default()));
        let shared = wrong.clone();
        thread::spawn(move || {
            while !shared.end.load(Ordering::Relaxed) {
                match door.accept() {
                    Ok((socket, _)) => {
                        let wrong = shared.clone();
                        thread::spawn(move || carry(socket, to, &wrong));
                    }
                    Err(_) => thread::sleep(LOOK),
                }
            }
        });
        Ok(Relay { address, wrong })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.wrong.end.store(true, Ordering::Relaxed);
    }
}

/// Carries one connection, each direction in a thread.
fn carry(from: TcpStream, to: SocketAddr, wrong: &Arc<Wrong>) {
    let dropped = wrong.dropped.load(Ordering::Relaxed);
    let over = || wrong.end.load(Ordering::Relaxed) || wrong.dropped.load(Ordering::Relaxed) != dropped;
    // A call doesn't come up while the way there is cut.
    while wrong.cut[0].load(Ordering::Relaxed) {
        if over() {
            return;
        }
        thread::sleep(LOOK);
    }
    let Ok(onward) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let pair = |a: &TcpStream, b: &TcpStream| Some((a.try_clone().ok()?, b.try_clone().ok()?));
    let Some((back_from, back_to)) = pair(&onward, &from) else { return };
    let shared = wrong.clone();
    let back = thread::spawn(move || pump(back_from, back_to, 1, dropped, &shared));
    pump(from, onward, 0, dropped, wrong);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, way: usize, dropped: u64, wrong: &Wrong) {
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; CHUNK];
    while !wrong.end.load(Ordering::Relaxed) && wrong.dropped.load(Ordering::Relaxed) == dropped {
        if wrong.cut[way].load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                let delay = wrong.delay_ms.load(Ordering::Relaxed);
                if delay > 0 {
                    thread::sleep(Duration::from_millis(delay));
                }
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
