//! Overload of the port for clients by clients that differ in how they send a body.

use super::client::{send_bodies, Framing, Sending};
use super::{request_head, served, Machine, MAX_BODY_BYTES, SMALLEST_MACHINE_MEMORY_MB};
use passrelay_test_support::{Message, Reply};
use std::thread;
use std::time::Duration;

/// Number of overloading clients. Their bodies of the longest legal size are three times the memory of the machine.
const CLIENTS: usize = 60;
/// Bytes that a client sends of a body that is far over the limit.
const OVERLONG_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Declared length of a body that is far over the limit.
const OVERLONG_LENGTH: usize = 1 << 30;
/// Bytes in one write of a client that does not send piece by piece.
const LARGE_WRITE_BYTES: usize = 256 << 10;
/// Bytes in one write of a client that sends piece by piece.
const SMALL_WRITE_BYTES: usize = 64 << 10;
/// Time between two pieces.
const SMALL_WRITE_PAUSE: Duration = Duration::from_millis(10);
/// Bytes of a chunk where many small ones are sent in one write.
const SMALL_CHUNK_BYTES: usize = 16;
/// Chunks of one byte that a client sends. Each may arrive alone, and so hold a buffer of its own.
const SMALL_CHUNKS: usize = 600;
/// Time between two chunks of one byte, so that the process reads them one by one.
const SMALL_CHUNK_PAUSE: Duration = Duration::from_millis(2);
/// Time that the endpoint takes for their requests.
const OVERLOAD_SERVICE_TIME: Duration = Duration::from_secs(1);

const DECLARED: Sending = Sending {
    framing: Framing::Declared(MAX_BODY_BYTES),
    body_bytes: MAX_BODY_BYTES,
    write_bytes: LARGE_WRITE_BYTES,
    pause: Duration::ZERO,
    stops_short: true,
};

fn served_slowly(message: &Message) -> Reply {
    if message.start_line.contains("/open/overload") {
        thread::sleep(OVERLOAD_SERVICE_TIME);
    }
    served(message)
}

fn check_overload(name: &str, sending: Sending) {
    let mut machine = Machine::start(served_slowly);
    let head = request_head("/open/overload", &sending.header_lines());
    let clients = send_bodies(machine.sidecar.front_address(), CLIENTS, |_| head.clone(), sending);
    machine.check(name);
    drop(clients);
}

#[test]
fn complete_bodies_of_legal_size_at_once() {
    check_overload("whole bodies", Sending { stops_short: false, ..DECLARED });
}

#[test]
fn bodies_that_stop_just_short_of_their_end() {
    check_overload("bodies that stop short", DECLARED);
}

#[test]
fn bodies_in_small_writes_that_stop_just_short_of_their_end() {
    let small_writes = Sending { write_bytes: SMALL_WRITE_BYTES, pause: SMALL_WRITE_PAUSE, ..DECLARED };
    check_overload("bodies piece by piece that stop short", small_writes);
}

#[test]
fn large_chunks_that_stop_just_short_of_the_end() {
    let chunked = Sending { framing: Framing::Chunked(LARGE_WRITE_BYTES), ..DECLARED };
    check_overload("large chunks that stop short", chunked);
}

#[test]
fn small_chunks_that_stop_just_short_of_the_end() {
    let chunked = Sending { framing: Framing::Chunked(SMALL_CHUNK_BYTES), ..DECLARED };
    check_overload("many small chunks in one write that stop short", chunked);
}

#[test]
fn small_chunks_one_by_one_that_stop_just_short_of_the_end() {
    let chunked = Sending {
        framing: Framing::Chunked(1),
        body_bytes: SMALL_CHUNKS,
        write_bytes: 1,
        pause: SMALL_CHUNK_PAUSE,
        stops_short: true,
    };
    check_overload("small chunks one by one that stop short", chunked);
}

#[test]
fn bodies_over_the_limit_that_are_announced() {
    let announced =
        Sending { framing: Framing::Declared(OVERLONG_LENGTH), body_bytes: OVERLONG_BYTES, ..DECLARED };
    check_overload("announced bodies over the limit", announced);
}

#[test]
fn bodies_over_the_limit_that_are_just_sent() {
    let sent =
        Sending { framing: Framing::Chunked(LARGE_WRITE_BYTES), body_bytes: OVERLONG_BYTES, ..DECLARED };
    check_overload("bodies over the limit that are just sent", sent);
}

#[test]
fn a_single_body_of_the_longest_legal_size_is_served() {
    let mut machine = Machine::start_with_memory(SMALLEST_MACHINE_MEMORY_MB, served);
    let framing = format!("Connection: close\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n");
    let mut request = request_head("/open/large", &framing).into_bytes();
    request.resize(request.len() + MAX_BODY_BYTES, b'b');
    let answer = machine.sidecar.exchange(&request);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    machine.check("a single body");
}
