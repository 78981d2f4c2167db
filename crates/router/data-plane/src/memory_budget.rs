//! The budget of bytes that a process may hold for its clients and peers.
//!
//! A part of the machine's memory is left for the process itself: its code, the configuration, the state of the fleet and the
//! overhead of the allocator. The rest is the limit of this budget, to which everything is charged that others can make
//! the process hold. The caller charges what it really allocates, before it does, and releases it afterwards.
//!
//! The larger a request body already is, the more of the budget has to stay free when it grows. Many large bodies that never
//! end therefore use up their part of the budget, while there is still room for small ones. The control API and the messages
//! between processes have a part that requests of clients never take.

use thiserror::Error;

/// Part of the machine's memory that is the limit of the budget.
const LIMIT_FRACTION: Fraction = Fraction { numerator: 5, denominator: 8 };
/// Part of the limit that clients' requests leave free for the control API and for other processes.
const CONTROL_HEADROOM: Fraction = Fraction { numerator: 1, denominator: 8 };
/// Part of the limit that all bodies at the control API may hold together, and all messages of other processes.
const CONTROL_FRACTION: Fraction = Fraction { numerator: 1, denominator: 4 };
/// Part of the limit that clients' connections may hold together.
const CONNECTION_FRACTION: Fraction = Fraction { numerator: 1, denominator: 2 };
/// Part of the limit that has to stay free when a request body grows beyond each of these sizes in bytes, in ascending order.
const BODY_HEADROOMS: [(u64, Fraction); 3] = [
    (4 << 10, Fraction { numerator: 1, denominator: 4 }),
    (64 << 10, Fraction { numerator: 3, denominator: 8 }),
    (512 << 10, Fraction { numerator: 1, denominator: 2 }),
];

/// Receive buffer of a socket, in bytes. Bytes that have arrived and are not read yet count as memory of the machine.
pub const RECEIVE_BUFFER_BYTES: u64 = 32 << 10;
/// Bytes held for a connection of a client on which no request is in progress.
pub const IDLE_CONNECTION_BYTES: u64 = 8 << 10;
/// Bytes held at most for a connection of a client apart from bodies: the head, the response that is being written, and unread
/// bytes.
pub const ACTIVE_CONNECTION_BYTES: u64 = (16 << 10) + RECEIVE_BUFFER_BYTES;
/// Bytes held at most for a request in progress at an endpoint, apart from its body: the response that is being relayed, and
/// its unread bytes.
pub const UPSTREAM_CALL_BYTES: u64 = (32 << 10) + RECEIVE_BUFFER_BYTES;

/// A fraction of an amount of bytes.
#[derive(Clone, Copy, Debug)]
struct Fraction {
    numerator: u64,
    denominator: u64,
}

impl Fraction {
    fn of(self, bytes: u64) -> u64 {
        bytes / self.denominator * self.numerator
    }
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Connections of clients, endpoints and operators. Their number is limited, so that they are charged unconditionally.
    Connections,
    /// Bodies of clients' requests.
    RequestBodies,
    /// Requests in progress at endpoints, apart from their bodies.
    UpstreamCalls,
    /// Bodies at the control API, and what they are parsed into.
    ControlBodies,
    /// Messages from other processes that are received over a connection.
    PeerMessages,
}

impl MemoryUse {
    /// All uses, in the order of their index.
    pub const ALL: [MemoryUse; 5] = [
        MemoryUse::Connections,
        MemoryUse::RequestBodies,
        MemoryUse::UpstreamCalls,
        MemoryUse::ControlBodies,
        MemoryUse::PeerMessages,
    ];

    /// Returns the name in status and log.
    pub fn name(self) -> &'static str {
        match self {
            MemoryUse::Connections => "connections",
            MemoryUse::RequestBodies => "request_bodies",
            MemoryUse::UpstreamCalls => "upstream_calls",
            MemoryUse::ControlBodies => "control_bodies",
            MemoryUse::PeerMessages => "peer_messages",
        }
    }
}

