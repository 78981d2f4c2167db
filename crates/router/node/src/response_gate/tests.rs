use super::*;
use smol::io::{AsyncReadExt, Cursor};

/// A stream that brings its bytes in pieces of one size.
struct InPieces {
    bytes: Cursor<Vec<u8>>,
    piece: usize,
}

impl AsyncRead for InPieces {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = buffer.len().min(self.piece);
        Pin::new(&mut self.bytes).poll_read(context, &mut buffer[..length])
    }
}

fn stream(text: &str, piece: usize) -> (ResponseGate, GuardedStream<InPieces>) {
    let gate = ResponseGate::default();
    let stream = gate.guard(InPieces { bytes: Cursor::new(text.as_bytes().to_vec()), piece });
    (gate, stream)
}

fn read_all(stream: &mut GuardedStream<InPieces>) -> io::Result<String> {
    let mut bytes = Vec::new();
    smol::block_on(stream.read_to_end(&mut bytes))?;
    Ok(String::from_utf8(bytes).unwrap())
}

const SOUND: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbay";

#[test]
fn a_sound_response_passes_unchanged_however_its_bytes_arrive() {
    for piece in 1..=SOUND.len() {
        let (gate, mut stream) = stream(SOUND, piece);
        gate.expect_response(RequestKind::Other);
        assert_eq!(read_all(&mut stream).unwrap(), SOUND, "{piece}");
        assert!(gate.has_passed_head() && gate.fault().is_none());
    }
}

#[test]
fn no_byte_of_an_unsound_response_passes_and_reading_fails_from_then_on() {
    for piece in 1..=SOUND.len() {
        let text = SOUND.replace("Content-Length: 3", "Content-Length: 3x");
        let (gate, mut stream) = stream(&text, piece);
        gate.expect_response(RequestKind::Other);
        let mut buffer = [0; 1024];
        for _ in 0..2 {
            let read = smol::block_on(stream.read(&mut buffer));
            assert_eq!(read.unwrap_err().kind(), io::ErrorKind::InvalidData, "{piece}");
        }
        assert_eq!(gate.fault(), Some(UnsoundHead::ContentLength));
        gate.expect_response(RequestKind::Other);
        assert!(!gate.has_passed_head());
    }
}

#[test]
fn a_head_that_is_cut_off_does_not_pass() {
    let (gate, mut stream) = stream("HTTP/1.1 200 OK\r\nContent-Le", 7);
    gate.expect_response(RequestKind::Other);
    assert_eq!(read_all(&mut stream).unwrap(), "");
    assert!(!gate.has_passed_head() && gate.fault().is_none());
}

#[test]
fn bytes_that_belong_to_no_response_pass_for_the_library_to_notice() {
    let (gate, mut stream) = stream("stray", 7);
    assert_eq!(read_all(&mut stream).unwrap(), "stray");
    assert!(gate.fault().is_none());
}

#[test]
fn bytes_that_are_left_over_are_not_taken_for_the_next_response() {
    let (gate, mut stream) = stream(&format!("{SOUND}{SOUND}"), 60);
    gate.expect_response(RequestKind::Other);
    let mut buffer = [0; 10];
    assert_eq!(smol::block_on(stream.read(&mut buffer)).unwrap(), 10);
    gate.expect_response(RequestKind::Other);
    assert!(gate.fault().is_some());
}

#[test]
fn endless_interim_responses_are_unsound() {
    let text = "HTTP/1.1 100 Continue\r\n\r\n".repeat(2 * MAX_RESPONSE_HEAD_BYTES / 25);
    let (gate, mut stream) = stream(&text, 4096);
    gate.expect_response(RequestKind::Other);
    assert!(read_all(&mut stream).is_err());
    assert_eq!(gate.fault(), Some(UnsoundHead::TooLong));
}
