use super::*;
use crate::admin::FIRST_ADMIN_TOKEN;

// Guards against events of a closed connection that are taken for events of the connection that now uses its
// slot, and so for a disconnect of the new client. Also guards against tokens that overlap those of the admin
// connections.
#[test]
fn a_token_names_its_slot_and_generation() {
    for (slot, serial) in [(0, 1), (7, 262_143), ((1 << SLOT_BITS) - 1, u64::MAX)] {
        let (client, node) = (client_token(slot, serial), upstream_token(slot, serial));
        assert!(matches!(owner(client), Owner::Client(s, g) if (s, g) == (slot, generation(serial))));
        assert!(matches!(owner(node), Owner::Upstream(s, g) if (s, g) == (slot, generation(serial))));
        assert!([client, node].iter().all(|t| t.0 >= FIRST_CONNECTION_TOKEN && t.0 < FIRST_ADMIN_TOKEN));
        assert_ne!(generation(serial), generation(serial.wrapping_add(1)));
    }
}
