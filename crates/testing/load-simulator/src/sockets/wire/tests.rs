use super::*;
use std::net::TcpListener;

/// Takes a response from a connection that has brought these bytes.
fn take(bytes: &[u8]) -> Result<Option<Message>, Unreadable> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let mut connection = Conn::new(TcpStream::from_std(stream));
    connection.input.extend_from_slice(bytes);
    connection.take(true)
}

#[test]
fn a_well_formed_response_is_taken_with_its_fields_and_its_body() {
    let bytes = b"HTTP/1.1 503 Full\r\nContent-Length: 3\r\nRetry-After: 0.5\r\nConnection: Close\r\n\r\nbay";
    let message = take(bytes).unwrap().unwrap();
    assert_eq!((message.status, &message.body[..], message.close), (503, &b"bay"[..], true));
    assert_eq!(message.retry_after, Some(0.5));
    assert!(take(&bytes[..bytes.len() - 1]).unwrap().is_none());
}

#[test]
fn a_malformed_response_or_one_without_a_length_is_unreadable() {
    let heads = [
        "HTTP/1.1 000 OK\r\nContent-Length: 0",
        "HTTP/1.1 600 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nContent-Length: +0",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nX Bay: 7\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\n\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK",
    ];
    for head in heads {
        let taken = take(format!("{head}\r\n\r\nbay").as_bytes());
        assert!(taken.is_err(), "{head}");
    }
}
