//! A small HTTP/1.1 client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A response as read from the socket.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that can carry several requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddrV4, timeout: Duration) -> Result<Self, String> {
        let stream =
            TcpStream::connect_timeout(&address.into(), timeout).map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(timeout)).map_err(|error| error.to_string())?;
        stream.set_write_timeout(Some(timeout)).map_err(|error| error.to_string())?;
        let reader = BufReader::new(stream.try_clone().map_err(|error| error.to_string())?);
        Ok(Connection { stream, reader })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(), String> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).map_err(|error| error.to_string())
    }

    pub fn receive(&mut self) -> Result<Response, String> {
        let line = self.line()?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status: u16 = status.ok_or_else(|| format!("not an answer: {line:?}"))?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let mut response = Response { status, headers, body: Vec::new(), complete: true };
        if response.header("transfer-encoding") == Some("chunked") {
            response.complete = self.chunks(&mut response.body).is_ok();
        } else if let Some(length) = response.header("content-length").and_then(|text| text.parse().ok()) {
            let mut body = vec![0; length];
            response.complete = self.reader.read_exact(&mut body).is_ok();
            response.body = body;
        }
        Ok(response)
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = Vec::new();
        let count = self.reader.read_until(b'\n', &mut line).map_err(|error| error.to_string())?;
        if count == 0 || line.last() != Some(&b'\n') {
            return Err("the connection was closed".to_owned());
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Result<(), String> {
        loop {
            let line = self.line()?;
            let length = usize::from_str_radix(&line, 16).map_err(|error| error.to_string())?;
            let mut chunk = vec![0; length];
            self.reader.read_exact(&mut chunk).map_err(|error| error.to_string())?;
            body.extend_from_slice(&chunk);
            self.line()?;
            if length == 0 {
                return Ok(());
            }
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Response, String> {
    let mut connection = Connection::open(address, timeout)?;
    let host = address.to_string();
    let mut all = vec![];
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    connection.send(method, path, &all, body)?;
    connection.receive()
}
