use super::*;
use crate::fields;
use rstest::rstest;

const MAX_BYTES: usize = 32 * 1024;

fn read(bytes: &[u8]) -> Result<Option<ResponseHead>, MalformedHead> {
    HeadParser::new(RequestKind::Other, MAX_BYTES).read(bytes)
}

fn framing_of(lines: &str, request: RequestKind) -> Result<BodyFraming, MalformedHead> {
    let text = format!("{lines}\r\n\r\n");
    let head = HeadParser::new(request, MAX_BYTES).read(text.as_bytes())?.expect("the head is complete");
    assert_eq!(head.length, text.len());
    Ok(head.framing)
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 7", Ok(BodyFraming::Length(7)))]
#[case::equal_lengths(
    "HTTP/1.1 200 OK\r\nContent-Length: 7, 07\r\ncontent-length:7",
    Ok(BodyFraming::Length(7))
)]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked", Ok(BodyFraming::Chunked))]
#[case::neither("HTTP/1.0 200 OK", Ok(BodyFraming::Connection))]
#[case::no_content("HTTP/1.1 204", Ok(BodyFraming::None))]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\nContent-Length: 7", Ok(BodyFraming::None))]
#[case::interim("HTTP/1.1 103 Early Hints", Ok(BodyFraming::None))]
#[case::no_length("HTTP/1.1 200 OK\r\nContent-Length: ", Err(MalformedHead::ContentLength))]
#[case::largest("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807", Ok(BodyFraming::Length(u64::MAX >> 1)))]
#[case::too_large(
    "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808",
    Err(MalformedHead::ContentLength)
)]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 8",
    Err(MalformedHead::ContentLength)
)]
#[case::coding("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke", Err(MalformedHead::TransferEncoding))]
#[case::chunks_in_1_0("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", Err(MalformedHead::TransferEncoding))]
#[case::both(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 7",
    Err(MalformedHead::LengthAndCoding)
)]
#[case::body_of_204("HTTP/1.1 204 No Content\r\nContent-Length: 7", Err(MalformedHead::BodyNotAllowed(204)))]
#[case::body_of_100("HTTP/1.1 100 Continue\r\nContent-Length: 7", Err(MalformedHead::BodyNotAllowed(100)))]
#[case::switch("HTTP/1.1 101 Switching Protocols", Err(MalformedHead::ProtocolSwitch))]
#[case::status_000("HTTP/1.1 000 OK", Err(MalformedHead::StatusCode(0)))]
#[case::status_600("HTTP/1.1 600 OK", Err(MalformedHead::StatusCode(600)))]
#[case::four_digits("HTTP/1.1 2000 OK", Err(MalformedHead::StatusLine))]
#[case::no_colon("HTTP/1.1 200 OK\r\nContent-Length 7", Err(MalformedHead::FieldLine))]
#[case::folded("HTTP/1.1 200 OK\r\nX: 1\r\n 2", Err(MalformedHead::FieldLine))]
#[case::blank_in_name("HTTP/1.1 200 OK\r\nX Y: 1", Err(MalformedHead::FieldName))]
#[case::control_byte("HTTP/1.1 200 OK\r\nX: \u{1}", Err(MalformedHead::FieldValue))]
#[case::bare_carriage_return("HTTP/1.1 200 OK\r\nX: 1\r2", Err(MalformedHead::FieldValue))]
fn the_framing_of_a_response_follows_from_its_head(
    #[case] lines: &str,
    #[case] expected: Result<BodyFraming, MalformedHead>,
) {
    assert_eq!(framing_of(lines, RequestKind::Other), expected);
}

#[test]
fn a_response_to_head_has_no_body_whatever_it_declares() {
    for lines in ["Content-Length: 7", "Transfer-Encoding: chunked", "X: 1"] {
        let framing = framing_of(&format!("HTTP/1.1 200 OK\r\n{lines}"), RequestKind::Head);
        assert_eq!(framing, Ok(BodyFraming::None));
    }
}

#[test]
fn a_head_is_complete_with_its_empty_line_however_its_bytes_arrive() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nabcdefg";
    let length = text.len() - 7;
    let mut parser = HeadParser::new(RequestKind::Other, MAX_BYTES);
    for end in 0..length {
        assert_eq!(parser.read(&text[..end]), Ok(None), "{end}");
    }
    let head = parser.read(text).unwrap().unwrap();
    assert_eq!((head.length, head.framing), (length, BodyFraming::Length(7)));
}

