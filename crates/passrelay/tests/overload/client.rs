//! Overloading clients: how each frames and sends a body, and where it stops.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Time after which a client gives up writing to a process that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Of this many clients, all but one stop short of the end of their body.
const CLIENTS_PER_COMPLETE_BODY: usize = 6;
/// Bytes that a client keeps back if it stops just short of the end.
const WITHHELD_BYTES: usize = 1;

/// How the length of a body is told.
#[derive(Clone, Copy)]
pub enum Framing {
    /// By `Content-Length`.
    Declared(usize),
    /// By chunks of this many bytes.
    Chunked(usize),
}

/// What each client sends after the head of its request.
#[derive(Clone, Copy)]
pub struct Sending {
    /// How the length of the body is told.
    pub framing: Framing,
    /// Bytes of the body that a client sends, apart from framing, as long as it can write.
    pub body_bytes: usize,
    /// Bytes of the body in one write.
    pub write_bytes: usize,
    /// Time between two writes.
    pub pause: Duration,
    /// Whether most clients stop just short of the end.
    pub stops_short: bool,
}

impl Sending {
    /// Returns the header lines that tell how long the body is.
    pub fn header_lines(&self) -> String {
        match self.framing {
            Framing::Declared(length) => format!("Content-Length: {length}\r\n"),
            Framing::Chunked(_) => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Sends the body and returns at its end, or once the process has ended the connection or does not read on.
    fn send(&self, stream: &mut TcpStream, is_complete: bool) {
        let withheld = if is_complete { 0 } else { WITHHELD_BYTES };
        let mut remaining = self.body_bytes - withheld;
        while remaining > 0 {
            let length = self.write_bytes.min(remaining);
            if stream.write_all(&self.framed(length)).is_err() {
                return;
            }
            remaining -= length;
            if !self.pause.is_zero() {
                thread::sleep(self.pause);
            }
        }
        if is_complete && matches!(self.framing, Framing::Chunked(_)) {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }

    /// Returns this many bytes of a body, with the framing of its chunks.
    fn framed(&self, length: usize) -> Vec<u8> {
        let body = vec![b'b'; length];
        match self.framing {
            Framing::Declared(_) => body,
            Framing::Chunked(chunk_bytes) => {
                let chunk =
                    |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
                body.chunks(chunk_bytes).flat_map(chunk).collect()
            }
        }
    }
}

/// Connects this many clients, each on its own thread, which send a head and a body at the same time. `head` returns that of
/// the client with this number. Returns the connections, still open, once all have sent what they can.
pub fn send_bodies(
    address: SocketAddr,
    clients: usize,
    head: impl Fn(usize) -> String,
    sending: Sending,
) -> Vec<TcpStream> {
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            let head = format!("{}\r\n", head(number));
            let is_complete = !sending.stops_short || number % CLIENTS_PER_COMPLETE_BODY == 0;
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
                if stream.write_all(head.as_bytes()).is_ok() {
                    sending.send(&mut stream, is_complete);
                }
                Some(stream)
            })
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().expect("a client panicked")).collect()
}

/// Connects this many clients, one after the other, each of which sends `bytes` and nothing more. Returns the connections,
/// still open. A client that the process does not let in is left out.
pub fn connect_clients(address: SocketAddr, clients: usize, bytes: &[u8]) -> Vec<TcpStream> {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    let connect = |_| {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT)).ok()?;
        // The process need not read all of it.
        let _ = stream.write_all(bytes);
        Some(stream)
    };
    (0..clients).filter_map(connect).collect()
}
