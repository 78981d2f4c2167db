//! Leases for fleet-wide tasks: who may act. No I/O, no clock of its own, no threads: `now` is passed in,
//! every message and every disk write is a value that a driver carries out.
//!
//! What each promise rests on stands in `docs/design/leases.md`. From below:
//!
//! - [`lease_table`]: sessions, leases and tokens, as a state machine that reads no clock at all;
//! - [`expiry`]: a voter's watch over sessions that fell silent;
//! - [`membership`]: who votes, changed one at a time;
//! - [`replica`]: the table kept the same on all voters, by a consensus library;
//! - [`voter`]: one voter of the fleet;
//! - [`client`]: a session of a process, and what it may believe to hold;
//! - [`wire`]: what goes between them.

pub mod client;
pub mod expiry;
pub mod lease_table;
pub mod membership;
pub mod mutant;
pub mod replica;
pub mod voter;
pub mod wire;

/// A voter's number, from 1.
pub type VoterId = u64;
/// A session's number; never used twice.
pub type SessionId = u64;
/// The number of a grant: each grant of any lease has a higher one than all before it.
pub type Token = u64;
