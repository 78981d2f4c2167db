//! Compatibility with a voter's journal written by version 0.2.0 in a fleet of three voters, as appended to
//! and as rewritten.
//!
//! Two sessions were opened. One holds a lease that the other waits for, and recorded an effect under it; the
//! other has been evicted from a lease. Finally a fourth voter was added.

use passrelay_lease_consensus::voter::VoterConfig;
use passrelay_lease_consensus::wire::LeaseInfo;
use passrelay_lease_journal::{Disk, Journal, MemoryDisk};
use passrelay_lease_runtime::durable_voter::DurableVoter;
use std::time::Duration;

const GROWN: (&str, &[u8]) = ("voter.1", include_bytes!("data/grown.voter.1"));
const REWRITTEN: (&str, &[u8]) = ("voter.2", include_bytes!("data/rewritten.voter.2"));

/// Returns a disk that contains this file.
fn disk((name, bytes): (&str, &[u8])) -> MemoryDisk {
    let mut disk = MemoryDisk::default();
    disk.append(name, bytes).unwrap();
    disk.sync(name).unwrap();
    disk.sync_directory().unwrap();
    disk
}

/// Opens the voter of this journal in a new incarnation.
fn voter(file: (&str, &[u8])) -> DurableVoter<MemoryDisk> {
    let disk = disk(file);
    let identity = VoterConfig {
        voter: 1,
        voters: vec![1, 2, 3],
        joining: false,
        lock_delay: Duration::from_secs(3),
        new_disk_id: 1,
        incarnation: 99,
    };
    DurableVoter::open(identity, Box::new(move || Ok(disk.clone())), Duration::from_secs(9)).unwrap()
}

#[test]
fn a_journal_of_before_holds_what_the_voters_agreed_on() {
    for file in [GROWN, REWRITTEN] {
        let voter = voter(file);
        let status = voter.status();
        assert_eq!(status.disk_id, 0xd15c_0001);
        let added = Some("10.1.2.4:7500".to_owned());
        assert_eq!(status.voters, [(1, None), (2, None), (3, None), (4, added)]);
        assert_eq!((status.sessions, status.leases), (2, 2));

        let table = voter.voter().unwrap().table();
        let sessions: Vec<_> =
            table.sessions().values().map(|s| (s.name.as_str(), s.ttl_ms, s.renewals)).collect();
        assert_eq!(sessions, [("worker-1", 600_000, 1), ("worker-2", 600_000, 0)]);
        let row = |lease: &str, state: &str, holder: &str, token, waiting, effect| LeaseInfo {
            lease: lease.to_owned(),
            state: state.to_owned(),
            holder: Some(holder.to_owned()),
            token,
            ttl_ms: 500_000,
            waiting,
            last_effect_token: effect,
        };
        assert_eq!(LeaseInfo::of(table, "compact"), row("compact", "held", "worker-1", 1, 1, 1));
        assert_eq!(LeaseInfo::of(table, "report"), row("report", "leaving", "worker-2", 2, 0, 0));
        assert_eq!(table.leases()["compact"].note, "page 17");
    }
}

#[test]
fn a_rewrite_of_the_journal_is_the_same_as_before() {
    for file in [GROWN, REWRITTEN] {
        let (_, records) = Journal::open(disk(REWRITTEN), "voter").unwrap();
        assert_eq!(records, [voter(file).voter().unwrap().to_record()]);
    }
}
