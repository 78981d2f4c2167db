use super::*;

// Guards against calls taken by the wrong method or path, and a half head taken for a whole one.
#[test]
fn calls_are_read_by_method_and_path() {
    assert_eq!(read_call(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n"), Ok(Some(Call::Status)));
    assert_eq!(read_call(b"POST /standby HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), Ok(Some(Call::Standby)));
    assert_eq!(read_call(b"POST /active?now=1 HTTP/1.1\r\n\r\n"), Ok(Some(Call::Active)));
    assert_eq!(
        read_call(b"POST /status HTTP/1.1\r\n\r\n"),
        Err(Refusal(405, "another method\n", Some("GET")))
    );
    assert_eq!(read_call(b"GET /standby HTTP/1.1\r\n\r\n").map_err(|r| r.2), Err(Some("POST")));
    assert_eq!(read_call(b"GET /else HTTP/1.1\r\n\r\n").map_err(|r| r.0), Err(404));
    assert_eq!(read_call(b"\x01\x02 nonsense\r\n\r\n").map_err(|r| r.0), Err(400));
    assert_eq!(read_call(b"GET /status HTTP/1.1\r\nHost"), Ok(None));
    let long = [b"GET /status HTTP/1.1\r\nX: ".as_slice(), &[b'a'; HEAD_BYTES]].concat();
    assert_eq!(read_call(&long).map_err(|r| r.0), Err(431));
}
