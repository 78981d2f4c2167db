//! A TCP relay that injects faults into the link between two processes. It can block either direction and deliver
//! the bytes later, delay them, stop in the middle of a frame, and drop all connections.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes forwarded per read. Smaller than most frames, so that a block takes effect in the middle of a frame.
const CHUNK_BYTES: usize = 64;
/// Interval at which the relay's threads check for new connections and for changed faults.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The faults currently injected into a link, shared with the relay's threads.
#[derive(Default)]
pub struct LinkFaults {
    /// Whether bytes are held back, toward the target (index 0) and back from it (index 1).
    pub blocked: [AtomicBool; 2],
    /// Delay of each chunk of `CHUNK_BYTES`, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Incremented to drop all connections: a connection closes once this differs from the value at its start.
    pub drop_count: AtomicU64,
    /// Stops the relay and all its threads.
    pub shut_down: AtomicBool,
}

/// A relay from a loopback port to one target address. Dropping it stops its threads.
pub struct Relay {
    /// The loopback address on which the relay accepts connections.
    pub address: SocketAddr,
    /// The faults of this link; writes take effect within `POLL_INTERVAL`.
    pub faults: Arc<LinkFaults>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let (address, faults) = (listener.local_addr()?, Arc::new(LinkFaults::default()));
        let shared = faults.clone();
        thread::spawn(move || {
            while !shared.shut_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let faults = shared.clone();
                        thread::spawn(move || forward_connection(socket, to, &faults));
                    }
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(Relay { address, faults })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.faults.shut_down.store(true, Ordering::Relaxed);
    }
}

/// Forwards one connection, with one thread for each direction.
fn forward_connection(from: TcpStream, to: SocketAddr, faults: &Arc<LinkFaults>) {
    let drop_count = faults.drop_count.load(Ordering::Relaxed);
    let closed = || {
        faults.shut_down.load(Ordering::Relaxed) || faults.drop_count.load(Ordering::Relaxed) != drop_count
    };
    // No upstream connection is made while the direction toward the target is blocked.
    while faults.blocked[0].load(Ordering::Relaxed) {
        if closed() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let Ok(upstream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let clone_both = |a: &TcpStream, b: &TcpStream| Some((a.try_clone().ok()?, b.try_clone().ok()?));
    let Some((back_from, back_to)) = clone_both(&upstream, &from) else { return };
    let shared = faults.clone();
    let back = thread::spawn(move || forward_bytes(back_from, back_to, 1, drop_count, &shared));
    forward_bytes(from, upstream, 0, drop_count, faults);
    let _ = back.join();
}

fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: usize,
    drop_count: u64,
    faults: &LinkFaults,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; CHUNK_BYTES];
    while !faults.shut_down.load(Ordering::Relaxed) && faults.drop_count.load(Ordering::Relaxed) == drop_count
    {
        if faults.blocked[direction].load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                let delay = faults.delay_ms.load(Ordering::Relaxed);
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
