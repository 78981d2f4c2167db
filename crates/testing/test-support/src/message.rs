//! HTTP messages, parsed without interpretation.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// Names, in lower case, and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body; empty without a `Content-Length`.
    pub body: Vec<u8>,
    /// Index of the connection at the server that received the message, from 0; 0 for other messages.
    pub connection: usize,
}

impl Message {
    /// Returns the first value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one message, with a body of `Content-Length` bytes. Returns `None` if the connection ends or fails before the
    /// message is complete.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut line = String::new();
        let mut message = Message::default();
        loop {
            line.clear();
            // A line without a line feed was truncated by the end of the connection; the head is incomplete.
            if from.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            match line.trim_end() {
                "" => break,
                text if message.start_line.is_empty() => message.start_line = text.to_owned(),
                text => {
                    let (name, value) = text.split_once(':')?;
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
        let length = message.header("content-length").map_or(0, |l| l.parse().unwrap());
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}
