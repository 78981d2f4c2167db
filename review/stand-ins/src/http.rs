//! HTTP/1.1, as much as clients and endpoints need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer, and a request's body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn read_head(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            match line.trim_end() {
                "" if message.start_line.is_empty() => {}
                "" => return Some(message),
                text if message.start_line.is_empty() => message.start_line = text.to_owned(),
                text => {
                    let (name, value) = text.split_once(':')?;
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }

    /// Reads a whole request with a body of known length.
    pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(reader)?;
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer came to its end as its framing says.
    pub complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one answer. `None` if not even a whole head came.
pub fn read_answer(stream: &TcpStream) -> Option<Answer> {
    let mut reader = BufReader::new(stream);
    let head = Message::read_head(&mut reader)?;
    let status = head.start_line.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer { status, ..Answer::default() };
    let is_chunked =
        head.header("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok().filter(|length| *length > 0).is_none() {
                return Some(answer);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Some(answer) };
            let mut chunk = vec![0; length + 2];
            let mut read = 0;
            while read < chunk.len() {
                match reader.read(&mut chunk[read..]) {
                    Ok(0) | Err(_) => {
                        answer.body.extend_from_slice(&chunk[..read.min(length)]);
                        return Some(answer);
                    }
                    Ok(more) => read += more,
                }
            }
            answer.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                answer.complete = true;
                return Some(answer);
            }
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut limited = reader.take(length as u64);
            let _ = limited.read_to_end(&mut answer.body);
            answer.complete = answer.body.len() == length;
        }
        None => answer.complete = reader.read_to_end(&mut answer.body).is_ok(),
    }
    Some(answer)
}

/// Sends bytes on a new connection and reads the answer. `None` if there is no head of one.
pub fn exchange(to: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    read_answer(&stream)
}

/// Calls one of the system's own interfaces.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(to, head.as_bytes(), timeout).filter(|answer| answer.complete)
}
