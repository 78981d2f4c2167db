//! Every way in which the response of an endpoint may end, and what its client sees of it.
//!
//! The fault (review/6): a stream without a length whose endpoint crashed within an event was passed on as complete, although
//! another endpoint could have resumed it.

use super::{configuration, in_service, request, single_sidecar, status, PROGRAM, RETRY_BUDGET_SETTING};
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{Message, Reply, Server};
use rstest::rstest;
use std::io::{Read, Write};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Path of the route whose streams may be resumed, once.
const RESUMABLE: &str = "/ask/1";
/// Path of the route whose streams may not be resumed.
const NOT_RESUMABLE: &str = "/sum/1";
/// Events of a complete stream.
const EVENTS: u32 = 5;
/// The event that an interrupted stream ends in.
const TRUNCATED_EVENT: u32 = 3;

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength,
    Chunked,
    /// The body ends with the connection.
    Connection,
}

/// How the connection of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Complete,
    /// Closed within an event.
    Truncated,
    /// Reset within an event.
    Reset,
}

fn event(id: u32, line_end: &str) -> String {
    format!("id: {id}{line_end}data: piece {id}{line_end}{line_end}")
}

fn stream_text(ids: Range<u32>, line_end: &str) -> String {
    ids.map(|id| event(id, line_end)).collect()
}

/// Returns the complete events before the one that an interrupted stream ends in, and the beginning of that one.
fn interrupted_text(line_end: &str) -> (String, String) {
    let last = event(TRUNCATED_EVENT, line_end);
    (stream_text(0..TRUNCATED_EVENT, line_end), last[..last.len() - line_end.len() - 2].to_owned())
}

/// Returns a response of this media type with these parts. With an ending other than [`Ending::Complete`], more would follow.
fn respond(media_type: &str, framing: Framing, ending: Ending, parts: &[&str]) -> Reply {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nX-Passrelay-Request-Id: r1\r\nX-Passrelay-Response-Seal: s1\r\nContent-Type: {media_type}\r\n"
    );
    let missing = if ending == Ending::Complete { 0 } else { 40 };
    let length = parts.iter().map(|part| part.len()).sum::<usize>() + missing;
    text += &match framing {
        Framing::ContentLength => format!("Content-Length: {length}\r\n\r\n"),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
        Framing::Connection => "Connection: close\r\n\r\n".to_owned(),
    };
    for part in parts {
        text += &match framing {
            Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
            Framing::ContentLength | Framing::Connection => (*part).to_owned(),
        };
    }
    if framing == Framing::Chunked && ending == Ending::Complete {
        text += "0\r\n\r\n";
    }
    match ending {
        Ending::Complete | Ending::Truncated => Reply::BytesThenClose(text.into_bytes()),
        Ending::Reset => Reply::BytesThenReset(text.into_bytes()),
    }
}

/// An endpoint whose streams end in this way, unless it resumes one.
fn endpoint(framing: Framing, ending: Ending, line_end: &'static str) -> Server {
    Server::start(move |message| {
        if let Some(id) = message.header("last-event-id") {
            let next = id.parse::<u32>().unwrap() + 1;
            let rest = stream_text(next..EVENTS, line_end);
            return respond("text/event-stream", framing, Ending::Complete, &[&rest]);
        }
        if ending == Ending::Complete {
            let all = stream_text(0..EVENTS, line_end);
            return respond("text/event-stream", framing, ending, &[&all]);
        }
        let (complete, partial) = interrupted_text(line_end);
        respond("text/event-stream", framing, ending, &[&complete, &partial])
    })
}

/// What a client has received: the body, and whether its end looked complete.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    body: String,
    is_complete: bool,
}

/// Reads the body of a response to a client of HTTP/1.1.
fn received(answer: &str) -> Received {
    let (head, mut rest) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let head = head.to_lowercase();
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        return Received { body: rest.to_owned(), is_complete: length.parse() == Ok(rest.len()) };
    }
    assert!(head.contains("transfer-encoding: chunked"), "{answer}");
    let mut body = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or_else(|_| panic!("no length: {answer}"));
        if length == 0 {
            return Received { body, is_complete: true };
        }
        body += &after[..length];
        rest = &after[length + 2..];
    }
    Received { body, is_complete: false }
}

