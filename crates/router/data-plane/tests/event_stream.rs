//! Ends of events in a stream, for every line end and division into chunks, and the position after which it is resumed.

use passrelay_data_plane::event_stream::{EventBuffer, EventScanner, ResumePosition};
use proptest::prelude::*;
use rstest::rstest;

fn after(id: &str) -> ResumePosition {
    ResumePosition::After(id.to_owned().into())
}

/// Pushes the parts and returns the bytes passed on, and the buffer.
fn push_all(parts: &[&str]) -> (String, EventBuffer) {
    let mut buffer = EventBuffer::default();
    let complete: Vec<u8> = parts.iter().filter_map(|part| buffer.push(part.as_bytes())).flatten().collect();
    (String::from_utf8(complete).unwrap(), buffer)
}

// Guards against review/6: a stream that ends within an event is taken for a complete one.
#[rstest]
#[case::nothing("", false)]
#[case::whole("id: 1\ndata: a\n\n", false)]
#[case::whole_crlf("id: 1\r\ndata: a\r\n\r\n", false)]
#[case::whole_cr("id: 1\rdata: a\r\r", false)]
#[case::whole_lf_then_crlf("data: a\n\r\n", false)]
#[case::whole_cr_then_crlf("data: a\r\r\n", false)]
#[case::whole_crlf_then_cr("data: a\r\n\r", false)]
#[case::whole_crlf_then_lf("data: a\r\n\n", false)]
#[case::whole_then_comment("data: a\n\n: keep-alive\n", false)]
#[case::in_the_id("data: a\n\ni", true)]
#[case::in_the_data("data: a\n\nid: 2\ndat", true)]
#[case::after_a_line("data: a\n\nid: 2\ndata: b\n", true)]
#[case::after_a_line_crlf("id: 2\r\ndata: b\r\n", true)]
#[case::after_a_line_cr("id: 2\rdata: b\r", true)]
#[case::in_a_comment("data: a\n\n: keep-al", true)]
#[case::after_a_comment_within_an_event("data: a\n: keep-alive\n", true)]
fn a_stream_ends_within_an_event_unless_its_last_line_ends_one(#[case] stream: &str, #[case] inside: bool) {
    let mut at_once = EventScanner::default();
    at_once.scan(stream.as_bytes());
    assert_eq!(at_once.is_inside_event(), inside);
    let mut by_byte = EventScanner::default();
    for byte in stream.as_bytes() {
        by_byte.scan(&[*byte]);
    }
    assert_eq!(by_byte.is_inside_event(), inside);
}

#[rstest]
#[case::lf("\n")]
#[case::crlf("\r\n")]
#[case::cr("\r")]
fn only_complete_events_are_passed_on(#[case] line_end: &str) {
    let first = format!("id: 1{line_end}data: a{line_end}{line_end}");
    let second = format!("id: 2{line_end}data: b");
    let (passed_on, mut buffer) = push_all(&[&first, &second]);
    assert_eq!(passed_on, first);
    assert_eq!(buffer.position(), &after("1"));
    assert!(buffer.is_inside_event());
    assert_eq!(buffer.take_remaining().unwrap(), second);
    assert_eq!(buffer.take_remaining(), None);
}

#[test]
fn the_second_half_of_a_line_end_belongs_to_the_event_before_it() {
    let (passed_on, buffer) = push_all(&["id: 1\r\ndata: a\r\n\r", "\n", "id: 2\r\ndata: b\r", "\n\r\n"]);
    assert_eq!(passed_on, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n");
    assert_eq!(buffer.position(), &after("2"));
    assert!(!buffer.is_inside_event());
}

#[test]
fn a_resumed_stream_begins_with_a_new_event() {
    let (_, mut buffer) = push_all(&["id: 1\ndata: a\n\nid: 2\ndata: b\r"]);
    buffer.restart();
    assert!(!buffer.is_inside_event());
    assert_eq!(buffer.position(), &after("1"));
    assert_eq!(buffer.push(b"\nid: 2\ndata: b\n\n").unwrap(), "\nid: 2\ndata: b\n\n");
    assert_eq!(buffer.position(), &after("2"));
}

#[rstest]
#[case::nothing_yet("", ResumePosition::Start)]
#[case::only_the_beginning_of_an_event("id: 1\nda", ResumePosition::Start)]
#[case::comments_and_settings(": hello\n\nretry: 100\n\n", ResumePosition::Start)]
#[case::last_of_several("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", after("2"))]
#[case::id_after_the_data("data: a\nid:7\n\n", after("7"))]
#[case::first_line_is_another_field("versions: 4\nid: 7\ndata: a\n\n", after("7"))]
#[case::comment_after_it("id: 1\ndata: a\n\n: keep-alive\n\n", after("1"))]
#[case::no_id("data: a\n\n", ResumePosition::Unknown)]
#[case::no_id_after_one_with("id: 1\ndata: a\n\ndata: b\n\n", ResumePosition::Unknown)]
#[case::id_after_one_without("data: a\n\nid: 2\ndata: b\n\n", after("2"))]
#[case::id_reset("id: 1\ndata: a\n\nid\ndata: b\n\n", ResumePosition::Unknown)]
#[case::id_with_nul("id: 1\ndata: a\n\nid: \0\ndata: b\n\n", ResumePosition::Unknown)]
#[case::field_that_begins_like_an_id("identity: 3\ndata: a\n\n", ResumePosition::Unknown)]
fn a_stream_is_resumed_only_after_an_event_with_an_id(
    #[case] stream: &str,
    #[case] position: ResumePosition,
) {
    assert_eq!(push_all(&[stream]).1.position(), &position);
}

#[test]
fn text_that_is_not_utf_8_does_not_hide_the_id() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 3\ndata: \xff\n\n");
    assert_eq!(buffer.position(), &after("3"));
}

proptest! {
    #[test]
    fn the_division_into_chunks_changes_nothing(
        pieces in prop::collection::vec(prop::sample::select(vec!["id: 4", "data: x", ":c", "\n", "\r", "\r\n"]), 0..24),
        chunk_length in 1_usize..7,
    ) {
        let stream = pieces.concat();
        let mut whole = EventBuffer::default();
        let at_once = whole.push(stream.as_bytes()).unwrap_or_default();
        let mut chunked = EventBuffer::default();
        let chunks = stream.as_bytes().chunks(chunk_length);
        let in_chunks: Vec<u8> = chunks.filter_map(|chunk| chunked.push(chunk)).flatten().collect();
        prop_assert_eq!(&at_once[..], &in_chunks[..]);
        prop_assert_eq!(whole.position(), chunked.position());
        prop_assert_eq!(whole.is_inside_event(), chunked.is_inside_event());
    }
}
