//! The bytes of responses, well-formed or damaged in one place.

use super::Connection;

/// Body of each response: one event of a stream.
pub const BODY: &str = "id: 1\ndata: b\n\n";
/// A head that announces a response.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The status line of most responses.
const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
/// Fields that each response of an endpoint has.
const FIELDS: &[u8] =
    b"X-Passrelay-Request-Id: r1\r\nX-Passrelay-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n";
/// The field that tells the length of [`BODY`].
const LENGTH: &[u8] = b"Content-Length: 15\r\n";
/// Fields that promise that the request did not run, in a head whose coding is misspelt.
const PROMISE: &[u8] = b"X-Passrelay-Not-Executed: full\r\nX-Rejected: 1\r\nTransfer-Encoding: chunke\r\n";
/// [`BODY`] in one chunk.
const CHUNKS: &str = "f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n";

/// A response with these lines in place of those that tell the length, and [`BODY`] as it is.
pub fn fields(lines: &[u8]) -> Vec<u8> {
    [STATUS_LINE, FIELDS, lines, b"\r\n", BODY.as_bytes()].concat()
}

/// A response with this line, with its line end, before a length.
pub fn line(line: &[u8]) -> Vec<u8> {
    [STATUS_LINE, FIELDS, line, LENGTH, b"\r\n", BODY.as_bytes()].concat()
}

/// A response with these lines in place of those that tell the length, and [`BODY`] in a chunk.
pub fn coded(lines: &[u8]) -> Vec<u8> {
    [STATUS_LINE, FIELDS, lines, b"\r\n", CHUNKS.as_bytes()].concat()
}

/// A response with these chunks.
pub fn chunks(chunks: &[u8]) -> Vec<u8> {
    [STATUS_LINE, FIELDS, b"Transfer-Encoding: chunked\r\n\r\n", chunks].concat()
}

/// A response with this status line, with its line end, and [`BODY`] with its length.
pub fn status_line(line: &[u8]) -> Vec<u8> {
    [line, FIELDS, LENGTH, b"\r\n", BODY.as_bytes()].concat()
}

/// A response with this status line, these lines and this body.
pub fn response(status_line: &[u8], lines: &[u8], body: &[u8]) -> Vec<u8> {
    [status_line, FIELDS, lines, b"\r\n", body].concat()
}

/// A response after a head that announces it.
pub fn after_interim(interim: &[u8]) -> Vec<u8> {
    [interim, &fields(LENGTH)].concat()
}

/// The well-formed response whose lines all end with a line feed alone.
pub fn with_line_feeds() -> Vec<u8> {
    let text = String::from_utf8(fields(LENGTH)).unwrap();
    text.replace("\r\n", "\n").into_bytes()
}

/// A response with `count` fields beside the usual ones.
pub fn many_fields(count: usize) -> Vec<u8> {
    line(&b"X-Bay: 7\r\n".repeat(count))
}

/// A response with a field of `length` bytes.
pub fn long_field(length: usize) -> Vec<u8> {
    line(&[b"X-Bay: ", &b"7".repeat(length)[..], b"\r\n"].concat())
}