fn runs(endpoints: &[&Server]) -> Vec<Message> {
    endpoints.iter().flat_map(|endpoint| endpoint.requests()).collect()
}

fn interruptions(sidecar: &Sidecar, kind: &str) -> u64 {
    sidecar.status()["interrupted_responses"][kind].as_u64().unwrap()
}

// Guards against review/6: a stream that ends within an event is passed on as complete.
#[rstest]
fn a_stream_is_complete_resumed_or_seen_to_be_truncated(
    #[values(Framing::ContentLength, Framing::Chunked, Framing::Connection)] framing: Framing,
    #[values(Ending::Complete, Ending::Truncated, Ending::Reset)] ending: Ending,
    #[values(RESUMABLE, NOT_RESUMABLE)] path: &str,
    #[values("\n", "\r\n", "\r")] line_end: &'static str,
) {
    let (one, other) = (endpoint(framing, ending, line_end), endpoint(framing, ending, line_end));
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = sidecar.exchange(&request(path, "", ""));
    assert_eq!(status(&answer), 200, "{answer}");
    let Received { body, is_complete } = received(&answer);
    let can_resume = path == RESUMABLE && framing != Framing::ContentLength;
    if ending == Ending::Complete || can_resume {
        assert_eq!((body, is_complete), (stream_text(0..EVENTS, line_end), true));
    } else {
        assert!(!is_complete, "{answer}");
        let (complete, partial) = interrupted_text(line_end);
        assert!((complete + &partial).starts_with(&body), "{answer}");
    }
    let interrupted = u64::from(ending != Ending::Complete);
    let resumed = interrupted * u64::from(can_resume);
    assert_eq!(runs(&[&one, &other]).len() as u64, 1 + resumed);
    let inside_event = u64::from(framing == Framing::Connection && ending == Ending::Truncated);
    assert_eq!(interruptions(&sidecar, "ended_inside_event"), inside_event);
    assert_eq!(interruptions(&sidecar, "connection_broken"), interrupted - inside_event);
    assert_eq!(interruptions(&sidecar, "resumed"), resumed);
    assert_eq!(interruptions(&sidecar, "aborted"), interrupted - resumed);
}

