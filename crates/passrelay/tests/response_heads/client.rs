//! A client that judges every byte that it receives.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::str;

/// A response as a client sees it; the default one stands for a connection that ends without a byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Status code.
    pub status: u16,
    /// Value of the endpoint's seal, if there is one.
    pub seal: Option<String>,
    /// The body as far as it has been received.
    pub body: String,
    /// Whether the body looks complete.
    pub is_complete: bool,
}

/// Sends a request that asks for the connection to be closed, and reads to the end of the connection.
///
/// # Errors
///
/// Returns what is wrong if the client has not received exactly one HTTP response.
pub fn exchange(mut stream: TcpStream, request: &[u8]) -> Result<Received, String> {
    stream.write_all(request).unwrap();
    let mut bytes = Vec::new();
    let is_closed_in_order = stream.read_to_end(&mut bytes).is_ok();
    if bytes.is_empty() {
        return Ok(Received::default());
    }
    judge(&bytes, is_closed_in_order, request.starts_with(b"HEAD "))
        .map_err(|problem| format!("{problem}: {:?}", String::from_utf8_lossy(&bytes)))
}

/// The length of a body as its head tells it.
enum Framing {
    Length(usize),
    Chunked,
    Connection,
}

fn judge(bytes: &[u8], is_closed_in_order: bool, answers_head: bool) -> Result<Received, String> {
    let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n").ok_or("no end of the head")?;
    let (head, body) = (&bytes[..head_end], &bytes[head_end + 4..]);
    let mut lines = head.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let status = judge_status_line(lines.next().unwrap_or_default())?;
    let fields = lines.map(judge_field).collect::<Result<Vec<_>, _>>()?;
    let framing = judge_framing(status, &fields)?;
    let (body, is_complete) = match framing {
        _ if answers_head => (body.to_vec(), body.is_empty()),
        Framing::Length(length) if body.len() > length => return Err("bytes after the body".to_owned()),
        Framing::Length(length) => (body.to_vec(), body.len() == length),
        Framing::Chunked => join_chunks(body)?,
        Framing::Connection => (body.to_vec(), is_closed_in_order),
    };
    let body = String::from_utf8(body).map_err(|_| "the body is not text")?;
    let seal = fields.iter().find(|(name, _)| name == "x-passrelay-response-seal");
    Ok(Received { status, seal: seal.map(|(_, value)| value.clone()), body, is_complete })
}

fn judge_status_line(line: &[u8]) -> Result<u16, String> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").ok_or("no status line")?;
    if rest.len() < 4 || rest[3] != b' ' || rest.iter().any(u8::is_ascii_control) {
        return Err("no status line".to_owned());
    }
    let status = str::from_utf8(&rest[..3]).ok().and_then(|digits| digits.parse().ok());
    status.filter(|status| (200..=599).contains(status)).ok_or_else(|| "no status of a response".to_owned())
}

fn judge_field(line: &[u8]) -> Result<(String, String), String> {
    let colon = line.iter().position(|byte| *byte == b':').ok_or("a line that is no field")?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    if name.is_empty() || !name.iter().all(is_token) {
        return Err("a field name that is no token".to_owned());
    }
    if value.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
        return Err("a control byte in a field".to_owned());
    }
    let name = String::from_utf8_lossy(name).to_ascii_lowercase();
    Ok((name, String::from_utf8_lossy(value).trim().to_owned()))
}

fn judge_framing(status: u16, fields: &[(String, String)]) -> Result<Framing, String> {
    let values = |name| fields.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str());
    let (lengths, codings): (Vec<_>, Vec<_>) =
        (values("content-length").collect(), values("transfer-encoding").collect());
    match (&lengths[..], &codings[..]) {
        _ if status == 204 || status == 304 => Ok(Framing::Length(0)),
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            length.parse().map(Framing::Length).map_err(|_| "a length that cannot be".to_owned())
        }
        ([], ["chunked"]) => Ok(Framing::Chunked),
        ([], []) => Ok(Framing::Connection),
        _ => Err("no clear length".to_owned()),
    }
}

fn join_chunks(mut rest: &[u8]) -> Result<(Vec<u8>, bool), String> {
    let mut body = Vec::new();
    while let Some(line_end) = rest.windows(2).position(|two| two == b"\r\n") {
        let digits = str::from_utf8(&rest[..line_end]).map_err(|_| "a chunk size that is not text")?;
        let size = usize::from_str_radix(digits, 16).map_err(|_| "a chunk size that is no number")?;
        rest = &rest[line_end + 2..];
        if size == 0 {
            return if rest == b"\r\n" { Ok((body, true)) } else { Err("bytes after the body".to_owned()) };
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            return Ok((body, false));
        }
        if &rest[size..size + 2] != b"\r\n" {
            return Err("no line end after a chunk".to_owned());
        }
        rest = &rest[size + 2..];
    }
    Ok((body, false))
}
