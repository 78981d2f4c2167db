//! The bare relay, a baseline for measurements of the sidecar: a one-thread relay without any decisions. It forwards
//! requests to the nodes in turn over persistent connections, without checks, timeouts or retries.

use super::wire::{wait, Conn};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// A bare relay on loopback. Dropping it stops its thread.
pub struct Floor {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Floor {
    /// Starts a relay in front of `nodes`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or the thread cannot be started.
    pub fn start(nodes: Vec<SocketAddr>) -> io::Result<Floor> {
        let listener = TcpListener::bind(([127, 0, 0, 1], 0).into())?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let ends = stop.clone();
        let thread = std::thread::Builder::new()
            .name("floor".to_owned())
            .spawn(move || run(listener, &nodes, &ends))?;
        Ok(Floor { address, stop, thread: Some(thread) })
    }
}

impl Drop for Floor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A connection of the relay, to a caller or to a node.
struct RelayConn {
    conn: Conn,
    /// Index of the node that it leads to; `None` for a caller's connection.
    node: Option<usize>,
    /// Key of the connection on the other side while a request is in progress.
    peer: Option<usize>,
}

fn run(mut listener: TcpListener, nodes: &[SocketAddr], stop: &AtomicBool) -> io::Result<()> {
    let mut poll = Poll::new()?;
    poll.registry().register(&mut listener, Token(0), Interest::READABLE)?;
    let mut ends: Slab<RelayConn> = Slab::new();
    let mut idle: Vec<Vec<usize>> = vec![Vec::new(); nodes.len()];
    let mut next = 0;
    let mut events = Events::with_capacity(1024);
    let both = Interest::READABLE | Interest::WRITABLE;
    while !stop.load(Ordering::SeqCst) {
        wait(&mut poll, &mut events, None)?;
        for event in &events {
            if event.token() == Token(0) {
                while let Ok((mut sock, _)) = listener.accept() {
                    let entry = ends.vacant_entry();
                    poll.registry().register(&mut sock, Token(entry.key() + 1), both)?;
                    entry.insert(RelayConn { conn: Conn::new(sock), node: None, peer: None });
                }
                continue;
            }
            let key = event.token().0 - 1;
            let Some(relay_conn) = ends.get_mut(key) else { continue };
            let is_open = relay_conn.conn.flush() && relay_conn.conn.fill();
            if let Some(node) = relay_conn.node {
                if let Ok(Some(m)) = relay_conn.conn.take(true) {
                    let peer = relay_conn.peer.take();
                    if is_open {
                        idle[node].push(key);
                    }
                    let head = format!("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n", m.status, m.body.len());
                    if let Some(caller) = peer.and_then(|p| ends.get_mut(p)) {
                        caller.conn.put(&[head.as_bytes(), &m.body].concat());
                        caller.peer = None;
                    }
                }
            } else if let Ok(Some(m)) = relay_conn.conn.take(false) {
                let to = next % nodes.len();
                next += 1;
                let head = format!(
                    "{} {} HTTP/1.1\r\nHost: n\r\nX-Call-Class: {}\r\nContent-Length: {}\r\n\r\n",
                    m.method,
                    m.target,
                    m.class,
                    m.body.len()
                );
                let out = match idle[to].pop().filter(|k| ends.contains(*k)) {
                    Some(out) => out,
                    None => {
                        let mut sock = TcpStream::connect(nodes[to])?;
                        let entry = ends.vacant_entry();
                        poll.registry().register(&mut sock, Token(entry.key() + 1), both)?;
                        let out = entry.key();
                        entry.insert(RelayConn { conn: Conn::new(sock), node: Some(to), peer: None });
                        out
                    }
                };
                ends[key].peer = Some(out);
                ends[out].peer = Some(key);
                ends[out].conn.put(&[head.as_bytes(), &m.body].concat());
            }
            if !is_open {
                if let Some(mut relay_conn) = ends.try_remove(key) {
                    let _ = poll.registry().deregister(&mut relay_conn.conn.sock);
                    if let Some(node) = relay_conn.node {
                        idle[node].retain(|k| *k != key);
                    }
                }
            }
        }
    }
    Ok(())
}
