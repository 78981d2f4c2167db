use super::*;
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

fn connections(poll: &mio::Poll) -> Connections {
    let registry = poll.registry().try_clone().unwrap();
    let client = DiscoveryClient::new(SocketAddr::from(([127, 0, 0, 1], 9)), None);
    let limits = ConnectionLimits { max_upstreams: 8, connect_timeout: 1.0, node_idle_timeout: 1.0 };
    Connections::new(registry, 0.01, client, Log::new("test"), "test", &limits)
}

/// Returns the two ends of a connection. The receive queue of the first end takes at least `queue` bytes.
fn pair(queue: usize) -> (TcpStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_recv_buffer_size(2 * queue).unwrap();
    let remote = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (local, _) = listener.accept().unwrap();
    local.set_nonblocking(true).unwrap();
    (TcpStream::from_std(local), remote)
}

/// Waits until `bytes` bytes are unread on the client connection `key`.
fn wait_for_unread(connections: &Connections, key: usize, bytes: usize) {
    let (started, mut peeked) = (std::time::Instant::now(), vec![0; bytes]);
    while !matches!(connections.clients[key].socket.peek(&mut peeked), Ok(n) if n == bytes) {
        assert!(started.elapsed().as_secs() < 20, "timed out waiting for {bytes} unread bytes");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

// Guards against an error response lost to a connection reset: all input was already queued before the first
// read, so no further event announced it and it stayed unread. Also guards against a flood of input that is
// read to its end in one turn while other connections wait.
#[test]
fn input_after_an_error_response_is_drained_turn_by_turn_without_an_event() {
    const FLOOD: usize = 400_000;
    let poll = mio::Poll::new().unwrap();
    let mut connections = connections(&poll);
    let (local, mut remote) = pair(2 * FLOOD);
    connections.accept(local).unwrap();
    let flood = std::thread::spawn(move || remote.write_all(&vec![b'z'; FLOOD]).map(|()| remote));
    wait_for_unread(&connections, 0, FLOOD);
    connections.clients[0].close = true;
    connections.respond(0, 413, "too long\n", &[]);
    let mut turns = 0;
    while !connections.continuations.is_empty() {
        connections.run_continuations();
        turns += 1;
    }
    assert!(turns >= 5, "{turns} turns");
    let left = connections.clients[0].socket.peek(&mut [0]);
    assert_eq!(left.map_err(|e| e.kind()), Err(io::ErrorKind::WouldBlock), "input was left unread");
    // The client gets the response and the end of the stream; its own end is detected without another event.
    let mut remote = flood.join().unwrap().unwrap();
    let mut received = String::new();
    remote.read_to_string(&mut received).unwrap();
    assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
}
