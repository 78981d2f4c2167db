//! Tests of the exact encoding of frames and of the errors for which frames are dropped.

use super::*;
use passrelay_control_plane::{CallId, Message, OperatorMessage, OperatorRequest};
use passrelay_dissemination::Incarnation;

const FROM: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 0, 0, 4), 7_680);

fn envelope() -> Envelope {
    let call = OperatorMessage::Call { call: CallId(7), request: OperatorRequest::Read };
    Envelope { sender: Incarnation(9), addressee: None, message: Message::Operator(call) }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn a_frame_has_the_bytes_of_protocol_version_2() {
    let frame = encode(FROM, envelope()).expect("it is encoded");
    let expected = concat!(
        "a3",
        "6776657273696f6e02",               // version: 2
        "6466726f6d82840a000004191e00",     // from: [[10, 0, 0, 4], 7680]
        "68656e76656c6f7065a3",             // envelope:
        "6673656e64657209",                 // sender: 9
        "69616464726573736565f6",           // addressee: null
        "676d657373616765a1",               // message:
        "684f70657261746f72a16443616c6ca2", // Operator: Call:
        "6463616c6c07",                     // call: 7
        "67726571756573746452656164",       // request: Read
    );
    assert_eq!(hex(&frame), expected);
    let received = decode(&frame).expect("it is decoded");
    assert_eq!((received.from, received.envelope), (FROM, envelope()));
}

#[test]
fn a_compressed_frame_begins_with_its_length_in_little_endian() {
    let frame = encode(FROM, envelope()).expect("it is encoded");
    let compressed = compress(&frame);
    assert_eq!(compressed[..LENGTH_BYTES], u32::try_from(frame.len()).expect("a length").to_le_bytes());
    assert_eq!(decompress(&compressed).expect("it is decompressed"), frame);
}

#[test]
fn a_frame_of_another_protocol_version_is_dropped() {
    let other = Frame { version: PROTOCOL_VERSION + 1, from: FROM, envelope: envelope() };
    let mut bytes = Vec::new();
    ciborium::into_writer(&other, &mut bytes).expect("it is encoded");
    let error = decode(&bytes).err().expect("it is dropped");
    assert_eq!(error.to_string(), "the frame has protocol version 3, expected 2");
}

#[test]
fn a_declared_length_over_the_limit_is_refused_before_decompression() {
    let declared = u32::try_from(MAX_FRAME_BYTES + 1).expect("a length");
    let error = decompress(&declared.to_le_bytes()).expect_err("it is refused");
    assert!(matches!(error, FrameError::TooLong(length) if length == MAX_FRAME_BYTES + 1));
    assert_eq!(error.to_string(), "the frame has 25165825 bytes, the limit is 25165824");
}

#[test]
fn an_invalid_frame_is_dropped_with_an_error_that_has_a_source() {
    let undecodable = decode(b"no frame").err().expect("it is dropped");
    assert!(undecodable.to_string().starts_with("the frame cannot be decoded: "));
    assert!(std::error::Error::source(&undecodable).is_some());
    let undecompressable = decompress(&[8, 0, 0, 0, 0xff]).expect_err("it is dropped");
    assert!(undecompressable.to_string().starts_with("the frame cannot be decompressed: "));
    assert!(std::error::Error::source(&undecompressable).is_some());
}
