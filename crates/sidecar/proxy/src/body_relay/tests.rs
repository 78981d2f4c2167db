use super::*;
use crate::buffer_pool::BufferPool;
use crate::http::Head;

/// Reads at most 7001 bytes per call and returns `WouldBlock` before every read.
struct ThrottledReader {
    bytes: Vec<u8>,
    position: usize,
    would_block: bool,
}

impl Read for ThrottledReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.would_block = !self.would_block;
        if self.would_block && self.position < self.bytes.len() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = into.len().min(7001).min(self.bytes.len() - self.position);
        into[..n].copy_from_slice(&self.bytes[self.position..self.position + n]);
        self.position += n;
        Ok(n)
    }
}

/// Writes at most 5000 bytes per call; every third call returns `WouldBlock`.
struct ThrottledWriter {
    out: Vec<u8>,
    calls: u64,
}

impl Write for ThrottledWriter {
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

fn relay_response(response: &[u8], chunked: bool) -> (Flow, Vec<u8>) {
    let mut buffers = BufferPool::default();
    let mut buffer = buffers.acquire();
    let mut node = ThrottledReader { bytes: response.to_vec(), position: 0, would_block: false };
    let mut body = loop {
        assert!(!matches!(buffer.fill_from(&mut node), Ok(0)), "the response has no complete head");
        if let Some(head) = Head::parse_response(buffer.bytes()).unwrap() {
            break BodyReader::new(&head);
        }
    };
    body.streaming = true;
    let _ = body.read(&mut buffer, false);
    body.drop_head(&mut buffer);
    let mut relay = BodyRelay::new(0, b"HEAD\r\n\r\n".to_vec(), chunked, 0.0);
    let mut client = ThrottledWriter { out: Vec::new(), calls: 0 };
    for now in 0..100_000 {
        match relay.pump(f64::from(now), &mut buffer, &mut body, &mut node, &mut client) {
            Flow::Blocked | Flow::Yield => {}
            end => return (end, client.out),
        }
    }
    panic!("the relay never ended");
}

fn decode_chunked(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line_end = bytes.windows(2).position(|w| w == b"\r\n").unwrap();
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..line_end]).unwrap(), 16).unwrap();
        bytes = &bytes[line_end + 2..];
        if size == 0 {
            assert_eq!(bytes, b"\r\n");
            return body;
        }
        body.extend_from_slice(&bytes[..size]);
        assert_eq!(&bytes[size..size + 2], b"\r\n");
        bytes = &bytes[size + 2..];
    }
}

// Guards against responses larger than a buffer that are truncated, stalled or framed incorrectly by the
// relay.
#[test]
fn large_responses_are_relayed_completely_in_every_framing_through_one_buffer() {
    let body: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let length =
        [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), &body].concat();
    let (flow, out) = relay_response(&length, false);
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
    let (flow, out) = relay_response(&chunked, true);
    assert_eq!(flow, Flow::Done { reusable: true });
    assert!(decode_chunked(&out[8..]) == body);
    let until_close = [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), &body].concat();
    let (flow, out) = relay_response(&until_close, true);
    assert_eq!(flow, Flow::Done { reusable: false });
    assert!(decode_chunked(&out[8..]) == body);
    let (flow, _) = relay_response(&length[..length.len() - 10], false);
    assert_eq!(flow, Flow::NodeFailed, "a truncated response is not reported as complete");
}

/// A source of endless bytes that never blocks.
struct EndlessReader;

impl Read for EndlessReader {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        into.fill(b'x');
        Ok(into.len())
    }
}

// Guards against a long response between a fast node and a fast client that occupies the event loop until all
// of it has been relayed, while all other connections wait.
#[test]
fn a_relay_that_never_blocks_yields_to_other_connections() {
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
        match relay.pump(0.0, &mut buffer, &mut body, &mut EndlessReader, &mut client) {
            Flow::Yield => turns += 1,
            Flow::Done { .. } => break,
            other => panic!("{other:?}"),
        }
        assert!(client.len() - before <= 1 << 20, "{} bytes relayed in one turn", client.len() - before);
    }
    assert_eq!(client.len(), 8_000_000);
    assert!(turns >= 8, "{turns} turns");
}
