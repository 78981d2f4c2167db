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

fn stream(text: &str, piece: usize) -> (ResponseValidator, ValidatedStream<InPieces>) {
    let validator = ResponseValidator::default();
    let stream = validator.validate(InPieces { bytes: Cursor::new(text.as_bytes().to_vec()), piece });
    (validator, stream)
}

fn read_all(stream: &mut ValidatedStream<InPieces>) -> io::Result<String> {
    let mut bytes = Vec::new();
    smol::block_on(stream.read_to_end(&mut bytes))?;
    Ok(String::from_utf8(bytes).unwrap())
}

const WELL_FORMED: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbay";

#[test]
fn a_well_formed_response_passes_unchanged_however_its_bytes_arrive() {
    for piece in 1..=WELL_FORMED.len() {
        let (validator, mut stream) = stream(WELL_FORMED, piece);
        validator.expect_response(RequestKind::Other);
        assert_eq!(read_all(&mut stream).unwrap(), WELL_FORMED, "{piece}");
        assert!(validator.has_passed_head() && validator.fault().is_none());
    }
}

#[test]
fn no_byte_of_a_malformed_response_passes_and_reading_fails_from_then_on() {
    for piece in 1..=WELL_FORMED.len() {
        let text = WELL_FORMED.replace("Content-Length: 3", "Content-Length: 3x");
        let (validator, mut stream) = stream(&text, piece);
        validator.expect_response(RequestKind::Other);
        let mut buffer = [0; 1024];
        for _ in 0..2 {
            let read = smol::block_on(stream.read(&mut buffer));
            assert_eq!(read.unwrap_err().kind(), io::ErrorKind::InvalidData, "{piece}");
        }
        assert_eq!(validator.fault(), Some(MalformedHead::ContentLength));
        validator.expect_response(RequestKind::Other);
        assert!(!validator.has_passed_head());
    }
}

#[test]
fn a_head_that_is_cut_off_does_not_pass() {
    let (validator, mut stream) = stream("HTTP/1.1 200 OK\r\nContent-Le", 7);
    validator.expect_response(RequestKind::Other);
    assert_eq!(read_all(&mut stream).unwrap(), "");
    assert!(!validator.has_passed_head() && validator.fault().is_none());
}

#[test]
fn bytes_that_belong_to_no_response_pass_for_the_library_to_notice() {
    let (validator, mut stream) = stream("stray", 7);
    assert_eq!(read_all(&mut stream).unwrap(), "stray");
    assert!(validator.fault().is_none());
}

#[test]
fn bytes_that_are_left_over_are_not_taken_for_the_next_response() {
    let (validator, mut stream) = stream(&format!("{WELL_FORMED}{WELL_FORMED}"), 60);
    validator.expect_response(RequestKind::Other);
    let mut buffer = [0; 10];
    assert_eq!(smol::block_on(stream.read(&mut buffer)).unwrap(), 10);
    validator.expect_response(RequestKind::Other);
    assert!(validator.fault().is_some());
}

#[test]
fn endless_interim_responses_are_malformed() {
    let text = "HTTP/1.1 100 Continue\r\n\r\n".repeat(2 * MAX_RESPONSE_HEAD_BYTES / 25);
    let (validator, mut stream) = stream(&text, 4096);
    validator.expect_response(RequestKind::Other);
    assert!(read_all(&mut stream).is_err());
    assert_eq!(validator.fault(), Some(MalformedHead::TooLong));
}
