//! Servers whose answers the test decides.

use crate::Message;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a server does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Bytes(Vec<u8>),
    /// Writes this, then closes.
    BytesThenClose(Vec<u8>),
    /// Writes this, then resets the connection.
    BytesThenReset(Vec<u8>),
    /// Says nothing and keeps the connection.
    NoResponse,
}

/// An answer with a length.
pub fn response(status: u16, more: &str, body: &[u8]) -> Reply {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{more}\r\n", body.len());
    Reply::Bytes([head.as_bytes(), body].concat())
}

/// A server whose answers the test decides; used as a node and as discovery.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    ended: Arc<AtomicUsize>,
}

impl Server {
    /// A server on a free port of loopback.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
        Server::from_listener(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    /// A server on this listener.
    pub fn from_listener(
        listener: TcpListener,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Server {
        let (seen, ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (coming, gone) = (seen.clone(), ended.clone());
        let address = serve_connections(listener, move |number, mut sock| {
            let mut reader = BufReader::new(sock.try_clone().unwrap());
            while let Some(message) = Message::read(&mut reader) {
                coming.lock().unwrap().push(Message { connection: number, ..message.clone() });
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
                        gone.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    Reply::NoResponse => {}
                }
            }
            // Counted only once the other side can see the end. A process that another test starts just
            // now holds a copy of the socket until it runs its program: closing alone may come late.
            let _ = sock.shutdown(Shutdown::Both);
            drop((reader, sock));
            gone.fetch_add(1, Ordering::SeqCst);
        });
        Server { address, seen, ended }
    }

    /// What has come in so far.
    pub fn requests(&self) -> Vec<Message> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that have ended.
    pub fn closed_connections(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves each connection to this listener by a script of the test's own, on a thread of its own; the script gets the
/// connection's number.
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

/// A listener whose queue is full, so that no further connection to it comes up before somebody accepts; and the
/// connections that fill it, which are accepted first.
///
/// # Panics
///
/// Panics where the system doesn't let the queue fill.
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
    assert!(fillers.len() < 4, "the queue should be full");
    (listener, fillers)
}
