//! Decides whether the head of an HTTP/1 response is well-formed, and how its body ends (RFC 9112).
//!
//! HTTP libraries accept some heads that no correct server sends: they take a transfer coding that they don't know for a body that
//! ends with its connection, prefer one of two declared lengths, or pass an invalid status on. Whoever relays such a response may
//! pass on a body that is not the server's. Every part of this system that reads responses therefore asks this crate first, and
//! uses nothing of a response whose head is malformed.
//!
//! The crate does no I/O: it is given the bytes received so far.

mod error;
mod field;
mod framing;
mod parser;
mod status_line;

pub use error::MalformedHead;
pub use field::{check_field_line, fields};
pub use framing::BodyFraming;
pub use parser::{HeadParser, RequestKind, ResponseHead, MAX_FIELDS};
