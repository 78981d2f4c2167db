//! A member of a core of three voters, for tests of a single member.

use passrelay_control_plane::replication::{
    DurableState, EpochRecord, Member, MemberId, Mutations, Replica, ReplicaAction, ReplicaSettings,
    ReplicatedState, ReplicationEnvelope, ReplicationMessage, WitnessState,
};
use passrelay_dissemination::Incarnation;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Time of all events.
pub const NOW: Duration = Duration::from_secs(10);
/// Incarnation of every sender.
pub const PEER_INCARNATION: Incarnation = Incarnation(5);

/// Returns the member with this identity, at a port derived from it.
pub fn member(id: u64) -> Member {
    let port = 7_000 + u16::try_from(id).expect("member ids in tests fit into a port number");
    Member { id: MemberId(id), address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port) }
}

/// Returns a record of `term` with members 1 to 3 in sync and member 2 as primary.
pub fn record(term: u64) -> EpochRecord {
    let members = vec![member(1), member(2), member(3)];
    EpochRecord {
        term,
        sequence: 0,
        primary: MemberId(2),
        previous_members: members.clone(),
        in_sync: members.iter().map(|member| member.id).collect(),
        members,
    }
}

/// Returns member 1, whose disk holds the record of term 1 and `state`.
pub fn replica(state: ReplicatedState, accepts_deltas: bool) -> Replica {
    let witness = WitnessState { promised: 1, promised_to: Some(MemberId(2)), record: Some(record(1)) };
    let settings = ReplicaSettings {
        own: member(1),
        tolerated_losses: 1,
        bootstrapping: false,
        seeds: vec![member(1).address],
        bootstrap_seeds: vec![member(1).address],
        election_timeout: Duration::from_millis(320),
        accepts_deltas,
        random_seed: 1,
        mutation: Mutations::NONE,
    };
    Replica::new(NOW, settings, DurableState { witness, state })
}

/// Delivers a message of member `from`. Returns the resulting actions.
pub fn receive(replica: &mut Replica, from: u64, message: ReplicationMessage) -> Vec<ReplicaAction> {
    let mut actions = Vec::new();
    let envelope = ReplicationEnvelope { sender: member(from), message };
    replica.receive(NOW, PEER_INCARNATION, envelope, &mut actions);
    actions
}
