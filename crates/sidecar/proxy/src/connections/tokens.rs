//! Poller tokens. A token names the slot of a connection and a generation, which tells the slot's connection
//! from earlier ones.

use mio::Token;

pub const LISTENER: Token = Token(0);
pub const SIGNALS: Token = Token(1);
pub const DISCOVERY: Token = Token(2);
const FIRST_CONNECTION_TOKEN: usize = 4;

/// Bits of a token for the slot, and for the generation above it. Both together stay below the tokens of the
/// admin connections.
const SLOT_BITS: u32 = 20;
const GENERATION_BITS: u32 = 18;

/// The owner of a token: its slot, and the generation of the connection that the token was given to.
pub enum Owner {
    Client(usize, usize),
    Upstream(usize, usize),
}

pub fn owner(token: Token) -> Owner {
    let n = token.0 - FIRST_CONNECTION_TOKEN;
    let (slot, generation) = ((n >> 1) & ((1 << SLOT_BITS) - 1), n >> (SLOT_BITS + 1));
    if n % 2 == 0 {
        Owner::Client(slot, generation)
    } else {
        Owner::Upstream(slot, generation)
    }
}

/// Returns the generation of the connection with this serial number.
pub fn generation(serial: u64) -> usize {
    serial as usize & ((1 << GENERATION_BITS) - 1)
}

pub fn client_token(key: usize, serial: u64) -> Token {
    Token(FIRST_CONNECTION_TOKEN + (generation(serial) << (SLOT_BITS + 1)) + key * 2)
}

pub fn upstream_token(key: usize, serial: u64) -> Token {
    Token(client_token(key, serial).0 + 1)
}

#[cfg(test)]
mod tests;
