//! HTTP servers whose responses are defined by the test.

use crate::Message;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The reaction of a server to a request.
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// Writes these bytes, then closes the connection.
    BytesThenClose(Vec<u8>),
    /// Writes these bytes, then resets the connection.
    BytesThenReset(Vec<u8>),
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

/// Returns a response with a `Content-Length`. `extra_headers` holds further header lines, each with its line break.
pub fn response(status: u16, extra_headers: &str, body: &[u8]) -> Reply {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{extra_headers}\r\n", body.len());
    Reply::Bytes([head.as_bytes(), body].concat())
}

/// A server whose responses are defined by the test; used as a node and for discovery.
pub struct Server {
    /// The address on which the server listens.
    pub address: SocketAddr,
    received_requests: Arc<Mutex<Vec<Message>>>,
    closed_count: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        Server::from_listener(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// Starts a server on an existing listener.
    pub fn from_listener(
        listener: TcpListener,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let (received_requests, closed_count) =
            (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (received, closed) = (received_requests.clone(), closed_count.clone());
        let address = serve_connections(listener, move |number, mut sock| {
            let mut reader = BufReader::new(sock.try_clone().unwrap());
            while let Some(message) = Message::read(&mut reader) {
                received.lock().unwrap().push(Message { connection: number, ..message.clone() });
                match reply(&message) {
                    Reply::Bytes(bytes) => drop(sock.write_all(&bytes)),
                    Reply::BytesThenClose(bytes) => {
                        let _ = sock.write_all(&bytes);
                        break;
                    }
                    Reply::BytesThenReset(bytes) => {
                        let _ = sock.write_all(&bytes);
                        let _ = SockRef::from(&sock).set_linger(Some(Duration::ZERO));
                        drop((reader, sock));
                        closed.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    Reply::NoResponse => {}
                }
            }
            // Shuts the connection down before counting it, so that the peer can observe the end by then. Closing
            // alone may take effect late: a process being started by another test holds a copy of the socket
            // until its exec.
            let _ = sock.shutdown(Shutdown::Both);
            drop((reader, sock));
            closed.fetch_add(1, Ordering::SeqCst);
        });
        Server { address, received_requests, closed_count }
    }

    /// Returns the requests received so far, in the order of arrival.
    pub fn requests(&self) -> Vec<Message> {
        self.received_requests.lock().unwrap().clone()
    }

    /// Returns the number of connections that have ended.
    pub fn closed_connections(&self) -> usize {
        self.closed_count.load(Ordering::SeqCst)
    }
}

/// Runs `script` for each connection to a listener, on a separate thread, with the connection's index from 0. Returns the
/// listener's address.
pub fn serve_connections(
    listener: TcpListener,
    script: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let (address, script) = (listener.local_addr().unwrap(), Arc::new(script));
    thread::spawn(move || {
        for (number, sock) in listener.incoming().map_while(Result::ok).enumerate() {
            let script = script.clone();
            thread::spawn(move || script(number, sock));
        }
    });
    address
}

/// Returns a listener whose accept queue is full, so that no further connection is established before one is accepted, and
/// the connections that fill the queue, which are accepted first.
///
/// # Panics
///
/// Panics if the queue does not fill up after four connections.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let fillers: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(100)))
        .map_while(Result::ok)
        .collect();
    assert!(fillers.len() < 4, "the accept queue is not full after {} connections", fillers.len());
    (listener, fillers)
}
