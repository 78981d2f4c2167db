//! HTTP messages as they came.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Number of the connection at its server.
    pub connection: usize,
}

impl Message {
    /// The first value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads one message framed by a length; `None` at the end of the connection.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut line = String::new();
        let mut message = Message::default();
        loop {
            line.clear();
            // Guards against a head that was cut in its last line, taken for a whole one.
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
