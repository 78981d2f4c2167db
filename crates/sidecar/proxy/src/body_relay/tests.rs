use super::*;
use crate::buffer_pool::BufferPool;
use crate::http::Head;

/// Gives its bytes a few at a time, with a wait between.
struct Trickle {
    bytes: Vec<u8>,
    at: usize,
    turn: bool,
}

impl Read for Trickle {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.turn = !self.turn;
        if self.turn && self.at < self.bytes.len() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = into.len().min(7001).min(self.bytes.len() - self.at);
        into[..n].copy_from_slice(&self.bytes[self.at..self.at + n]);
        self.at += n;
        Ok(n)
    }
}

/// Takes a little at a time, and now and then nothing.
struct Slow {
    out: Vec<u8>,
    calls: u64,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.calls += 1;
        if self.calls % 3 == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = bytes.len().min(5000);
        self.out.extend_from_slice(&bytes[..n]);
        Ok(n)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn pass(answer: &[u8], chunked: bool) -> (Flow, Vec<u8>) {
    let mut buffers = BufferPool::default();
    let mut buffer = buffers.acquire();
    let mut node = Trickle { bytes: answer.to_vec(), at: 0, turn: false };
    let mut body = loop {
        assert!(!matches!(buffer.fill_from(&mut node), Ok(0)), "no head");
        if let Some(head) = Head::parse_response(buffer.bytes()).unwrap() {
            break BodyReader::new(&head);
        }
    };
    body.streaming = true;
    let _ = body.read(&mut buffer, false);
    body.drop_head(&mut buffer);
    let mut relay = BodyRelay::new(0, b"HEAD\r\n\r\n".to_vec(), chunked, 0.0);
    let mut client = Slow { out: Vec::new(), calls: 0 };
    for round in 0..100_000 {
        match relay.pump(f64::from(round), &mut buffer, &mut body, &mut node, &mut client) {
            Flow::Blocked | Flow::Yield => {}
            end => return (end, client.out),
        }
    }
    panic!("the relay never ended");
}

fn unchunk(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let at = bytes.windows(2).position(|w| w == b"\r\n").unwrap();
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..at]).unwrap(), 16).unwrap();
        bytes = &bytes[at + 2..];
        if size == 0 {
            assert_eq!(bytes, b"\r\n");
            return body;
        }
        body.extend_from_slice(&bytes[..size]);
        assert_eq!(&bytes[size..size + 2], b"\r\n");
        bytes = &bytes[size + 2..];
    }
}

// Guards against an answer larger than a buffer that is cut, held back or framed wrong on its way.
#[test]
fn large_answers_pass_whole_in_every_framing_through_one_buffer() {
    let body: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let length =
        [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat();
    let (flow, out) = pass(&length, false);
    assert_eq!(flow, Flow::Done { reusable: true });
    assert_eq!((&out[..8], out.len() - 8), (&b"HEAD\r\n\r\n"[..], body.len()));
    assert!(out[8..] == body[..]);
    let mut chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for piece in body.chunks(40_000) {
        chunked.extend_from_slice(format!("{:x};x=1\r\n", piece.len()).as_bytes());
        chunked.extend_from_slice(piece);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
    let (flow, out) = pass(&chunked, true);
    assert_eq!(flow, Flow::Done { reusable: true });
    assert!(unchunk(&out[8..]) == body);
    let until_close = [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), &body].concat();
    let (flow, out) = pass(&until_close, true);
    assert_eq!(flow, Flow::Done { reusable: false });
    assert!(unchunk(&out[8..]) == body);
    let (flow, _) = pass(&length[..length.len() - 10], false);
    assert_eq!(flow, Flow::NodeFailed, "an answer cut short is not passed off as whole");
}

/// Always has more.
struct Fast;

impl Read for Fast {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        into.fill(b'x');
        Ok(into.len())
    }
}

// Guards against a long answer between a node and a client that are both fast: it kept the loop to itself, and everybody
// else waited, until all of it had passed.
#[test]
fn an_answer_that_never_has_to_wait_lets_others_in_between() {
    let head = Head::parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n").unwrap().unwrap();
    let (mut buffers, mut body) = (BufferPool::default(), BodyReader::new(&head));
    let mut buffer = buffers.acquire();
    let mut bytes = &b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n"[..];
    buffer.fill_from(&mut bytes).unwrap();
    body.streaming = true;
    let _ = body.read(&mut buffer, false);
    body.drop_head(&mut buffer);
    let mut relay = BodyRelay::new(0, Vec::new(), false, 0.0);
    let (mut client, mut turns) = (Vec::new(), 0);
    loop {
        let before = client.len();
        match relay.pump(0.0, &mut buffer, &mut body, &mut Fast, &mut client) {
            Flow::Yield => turns += 1,
            Flow::Done { .. } => break,
            other => panic!("{other:?}"),
        }
        assert!(client.len() - before <= 1 << 20, "{} bytes at one go", client.len() - before);
    }
    assert_eq!(client.len(), 8_000_000);
    assert!(turns >= 8, "{turns} turns");
}
