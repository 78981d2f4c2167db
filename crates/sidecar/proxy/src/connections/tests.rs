use super::*;
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

fn connections(poll: &mio::Poll) -> Connections {
    let registry = poll.registry().try_clone().unwrap();
    let client = DiscoveryClient::new(SocketAddr::from(([127, 0, 0, 1], 9)), None);
    let bounds = Bounds { max_upstreams: 8, connect_timeout: 1.0, upstream_idle_timeout: 1.0 };
    Connections::new(registry, 0.01, client, Log::new("test"), "test", &bounds)
}

/// Two ends of a connection; the first one's queue takes this many bytes and more.
fn pair(queue: usize) -> (TcpStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&listener).set_recv_buffer_size(2 * queue).unwrap();
    let far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (near, _) = listener.accept().unwrap();
    near.set_nonblocking(true).unwrap();
    (TcpStream::from_std(near), far)
}

/// Waits until the key's connection has so many bytes unread.
fn until_unread(connections: &Connections, key: usize, bytes: usize) {
    let (began, mut sink) = (std::time::Instant::now(), vec![0; bytes]);
    while !matches!(connections.clients[key].socket.peek(&mut sink), Ok(n) if n == bytes) {
        assert!(began.elapsed().as_secs() < 20, "waited in vain for {bytes} bytes");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

// Guards against a refusal lost to a reset over bytes that all lay there before the first read, so that no event told of
// them again; and against a flood that is read to its end at one go, while others wait.
#[test]
fn bytes_behind_a_refusal_are_read_off_turn_by_turn_without_an_event() {
    const FLOOD: usize = 400_000;
    let poll = mio::Poll::new().unwrap();
    let mut connections = connections(&poll);
    let (near, mut far) = pair(2 * FLOOD);
    connections.accept(near).unwrap();
    let flood = std::thread::spawn(move || far.write_all(&vec![b'z'; FLOOD]).map(|()| far));
    until_unread(&connections, 0, FLOOD);
    connections.clients[0].close = true;
    connections.respond(0, 413, "too long\n", &[]);
    let mut turns = 0;
    while !connections.continuations.is_empty() {
        connections.run_continuations();
        turns += 1;
    }
    assert!(turns >= 5, "{turns} turns");
    let left = connections.clients[0].socket.peek(&mut [0]);
    assert_eq!(left.map_err(|e| e.kind()), Err(io::ErrorKind::WouldBlock), "bytes lie unread");
    // The answer and an end; and the client's own end is seen without another look.
    let mut far = flood.join().unwrap().unwrap();
    let mut heard = String::new();
    far.read_to_string(&mut heard).unwrap();
    assert!(heard.starts_with("HTTP/1.1 413 "), "{heard}");
}
