//! A blocking HTTP client: connections that are kept for many requests, and single calls.

use passrelay_test_support::Message;
use std::io::{copy, sink, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Operators and endpoints move on to another process after this time without an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const LINE_END: &str = "\r\n";

/// A connection that carries one request after the other.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects; `None` where nobody accepts in time.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { stream, reader })
    }

    /// Sends a request and reads its answer; `None` where the connection ends or stays silent.
    pub fn exchange(&mut self, request: &str) -> Option<Message> {
        self.send(request);
        self.receive()
    }

    /// Sends a request; a connection that has ended shows at [`Connection::receive`].
    pub fn send(&mut self, request: &str) {
        let _ = self.stream.write_all(request.as_bytes());
    }

    /// Reads a body in chunks to its last chunk, or as far as the connection brings it.
    pub fn read_chunks(&mut self) {
        let mut line = String::new();
        while self.reader.read_line(&mut line).is_ok() {
            let Ok(size @ 1..) = u64::from_str_radix(line.trim_end(), 16) else { return };
            let length = size + LINE_END.len() as u64;
            if copy(&mut self.reader.by_ref().take(length), &mut sink()).ok() != Some(length) {
                return;
            }
            line.clear();
        }
    }

    /// Reads the next answer.
    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }
}

/// One call on a connection of its own: status and body, or `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<(u16, String)> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    let answer = Connection::open(address, CALL_TIMEOUT)?.exchange(&request)?;
    Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}
