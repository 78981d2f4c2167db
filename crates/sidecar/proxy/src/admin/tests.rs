use super::*;

// Guards against commands accepted with the wrong method or path, and against an incomplete head taken for a
// complete one.
#[test]
fn requests_are_parsed_by_method_and_path() {
    assert_eq!(parse_request(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n"), Ok(Some(AdminCommand::Status)));
    assert_eq!(
        parse_request(b"POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
        Ok(Some(AdminCommand::Standby))
    );
    assert_eq!(parse_request(b"POST /active?now=1 HTTP/1.1\r\n\r\n"), Ok(Some(AdminCommand::Active)));
    assert_eq!(
        parse_request(b"POST /status HTTP/1.1\r\n\r\n"),
        Err(RequestError { status: 405, text: "another method\n", allow: Some("GET") })
    );
    assert_eq!(
        parse_request(b"GET /standby HTTP/1.1\r\n\r\n").map_err(|error| error.allow),
        Err(Some("POST"))
    );
    assert_eq!(parse_request(b"GET /else HTTP/1.1\r\n\r\n").map_err(|error| error.status), Err(404));
    assert_eq!(parse_request(b"\x01\x02 nonsense\r\n\r\n").map_err(|error| error.status), Err(400));
    assert_eq!(parse_request(b"GET /status HTTP/1.1\r\nHost"), Ok(None));
    let long = [b"GET /status HTTP/1.1\r\nX: ".as_slice(), &[b'a'; MAX_HEAD_BYTES]].concat();
    assert_eq!(parse_request(&long).map_err(|error| error.status), Err(431));
}
