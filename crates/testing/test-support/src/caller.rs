//! Callers of the sidecar in service, and their requests.

use crate::process_state::is_fin_acknowledged;
use crate::{wait_until, Message};
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A request of class `look` or `pay` as text.
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

/// A caller's connection.
pub struct Caller {
    pub(crate) reader: BufReader<TcpStream>,
}

impl Caller {
    /// Writes this text.
    pub fn send(&mut self, text: &str) {
        // The other side may have closed already; what matters is then what it answered.
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    /// Reads one answer; `None` at the end of the connection.
    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes this text and reads the answer.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive().expect("an answer")
    }

    /// Ends its side of the connection and goes on hearing.
    pub fn shutdown_write(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Ends the connection; returns once the other side's system has acknowledged the end, and with it all that was sent.
    pub fn close(mut self) {
        let own = self.reader.get_ref().local_addr().unwrap();
        self.shutdown_write();
        wait_until("the end of the connection has arrived", || is_fin_acknowledged(own));
    }

    /// Leaves by a reset.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Reads to the end of the connection, however it ends: how much came, and its last bytes.
    pub fn drain(&mut self) -> (usize, Vec<u8>) {
        let (mut heard, mut last, mut piece) = (0, Vec::new(), vec![0; 1 << 16]);
        while let Ok(n @ 1..) = self.reader.read(&mut piece) {
            heard += n;
            last = piece[..n].to_vec();
        }
        (heard, last)
    }

    /// All that still comes up to the other side's end.
    ///
    /// # Errors
    ///
    /// Fails where the connection is reset instead.
    pub fn read_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).map(|_| rest)
    }

    /// Whether the other side ends the connection, after whatever it still sends.
    pub fn is_closed_by_peer(&mut self) -> bool {
        let end = self.read_to_end();
        end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
    }
}
