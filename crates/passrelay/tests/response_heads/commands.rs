//! The operators' commands: what they make of malformed answers, and of the well-formed ones that resemble them.

use super::bytes::{malformed_chunks, malformed_heads, well_formed_with, Case, BODY};
use super::{assert_all, expect, Connection, PROGRAM};
use passrelay_test_support::Server;
use rstest::rstest;
use std::process::Command;

/// Exit code of a command without a clear answer: the order may have been taken.
const UNCLEAR: i32 = 4;

/// Runs a command against a stand-in that answers with these bytes. Returns its exit code and what it prints.
fn run(words: &[&str], response: &[u8], connection: Connection) -> (Option<i32>, String) {
    let response = response.to_vec();
    let server = Server::start(move |_| connection.reply(&response));
    let done =
        Command::new(PROGRAM).args(words).args(["--at", &server.address.to_string()]).output().unwrap();
    (done.status.code(), String::from_utf8_lossy(&done.stdout).into_owned())
}

#[rstest]
fn a_malformed_answer_is_no_clear_answer(
    #[values(&["config", "get"], &["status"], &["rollout", "status", "bays"])] words: &[&str],
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let check = |(name, response): &Case| {
        expect(name, &run(words, response, connection), &(Some(UNCLEAR), String::new()))
    };
    assert_all(malformed_heads().iter().map(check).collect());
}

#[rstest]
fn an_answer_with_malformed_chunks_is_not_printed(
    #[values(Connection::Kept, Connection::Closed)] connection: Connection,
) {
    let check = |(name, response): &Case| {
        let (code, text) = run(&["config", "get"], response, connection);
        expect(name, &(code == Some(0), text), &(false, String::new()))
    };
    assert_all(malformed_chunks().iter().map(check).collect());
}

#[rstest]
fn a_well_formed_answer_is_printed(#[values(Connection::Kept, Connection::Closed)] connection: Connection) {
    let check = |(name, response): &Case| {
        expect(name, &run(&["config", "get"], response, connection), &(Some(0), format!("{BODY}\n")))
    };
    assert_all(well_formed_with(connection).iter().map(check).collect());
}
