use super::*;
use crate::memory::Memory;
use passrelay_data_plane::memory_budget::MemoryUse;
use rstest::rstest;

const MACHINE_BYTES: u64 = 160_000_000;

fn used_bytes(memory: &Memory) -> u64 {
    memory.status()["used_bytes"].as_u64().unwrap()
}

async fn sent(body: &StoredBody) -> Vec<u8> {
    body.to_outbound().collect().await.unwrap().to_bytes().to_vec()
}

#[rstest]
#[case::announced(100_000, 7_000)]
#[case::unknown_length(0, 7_000)]
#[case::single_bytes(0, 1)]
#[case::announced_too_short(10, 300)]
fn a_body_is_sent_as_it_was_received(#[case] expected: usize, #[case] part_length: usize) {
    let memory = Memory::new(MACHINE_BYTES);
    let body: Vec<u8> = (0..100_000_u32).map(|n| n as u8).collect();
    let mut writer = SegmentWriter::new(expected, memory.charge(MemoryUse::RequestBodies));
    for part in body.chunks(part_length) {
        writer.append(part).unwrap();
    }
    let stored = writer.finish();
    assert_eq!(stored.to_outbound().size_hint().exact(), Some(body.len() as u64));
    assert_eq!(smol::block_on(sent(&stored)), body);
}

#[test]
fn the_charge_covers_small_chunks_and_stays_close_to_the_length() {
    let memory = Memory::new(MACHINE_BYTES);
    let mut writer = SegmentWriter::new(0, memory.charge(MemoryUse::RequestBodies));
    for _ in 0..100_000 {
        writer.append(b"x").unwrap();
    }
    let held = used_bytes(&memory);
    assert!((100_000..130_000).contains(&held), "{held}");
}

#[test]
fn a_body_is_charged_until_its_last_outbound_copy_is_dropped() {
    let memory = Memory::new(MACHINE_BYTES);
    let mut writer = SegmentWriter::new(5, memory.charge(MemoryUse::RequestBodies));
    writer.append(b"hello").unwrap();
    let stored = writer.finish();
    let outbound = stored.to_outbound();
    drop(stored);
    assert!(used_bytes(&memory) > 0);
    drop(outbound);
    assert_eq!(used_bytes(&memory), 0);
}

#[test]
fn a_refused_body_releases_its_charge() {
    let memory = Memory::new(1_000_000);
    let mut writer = SegmentWriter::new(0, memory.charge(MemoryUse::RequestBodies));
    let refused = (0..1_000).find_map(|_| writer.append(&[0; 1_000]).err());
    assert_eq!(refused, Some(MemoryExhausted));
    drop(writer);
    assert_eq!(used_bytes(&memory), 0);
    assert_eq!(memory.refusals(), 1);
}