/// The budget has no room for the requested bytes at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for requests is in use")]
pub struct MemoryExhausted;

/// What is held and was refused for one use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UseAccount {
    /// Bytes held at present.
    pub used_bytes: u64,
    /// Charges refused since the start of the process.
    pub refusals: u64,
}

/// The bytes that a process holds for others, and their limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: u64,
    accounts: [UseAccount; MemoryUse::ALL.len()],
}

impl MemoryBudget {
    /// Creates the budget of a process on a machine with this much memory for it.
    pub fn new(machine_memory_bytes: u64) -> Self {
        MemoryBudget { limit_bytes: LIMIT_FRACTION.of(machine_memory_bytes), accounts: Default::default() }
    }

    /// Returns the limit of all bytes together.
    pub fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns the bytes held at present.
    pub fn used_bytes(&self) -> u64 {
        self.accounts.iter().map(|account| account.used_bytes).sum()
    }

    /// Returns what is held and was refused for `memory_use`.
    pub fn account(&self, memory_use: MemoryUse) -> UseAccount {
        self.accounts[memory_use as usize]
    }

    /// Returns how many connections of clients the budget has room for, if all of them are active.
    pub fn max_client_connections(&self) -> usize {
        let connections = CONNECTION_FRACTION.of(self.limit_bytes) / ACTIVE_CONNECTION_BYTES;
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// Charges `additional` bytes to an owner, such as a body, that already holds `owned` bytes for the same use.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] and counts a refusal if there is no room. Nothing is charged in this case.
    pub fn charge(
        &mut self,
        memory_use: MemoryUse,
        owned: u64,
        additional: u64,
    ) -> Result<(), MemoryExhausted> {
        let held = self.used_bytes() + additional;
        let used_for_use = self.account(memory_use).used_bytes + additional;
        let headroom = self.headroom(memory_use, owned + additional);
        if held + headroom > self.limit_bytes || used_for_use > self.use_limit(memory_use) {
            self.accounts[memory_use as usize].refusals += 1;
            return Err(MemoryExhausted);
        }
        self.charge_unconditionally(memory_use, additional);
        Ok(())
    }

    /// Charges bytes that cannot be refused, because they are in use already or limited otherwise.
    pub fn charge_unconditionally(&mut self, memory_use: MemoryUse, bytes: u64) {
        self.accounts[memory_use as usize].used_bytes += bytes;
    }

    /// Releases bytes that were charged to `memory_use`.
    pub fn release(&mut self, memory_use: MemoryUse, bytes: u64) {
        let account = &mut self.accounts[memory_use as usize];
        account.used_bytes = account.used_bytes.saturating_sub(bytes);
    }

    /// Returns the bytes that have to stay free once an owner holds `owned` bytes.
    fn headroom(&self, memory_use: MemoryUse, owned: u64) -> u64 {
        let fraction = match memory_use {
            MemoryUse::ControlBodies | MemoryUse::PeerMessages => return 0,
            MemoryUse::Connections | MemoryUse::UpstreamCalls => CONTROL_HEADROOM,
            MemoryUse::RequestBodies => body_headroom(owned),
        };
        fraction.of(self.limit_bytes)
    }

    /// Returns the bytes that may be held for one use.
    fn use_limit(&self, memory_use: MemoryUse) -> u64 {
        match memory_use {
            MemoryUse::ControlBodies | MemoryUse::PeerMessages => CONTROL_FRACTION.of(self.limit_bytes),
            _ => self.limit_bytes,
        }
    }
}

/// Returns the part of the limit that has to stay free once a request body has this size.
fn body_headroom(size: u64) -> Fraction {
    let exceeded = BODY_HEADROOMS.iter().rev().find(|(threshold, _)| size > *threshold);
    exceeded.map_or(CONTROL_HEADROOM, |(_, fraction)| *fraction)
}

#[cfg(test)]
#[path = "memory_budget/tests.rs"]
mod tests;
