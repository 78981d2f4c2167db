//! Responses of endpoints whose head or chunks are malformed, byte by byte, and beside each the well-formed ones that resemble it.
//!
//! The fault (issue 88): a client got a complete response whose body was not the endpoint's, because the head was damaged where
//! it tells the length of the body.

mod bytes;
mod client;
mod commands;
mod router;
mod sidecar;

use passrelay_test_support::Reply;
use std::fmt::Debug;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

/// What an endpoint does with its connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Kept,
    Closed,
}

impl Connection {
    fn reply(self, bytes: &[u8]) -> Reply {
        match self {
            Connection::Kept => Reply::Bytes(bytes.to_vec()),
            Connection::Closed => Reply::BytesThenClose(bytes.to_vec()),
        }
    }
}

/// Fails with all that did not hold.
fn assert_all(results: Vec<Result<(), String>>) {
    let (count, problems) = (results.len(), results.into_iter().filter_map(Result::err).collect::<Vec<_>>());
    assert!(problems.is_empty(), "{} of {count}:\n{}", problems.len(), problems.join("\n"));
}

fn expect<T: PartialEq + Debug>(what: &str, seen: &T, expected: &T) -> Result<(), String> {
    if seen == expected {
        Ok(())
    } else {
        Err(format!("{what}: {seen:?}, not {expected:?}"))
    }
}