#[test]
fn garbage_is_rejected_before_its_first_line_ends() {
    assert_eq!(read(b"HTT"), Ok(None));
    assert_eq!(read(b"HTTP/1.1 20"), Ok(None));
    assert_eq!(read(b"HTTP/2"), Err(MalformedHead::StatusLine));
    assert_eq!(read(b"\x00"), Err(MalformedHead::StatusLine));
}

#[test]
fn a_line_is_rejected_before_the_head_ends() {
    assert_eq!(read(b"HTTP/1.1 200 OK\r\nno field\r\n"), Err(MalformedHead::FieldLine));
}

#[test]
fn line_feeds_alone_end_lines_but_a_stray_one_does_not_end_the_head() {
    let head = read(b"HTTP/1.1 200 OK\nContent-Length: 7\n\n").unwrap().unwrap();
    assert_eq!(head.framing, BodyFraming::Length(7));
    assert!(read(b"HTTP/1.1 200 OK\r\nX: 1\nContent-Length: 7\r\n\r\n").unwrap().is_some());
    assert!(read(b"HTTP/1.1 200 OK\r\nX: 1\n\n").unwrap().is_some());
    let stray = read(b"HTTP/1.1 200 OK\r\nX: 1\r\n\nContent-Length: 7\r\n\r\n");
    assert_eq!(stray, Err(MalformedHead::StrayLineFeed));
}

#[test]
fn heads_are_limited_in_bytes_and_fields() {
    let with_fields = |count| [&b"HTTP/1.1 200 OK\r\n"[..], &b"X: 1\r\n".repeat(count), b"\r\n"].concat();
    assert!(read(&with_fields(MAX_FIELDS)).unwrap().is_some());
    assert_eq!(read(&with_fields(MAX_FIELDS + 1)), Err(MalformedHead::TooLong));
    let start = b"HTTP/1.1 200 OK\r\nX: ";
    let filler = b"y".repeat(MAX_BYTES - start.len() - 4);
    assert!(read(&[&start[..], &filler, b"\r\n\r\n"].concat()).unwrap().is_some());
    assert_eq!(read(&[&start[..], &filler, b"y\r\n\r\n"].concat()), Err(MalformedHead::TooLong));
    assert_eq!(read(&[&start[..], &filler, b"yyyy"].concat()), Err(MalformedHead::TooLong));
}

#[test]
fn the_fields_of_a_head_are_its_names_and_values() {
    let head = b"HTTP/1.1 200 OK\r\nX-A:  1 \r\nX-B:\n\r\n";
    assert_eq!(fields(head).collect::<Vec<_>>(), [("X-A", &b"1"[..]), ("X-B", &b""[..])]);
}

/// Checks that the HTTP library reads a head in the same way, if it is well-formed.
fn assert_read_alike(bytes: &[u8]) {
    if let Ok(Some(head)) = read(bytes) {
        let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut slots);
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(parsed.parse(bytes), Ok(httparse::Status::Complete(head.length)), "{text:?}");
        assert_eq!(parsed.code, Some(head.status), "{text:?}");
        let expected = parsed.headers.iter().map(|header| (header.name, header.value));
        assert_eq!(
            fields(&bytes[..head.length]).collect::<Vec<_>>(),
            expected.collect::<Vec<_>>(),
            "{text:?}"
        );
    }
}

// A head that is held to be well-formed and then read differently would be a way around this crate.
#[test]
fn a_well_formed_head_is_read_alike_by_the_http_library_whichever_byte_is_damaged() {
    let well_formed = b"HTTP/1.1 200 OK\r\nX-Passrelay-Request-Id: r1\r\nContent-Length: 15\r\nX: 1\r\n\r\n";
    for position in 0..well_formed.len() {
        for byte in 0..=u8::MAX {
            let mut replaced = well_formed.to_vec();
            replaced[position] = byte;
            assert_read_alike(&replaced);
            let mut inserted = well_formed.to_vec();
            inserted.insert(position, byte);
            assert_read_alike(&inserted);
        }
        let mut removed = well_formed.to_vec();
        removed.remove(position);
        assert_read_alike(&removed);
    }
}
