use super::*;
use crate::admin::FIRST_ADMIN_TOKEN;

// Guards against an event of a connection that has ended, taken for one of the connection that has its slot now: it would
// be read as the new client's end. Guards against tokens that reach those of the operators' connections as well.
#[test]
fn a_token_names_its_slot_and_who_had_it() {
    for (slot, serial) in [(0, 1), (7, 262_143), ((1 << SLOT_BITS) - 1, u64::MAX)] {
        let (client, node) = (client_token(slot, serial), upstream_token(slot, serial));
        assert!(matches!(owner(client), Owner::Client(s, g) if (s, g) == (slot, generation(serial))));
        assert!(matches!(owner(node), Owner::Upstream(s, g) if (s, g) == (slot, generation(serial))));
        assert!([client, node].iter().all(|t| t.0 >= FIRST && t.0 < FIRST_ADMIN_TOKEN));
        assert_ne!(generation(serial), generation(serial.wrapping_add(1)));
    }
}
