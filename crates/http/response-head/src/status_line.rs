//! The status line (RFC 9112, section 4).

use crate::error::MalformedHead;

/// Length of `HTTP/1.1 200`.
const CODE_END: usize = 12;
/// Versions that are read.
const VERSIONS: [&[u8; 9]; 2] = [b"HTTP/1.0 ", b"HTTP/1.1 "];
/// Status of a response that switches protocols.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Lowest status code.
const MIN_STATUS: u16 = 100;
/// Highest status code (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// A status line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StatusLine {
    pub is_http_1_0: bool,
    pub status: u16,
}

impl StatusLine {
    /// Reads a status line, without its line end. The reason may be missing, with the blank before it.
    pub fn parse(line: &[u8]) -> Result<StatusLine, MalformedHead> {
        let (start, reason) = line.split_at_checked(CODE_END).ok_or(MalformedHead::StatusLine)?;
        let (version, code) = start.split_at(VERSIONS[0].len());
        if !VERSIONS.iter().any(|known| *known == version) || !is_reason(reason) {
            return Err(MalformedHead::StatusLine);
        }
        if !code.iter().all(u8::is_ascii_digit) {
            return Err(MalformedHead::StatusLine);
        }
        let status = code.iter().fold(0, |status, digit| status * 10 + u16::from(digit - b'0'));
        match status {
            SWITCHING_PROTOCOLS => Err(MalformedHead::ProtocolSwitch),
            MIN_STATUS..=MAX_STATUS => Ok(StatusLine { is_http_1_0: version == VERSIONS[0], status }),
            _ => Err(MalformedHead::StatusCode(status)),
        }
    }

    /// Returns whether a line that begins with these bytes may be a status line.
    pub fn may_begin_with(bytes: &[u8]) -> bool {
        VERSIONS.iter().any(|version| {
            let length = bytes.len().min(version.len());
            bytes[..length] == version[..length]
        })
    }
}

/// Returns whether `text` is empty, or a blank and a reason.
fn is_reason(text: &[u8]) -> bool {
    let is_text = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    text.is_empty() || (text[0] == b' ' && text.iter().all(is_text))
}
