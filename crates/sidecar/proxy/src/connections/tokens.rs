//! The poller's tokens: whose connection an event is of, and whether its slot has a new owner since.

use mio::Token;

pub const LISTENER: Token = Token(0);
pub const SIGNALS: Token = Token(1);
pub const DISCOVERY: Token = Token(2);
const FIRST: usize = 4;

/// Bits of a token that hold the slot, and those that hold the generation above them: both stay below the tokens of
/// operators' connections.
const SLOT_BITS: u32 = 20;
const GENERATION_BITS: u32 = 18;

/// Whose token it is: its slot, and the generation of who had the slot when the token was given.
pub enum Owner {
    Client(usize, usize),
    Upstream(usize, usize),
}

pub fn owner(token: Token) -> Owner {
    let n = token.0 - FIRST;
    let (slot, generation) = ((n >> 1) & ((1 << SLOT_BITS) - 1), n >> (SLOT_BITS + 1));
    if n % 2 == 0 {
        Owner::Client(slot, generation)
    } else {
        Owner::Upstream(slot, generation)
    }
}

/// The generation of a connection with this number.
pub fn generation(serial: u64) -> usize {
    serial as usize & ((1 << GENERATION_BITS) - 1)
}

pub fn client_token(key: usize, serial: u64) -> Token {
    Token(FIRST + (generation(serial) << (SLOT_BITS + 1)) + key * 2)
}

pub fn upstream_token(key: usize, serial: u64) -> Token {
    Token(client_token(key, serial).0 + 1)
}

#[cfg(test)]
mod tests;
