//! Callers, which send requests to a sidecar in service.

use crate::process_state::is_fin_acknowledged;
use crate::{wait_until, Message};
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Returns a request of class `look` or `pay` as text, with a unique call id. `budget` is the value of `X-Budget`.
pub fn request(class: &str, budget: f64, body: &[u8]) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let (method, length) = match class {
        "pay" => ("POST", format!("Content-Length: {}\r\n", body.len())),
        _ => ("GET", String::new()),
    };
    format!(
        "{method} /{class}/x?k=7&v=a%20b HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: c{number:08x}\r\n\
         X-Call-Class: {class}\r\nX-Caller: acme\r\nX-Budget: {budget}\r\n{length}\r\n{}",
        std::str::from_utf8(body).unwrap()
    )
}

/// A caller's connection to a sidecar.
pub struct Caller {
    pub(crate) reader: BufReader<TcpStream>,
}

impl Caller {
    /// Writes `text` and ignores errors.
    pub fn send(&mut self, text: &str) {
        // The peer may have closed the connection already; tests then check the response that it sent before.
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Reads one response. Returns `None` at the end of the connection.
    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes `text` and reads the response.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends without a response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive().expect("the connection ended without a response")
    }

    /// Shuts down the write half of the connection; responses can still be received.
    pub fn shutdown_write(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Closes the connection. Returns once the peer's kernel has acknowledged the FIN, and with it all data sent before.
    pub fn close(mut self) {
        let own = self.reader.get_ref().local_addr().unwrap();
        self.shutdown_write();
        wait_until(&format!("the FIN of {own} is acknowledged"), || is_fin_acknowledged(own));
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Reads to the end of the connection, whether it is closed or reset. Returns the number of bytes read and the last chunk.
    pub fn drain(&mut self) -> (usize, Vec<u8>) {
        let (mut total, mut last, mut chunk) = (0, Vec::new(), vec![0; 1 << 16]);
        while let Ok(n @ 1..) = self.reader.read(&mut chunk) {
            total += n;
            last = chunk[..n].to_vec();
        }
        (total, last)
    }

    /// Reads all remaining bytes until the peer closes the connection.
    ///
    /// # Errors
    ///
    /// Fails if reading fails, for example because the connection is reset instead.
    pub fn read_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).map(|_| rest)
    }

    /// Reads all remaining bytes and returns whether the peer then closed or reset the connection.
    pub fn is_closed_by_peer(&mut self) -> bool {
        let result = self.read_to_end();
        result.is_ok() || result.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
    }
}