#[rstest]
fn a_stream_whose_attempts_are_exhausted_is_seen_to_be_truncated(
    #[values(Framing::Chunked, Framing::Connection)] framing: Framing,
    #[values(Ending::Truncated, Ending::Reset)] ending: Ending,
) {
    // The resumed stream breaks off as well, one event later.
    let endpoint = || {
        Server::start(move |message| {
            let (complete, partial) = match message.header("last-event-id") {
                Some(_) => (event(TRUNCATED_EVENT, "\n"), "id: 4\nda".to_owned()),
                None => interrupted_text("\n"),
            };
            respond("text/event-stream", framing, ending, &[&complete, &partial])
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = received(&sidecar.exchange(&request(RESUMABLE, "", "")));
    assert_eq!(answer, Received { body: stream_text(0..TRUNCATED_EVENT + 1, "\n"), is_complete: false });
    assert_eq!(runs(&[&one, &other]).len(), 2);
}

// An endpoint that gives a length or a last chunk has itself declared the body complete.
#[rstest]
fn a_declared_end_within_an_event_is_passed_on_as_it_is(
    #[values(Framing::ContentLength, Framing::Chunked)] framing: Framing,
    #[values(RESUMABLE, NOT_RESUMABLE)] path: &str,
) {
    let text = "id: 0\ndata: piece 0\n\nid: 1\ndata: [DONE]\n";
    let endpoint = Server::start(move |_| respond("text/event-stream", framing, Ending::Complete, &[text]));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let answer = received(&sidecar.exchange(&request(path, "", "")));
    assert_eq!(answer, Received { body: text.to_owned(), is_complete: true });
}

// MIXED: a body without a length that ends with its connection may be whole.
#[rstest]
#[case::text("text/plain", "id: 0\ndata: half of")]
#[case::json("application/json", "{\"bay\":7}")]
#[case::encoded_events("text/event-stream\r\nContent-Encoding: gzip", "no line end, being encoded")]
#[case::whole_events("Text/Event-Stream; charset=utf-8", "id: 0\ndata: a\n\n: end\n")]
#[case::no_events("text/event-stream", "")]
fn other_bodies_without_a_length_are_complete_at_the_end_of_their_connection(
    #[case] media_type: &'static str,
    #[case] text: &'static str,
    #[values(RESUMABLE, NOT_RESUMABLE, "/open/1")] path: &str,
) {
    let endpoint =
        Server::start(move |_| respond(media_type, Framing::Connection, Ending::Complete, &[text]));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let answer = received(&sidecar.exchange(&request(path, "", "")));
    assert_eq!(answer, Received { body: text.to_owned(), is_complete: true });
    assert_eq!(interruptions(&sidecar, "ended_inside_event"), 0);
}

// A stream that goes on at an unknown event would contain pieces twice.
#[rstest]
#[case::no_id_at_all("data: a\n\ndata: b\n\n")]
#[case::no_id_after_one_with("id: 0\ndata: a\n\ndata: b\n\n")]
#[case::id_that_no_header_can_contain("id: \u{1}\ndata: a\n\n")]
fn a_stream_whose_position_is_unknown_is_not_resumed(
    #[case] complete: &'static str,
    #[values(Framing::Chunked, Framing::Connection)] framing: Framing,
) {
    let endpoint = || {
        Server::start(move |_| {
            respond("text/event-stream", framing, Ending::Truncated, &[complete, "id: 9\nda"])
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = received(&sidecar.exchange(&request(RESUMABLE, "", "")));
    assert_eq!(answer, Received { body: complete.to_owned(), is_complete: false });
    assert_eq!(runs(&[&one, &other]).len(), 1);
}

#[test]
fn a_stream_is_resumed_after_an_event_whose_text_is_not_ascii() {
    let stream =
        |ids: Range<u32>| -> String { ids.map(|id| format!("id: bahía-{id}\ndata: ñ\n\n")).collect() };
    let endpoint = || {
        Server::start(move |message| match message.header("last-event-id") {
            Some("bahía-1") => {
                respond("text/event-stream", Framing::Chunked, Ending::Complete, &[&stream(2..4)])
            }
            Some(_) => response_of_another_kind(),
            None => {
                respond("text/event-stream", Framing::Chunked, Ending::Truncated, &[&stream(0..2), "id: bah"])
            }
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = received(&sidecar.exchange(&request(RESUMABLE, "", "")));
    assert_eq!(answer, Received { body: stream(0..4), is_complete: true });
}

#[test]
fn a_stream_that_its_client_resumes_begins_anew_after_the_same_event() {
    let is_first = Arc::new(AtomicBool::new(true));
    let endpoint = || {
        let is_first = is_first.clone();
        Server::start(move |_| {
            if is_first.swap(false, Ordering::SeqCst) {
                respond("text/event-stream", Framing::Connection, Ending::Truncated, &["id: 2\nda"])
            } else {
                let rest = stream_text(2..EVENTS, "\n");
                respond("text/event-stream", Framing::Connection, Ending::Complete, &[&rest])
            }
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = received(&sidecar.exchange(&request(RESUMABLE, "Last-Event-Id: 1\r\n", "")));
    assert_eq!(answer, Received { body: stream_text(2..EVENTS, "\n"), is_complete: true });
    let runs = runs(&[&one, &other]);
    let positions: Vec<_> = runs.iter().map(|run| run.header("last-event-id")).collect();
    assert_eq!(positions, [Some("1"), Some("1")]);
}

fn response_of_another_kind() -> Reply {
    respond("text/plain", Framing::Chunked, Ending::Complete, &["not a part of the stream"])
}

#[test]
fn a_stream_is_not_continued_with_a_body_of_another_kind() {
    let endpoint = || {
        Server::start(move |message| match message.header("last-event-id") {
            Some(_) => response_of_another_kind(),
            None => {
                let (complete, partial) = interrupted_text("\n");
                respond("text/event-stream", Framing::Chunked, Ending::Truncated, &[&complete, &partial])
            }
        })
    };
    let (one, other) = (endpoint(), endpoint());
    let (_fleet, sidecar) = single_sidecar(&[&one, &other]);
    let answer = received(&sidecar.exchange(&request(RESUMABLE, "", "")));
    assert_eq!(answer, Received { body: stream_text(0..TRUNCATED_EVENT, "\n"), is_complete: false });
}

fn http_1_0_request(path: &str) -> Vec<u8> {
    String::from_utf8(request(path, "", "")).unwrap().replace("HTTP/1.1", "HTTP/1.0").into_bytes()
}

// The response to a client of HTTP/1.0 ends with its connection as well, so that only a reset tells that it is truncated.
#[rstest]
fn a_truncated_response_to_a_client_of_http_1_0_ends_with_a_reset(
    #[values(Framing::Chunked, Framing::Connection)] framing: Framing,
    #[values(Ending::Complete, Ending::Truncated, Ending::Reset)] ending: Ending,
) {
    let endpoint = endpoint(framing, ending, "\n");
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&http_1_0_request(NOT_RESUMABLE)).unwrap();
    let mut bytes = Vec::new();
    let end = client.read_to_end(&mut bytes);
    assert_eq!(end.is_ok(), ending == Ending::Complete, "{}", String::from_utf8_lossy(&bytes));
}

#[test]
fn a_response_to_a_client_of_http_1_0_ends_with_a_reset_if_the_process_is_killed() {
    let endpoint = Server::start(|_| {
        let text = event(0, "\n");
        match respond("text/event-stream", Framing::Connection, Ending::Truncated, &[&text]) {
            Reply::BytesThenClose(bytes) => Reply::Bytes(bytes),
            other => other,
        }
    });
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&http_1_0_request(NOT_RESUMABLE)).unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\n\n") {
        let mut byte = [0];
        assert_eq!(client.read(&mut byte).unwrap(), 1);
        bytes.push(byte[0]);
    }
    sidecar.signal("KILL");
    assert!(client.read_to_end(&mut bytes).is_err());
}

// A failure of the router's own has a length, which the HTTP library adds.
#[test]
fn a_failure_for_a_client_of_http_1_0_is_complete() {
    let endpoint = Server::start(|_| respond("text/plain", Framing::Chunked, Ending::Complete, &[]));
    let (_fleet, sidecar) = single_sidecar(&[&endpoint]);
    let mut client = sidecar.client();
    client.write_all(&http_1_0_request("/none/1")).unwrap();
    let mut bytes = Vec::new();
    assert!(client.read_to_end(&mut bytes).is_ok());
    assert_eq!(status(&String::from_utf8_lossy(&bytes)), 404);
}

#[test]
fn an_endpoint_whose_streams_end_within_an_event_is_ejected_like_one_whose_connections_break() {
    for ending in [Ending::Truncated, Ending::Reset] {
        let bad = endpoint(Framing::Connection, ending, "\n");
        let good = endpoint(Framing::Connection, Ending::Complete, "\n");
        let mut fleet = Fleet::new(PROGRAM, 1);
        fleet.more_settings.push(RETRY_BUDGET_SETTING.to_owned());
        let (_fleet, sidecar) = in_service(fleet, &[bad.address, good.address], &configuration(3));
        for _ in 0..40 {
            let answer = received(&sidecar.exchange(&request(RESUMABLE, "", "")));
            assert!(answer.is_complete, "{answer:?}");
        }
        let truncated = bad.requests().len();
        assert!(truncated <= 10, "{ending:?}: {truncated} of 40 requests went to the truncating endpoint");
    }
}
