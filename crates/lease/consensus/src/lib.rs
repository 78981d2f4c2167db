//! Replicated leases for fleet-wide tasks. This crate has no I/O, clock or threads: callers pass in `now`,
//! and drivers carry out the messages and disk writes that it returns.
//!
//! The guarantees and their reasons are described in `docs/design/leases.md`. From the bottom up:
//!
//! - [`lease_table`]: sessions, leases and tokens, as a state machine without a clock;
//! - [`expiry`]: detection of sessions that were not renewed in time;
//! - [`membership`]: the set of voters, changed one at a time;
//! - [`replica`]: replication of the table by a consensus library;
//! - [`voter`]: one voter of the fleet;
//! - [`client`]: the session of a process and the leases it may consider held;
//! - [`wire`]: the protocol between them.

pub mod client;
pub mod expiry;
pub mod lease_table;
pub mod membership;
pub mod mutant;
pub mod replica;
pub mod voter;
pub mod wire;

/// The number of a voter, starting at 1.
pub type VoterId = u64;
/// The number of a session; never reused.
pub type SessionId = u64;
/// The fencing token of a grant; higher than those of all earlier grants of any lease.
pub type Token = u64;