/// A response and what it is.
pub type Case = (&'static str, Vec<u8>);

/// Responses whose head is malformed: no byte of them may reach a client.
pub fn malformed_heads() -> Vec<Case> {
    [malformed_lengths(), malformed_codings(), malformed_statuses(), malformed_lines(), malformed_names()]
        .concat()
}

fn malformed_lengths() -> Vec<Case> {
    vec![
        ("length with a letter", fields(b"Content-Length: 1x5\r\n")),
        ("length after a plus", fields(b"Content-Length: +15\r\n")),
        ("negative length", fields(b"Content-Length: -15\r\n")),
        ("empty length", fields(b"Content-Length:\r\n")),
        ("blank in the length", fields(b"Content-Length: 1 5\r\n")),
        ("hexadecimal length", fields(b"Content-Length: 0xf\r\n")),
        ("fraction as length", fields(b"Content-Length: 15.0\r\n")),
        ("length of 23 digits", fields(b"Content-Length: 99999999999999999999999\r\n")),
        ("length that is no text", fields(b"Content-Length: 1\xb5\r\n")),
        ("two lengths", fields(b"Content-Length: 15\r\nContent-Length: 6\r\n")),
        ("two lengths, the other order", fields(b"Content-Length: 6\r\nContent-Length: 15\r\n")),
        ("list of two lengths", fields(b"Content-Length: 15, 6\r\n")),
        ("length and nothing in a list", fields(b"Content-Length: 15,\r\n")),
        ("length and no length", fields(b"Content-Length: 15\r\nContent-Length: x\r\n")),
    ]
}

fn malformed_codings() -> Vec<Case> {
    let http_1_0 = |lines| response(b"HTTP/1.0 200 OK\r\n", lines, CHUNKS.as_bytes());
    vec![
        ("misspelt coding", coded(b"Transfer-Encoding: chunke\r\n")),
        ("coding with a blank", coded(b"Transfer-Encoding: chun ked\r\n")),
        ("coding that is no text", coded(b"Transfer-Encoding: chunk\xe5d\r\n")),
        ("empty coding", coded(b"Transfer-Encoding:\r\n")),
        ("coding and nothing in a list", coded(b"Transfer-Encoding: chunked,\r\n")),
        ("coding with a parameter", coded(b"Transfer-Encoding: chunked;q=1\r\n")),
        ("unknown coding", coded(b"Transfer-Encoding: bay\r\n")),
        ("identity", fields(b"Transfer-Encoding: identity\r\n")),
        ("coding that nobody asked for", coded(b"Transfer-Encoding: gzip, chunked\r\n")),
        (
            "that coding in a field of its own",
            coded(b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
        ),
        ("coding after the chunks", coded(b"Transfer-Encoding: chunked, gzip\r\n")),
        ("chunks twice", coded(b"Transfer-Encoding: chunked, chunked\r\n")),
        ("chunks in two fields", coded(b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")),
        ("misspelt coding and a length", coded(b"Transfer-Encoding: chunke\r\nContent-Length: 15\r\n")),
        ("chunks and a length", coded(b"Transfer-Encoding: chunked\r\nContent-Length: 15\r\n")),
        ("shorter length and chunks", coded(b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n")),
        ("chunks in HTTP/1.0", http_1_0(b"Transfer-Encoding: chunked\r\n")),
        (
            "promise that the request did not run",
            response(b"HTTP/1.1 503 Full\r\n", PROMISE, CHUNKS.as_bytes()),
        ),
        ("misdirected request", response(b"HTTP/1.1 421 Oh\r\n", PROMISE, CHUNKS.as_bytes())),
    ]
}

fn malformed_statuses() -> Vec<Case> {
    let with_body = |line: &[u8]| status_line(line);
    vec![
        ("status 000", with_body(b"HTTP/1.1 000 OK\r\n")),
        ("status 099", with_body(b"HTTP/1.1 099 OK\r\n")),
        ("status 600", with_body(b"HTTP/1.1 600 OK\r\n")),
        ("status 999", with_body(b"HTTP/1.1 999 OK\r\n")),
        ("status of two digits", with_body(b"HTTP/1.1 20 OK\r\n")),
        ("status of four digits", with_body(b"HTTP/1.1 2000 OK\r\n")),
        ("status with a letter", with_body(b"HTTP/1.1 2o0 OK\r\n")),
        ("status after two blanks", with_body(b"HTTP/1.1  200 OK\r\n")),
        ("no status", with_body(b"HTTP/1.1\r\n")),
        ("control byte in the reason", with_body(b"HTTP/1.1 200 O\x01\r\n")),
        ("another protocol that nobody asked for", with_body(b"HTTP/1.1 101 Switching Protocols\r\n")),
        ("interim status with a length", with_body(b"HTTP/1.1 100 OK\r\n")),
        (
            "interim status with chunks",
            response(b"HTTP/1.1 103 OK\r\n", b"Transfer-Encoding: chunked\r\n", CHUNKS.as_bytes()),
        ),
        ("status without a body, and a length", with_body(b"HTTP/1.1 204 OK\r\n")),
        (
            "status without a body, and chunks",
            response(b"HTTP/1.1 204 OK\r\n", b"Transfer-Encoding: chunked\r\n", CHUNKS.as_bytes()),
        ),
        ("HTTP/1.2", with_body(b"HTTP/1.2 200 OK\r\n")),
        ("HTTP/2.0", with_body(b"HTTP/2.0 200 OK\r\n")),
        ("HTTP/0.9", with_body(b"HTTP/0.9 200 OK\r\n")),
        ("version in lower case", with_body(b"http/1.1 200 OK\r\n")),
        ("misspelt version", with_body(b"HTP/1.1 200 OK\r\n")),
        ("another protocol", with_body(b"ICY 200 OK\r\n")),
        ("no status line", with_body(b"")),
    ]
}

fn malformed_lines() -> Vec<Case> {
    vec![
        ("line without a colon", line(b"no field at all\r\n")),
        ("length without a colon", fields(b"Content-Length 15\r\n")),
        ("chunks without a colon", coded(b"Transfer-Encoding chunked\r\n")),
        ("line of bytes", line(b"\x00\x01\x02\xff\r\n")),
        ("line that goes on in the next one", line(b"X-Bay: 7\r\n and 8\r\n")),
        ("first line is one that goes on", status_line(b"HTTP/1.1 200 OK\r\n\tX-Bay: 7\r\n")),
        ("carriage return in a field", line(b"X-Bay: 7\r8\r\n")),
        ("line that ends with a carriage return", line(b"X-Bay: 7\r")),
        ("line feed before its time", line(b"\n")),
        ("NUL in a field", line(b"X-Bay: 7\x008\r\n")),
        ("control byte in a field", line(b"X-Bay: 7\x018\r\n")),
        ("DEL in a field", line(b"X-Bay: 7\x7f8\r\n")),
        ("control byte in the length", fields(b"Content-Length: 15\x01\r\n")),
        ("control byte in the coding", coded(b"Transfer-Encoding: chunked\x01\r\n")),
        (
            "announced by a head with a line that is no field",
            after_interim(b"HTTP/1.1 100 Continue\r\nno field\r\n\r\n"),
        ),
        ("announced, with a misspelt coding", [INTERIM, &coded(b"Transfer-Encoding: chunke\r\n")].concat()),
        ("head of 64 KiB", line(&b"X-Bay: 7".repeat(8_192))),
    ]
}

fn malformed_names() -> Vec<Case> {
    vec![
        ("blank in a name", line(b"X Bay: 7\r\n")),
        ("blank after a name", line(b"X-Bay : 7\r\n")),
        ("tab after a name", line(b"X-Bay\t: 7\r\n")),
        ("control byte in a name", line(b"X-\x01Bay: 7\r\n")),
        ("control byte in a long name", line(b"X-Passrelay-Endpoint-Of-\x01-Bay: 7\r\n")),
        ("NUL in a name", line(b"X-\x00Bay: 7\r\n")),
        ("DEL in a name", line(b"X-\x7fBay: 7\r\n")),
        ("name that is no ASCII", line(b"X-Bah\xc3\xada: 7\r\n")),
        ("bracket in a name", line(b"X(Bay): 7\r\n")),
        ("no name", line(b": 7\r\n")),
        ("blank in the name of the length", fields(b"Content Length: 15\r\n")),
        ("blank after the name of the length", fields(b"Content-Length : 15\r\n")),
        ("control byte in the name of the length", fields(b"Content-\x1fLength: 15\r\n")),
        ("blank after the name of the coding", coded(b"Transfer-Encoding : chunked\r\n")),
        ("blank in the name of the coding", coded(b"Transfer Encoding: chunked\r\n")),
        ("control byte in the name of the coding", coded(b"Transfer\x00Encoding: chunked\r\n")),
    ]
}

/// Responses with a well-formed head whose chunks are not: they may not look complete.
pub fn malformed_chunks() -> Vec<Case> {
    vec![
        ("size that is no number", chunks(b"g\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size after a plus", chunks(b"+f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size with a prefix", chunks(b"0xf\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size of 17 digits", chunks(b"fffffffffffffffff\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("no size", chunks(b"\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("no size, an extension", chunks(b";e=1\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("no size at the end", chunks(b"6\r\nid: 1\n\r\n\r\n\r\n")),
        ("an extension in place of the last size", chunks(b"6\r\nid: 1\n\r\n;e=1\r\n\r\n")),
        ("blank in place of the last size", chunks(b"6\r\nid: 1\n\r\n \r\n\r\n")),
        ("size smaller than its chunk", chunks(b"6\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size larger than its chunk", chunks(b"10\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size that ends with a line feed", chunks(b"f\nid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        ("size that ends with a carriage return", chunks(b"f\rid: 1\ndata: b\n\n\r\n0\r\n\r\n")),
        (
            "line after the last chunk that is no field",
            chunks(b"f\r\nid: 1\ndata: b\n\n\r\n0\r\nno field\r\n\r\n"),
        ),
        ("blank in the name of a trailer", chunks(b"f\r\nid: 1\ndata: b\n\n\r\n0\r\nX Bay: 7\r\n\r\n")),
    ]
}

/// One of the well-formed responses.
pub fn well_formed_response() -> Vec<u8> {
    fields(LENGTH)
}

/// The well-formed responses with status 200 and [`BODY`] after which an endpoint may treat its connection so.
pub fn well_formed_with(connection: Connection) -> Vec<Case> {
    match connection {
        Connection::Kept => well_formed(),
        Connection::Closed => [well_formed(), well_formed_if_closed()].concat(),
    }
}

/// Well-formed responses with status 200 and [`BODY`], each like a malformed one.
pub fn well_formed() -> Vec<Case> {
    vec![
        ("length", fields(LENGTH)),
        ("length without a blank", fields(b"Content-Length:15\r\n")),
        ("length between blanks", fields(b"Content-Length:\t 15 \t\r\n")),
        ("length with zeros before it", fields(b"Content-Length: 0015\r\n")),
        ("length in lower case", fields(b"content-length: 15\r\n")),
        ("the same length twice", fields(b"Content-Length: 15\r\nContent-Length: 15\r\n")),
        ("list of the same length", fields(b"Content-Length: 15, 15\r\n")),
        ("chunks", coded(b"Transfer-Encoding: chunked\r\n")),
        ("chunks in upper case", coded(b"TRANSFER-ENCODING:CHUNKED\r\n")),
        ("chunks between blanks", coded(b"Transfer-Encoding: \t chunked \t\r\n")),
        ("several chunks", chunks(b"6\r\nid: 1\n\r\n8\r\ndata: b\n\r\n1\r\n\n\r\n0\r\n\r\n")),
        ("size with zeros before it", chunks(b"000F\r\nid: 1\ndata: b\n\n\r\n000\r\n\r\n")),
        ("extension of a chunk", chunks(b"f;e=1;g=\"h\"\r\nid: 1\ndata: b\n\n\r\n0;e\r\n\r\n")),
        ("trailers", chunks(b"f\r\nid: 1\ndata: b\n\n\r\n0\r\nX-Bay: 7\r\nX-Hall: sur\r\n\r\n")),
        ("HTTP/1.0 with a length", status_line(b"HTTP/1.0 200 OK\r\n")),
        ("empty reason", status_line(b"HTTP/1.1 200 \r\n")),
        ("no reason", status_line(b"HTTP/1.1 200\r\n")),
        ("reason of several words", status_line(b"HTTP/1.1 200 Bay 7 is\tfree\r\n")),
        ("reason that is no ASCII", status_line(b"HTTP/1.1 200 Bah\xeda\r\n")),
        ("announced by status 100", after_interim(INTERIM)),
        ("announced by status 103", after_interim(b"HTTP/1.1 103 Early Hints\r\nLink: </bay>\r\n\r\n")),
        ("line feeds alone", with_line_feeds()),
        ("one line that ends with a line feed", line(b"X-Bay: 7\n")),
        ("empty field", line(b"X-Bay:\r\n")),
        ("field of blanks", line(b"X-Bay: \t \r\n")),
        ("tab in a field", line(b"X-Bay: 7\t8\r\n")),
        ("colon in a field", line(b"X-Bay: Content-Length: 6\r\n")),
        ("field that is UTF-8", line("X-Bay: bah\u{ed}a\r\n".as_bytes())),
        ("field that is Latin-1", line(b"X-Bay: bah\xeda\r\n")),
        ("every byte that a name may have", line(b"X-!#$%&'*+-.^_`|~09azAZ: 7\r\n")),
        ("name like that of the length", line(b"Content-Lengths: 6\r\nX-Content-Length: 6\r\n")),
        ("name like that of the coding", line(b"Transfer-Encodings: chunked\r\n")),
        ("forty fields", many_fields(40)),
        ("field of 8 KiB", long_field(8_192)),
    ]
}

/// Well-formed responses with status 200 and [`BODY`] that end with their connection.
fn well_formed_if_closed() -> Vec<Case> {
    vec![
        ("neither length nor chunks", fields(b"")),
        ("neither, and said so", fields(b"Connection: close\r\n")),
        ("HTTP/1.0 with neither", response(b"HTTP/1.0 200 OK\r\n", b"", BODY.as_bytes())),
    ]
}

/// Well-formed responses with another status, with the status and the body that the client gets.
pub fn well_formed_with_other_status() -> Vec<(Case, u16, &'static str)> {
    let bodiless = |line: &[u8], lines: &[u8]| response(line, lines, b"");
    vec![
        (("status 204", bodiless(b"HTTP/1.1 204 No Content\r\n", b"")), 204, ""),
        (
            ("status 204, length 0", bodiless(b"HTTP/1.1 204 No Content\r\n", b"Content-Length: 0\r\n")),
            204,
            "",
        ),
        (("status 304 with a length", bodiless(b"HTTP/1.1 304 Not Modified\r\n", LENGTH)), 304, ""),
        (("status 200 without a body", bodiless(STATUS_LINE, b"Content-Length: 0\r\n")), 200, ""),
        (("status 404", status_line(b"HTTP/1.1 404 Not Found\r\n")), 404, BODY),
        (("status 500", status_line(b"HTTP/1.1 500 Oh\r\n")), 500, BODY),
        (("status 599", status_line(b"HTTP/1.1 599 Oh\r\n")), 599, BODY),
    ]
}
