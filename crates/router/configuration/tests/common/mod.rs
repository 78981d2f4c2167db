//! A valid document that the tests modify.

use serde_json::{json, Value};

/// Returns a valid document of generation 4 with two routes, two services and two tenants.
pub fn valid_document() -> Value {
    json!({
        "generation": 4,
        "routes": [
            { "name": "a", "hostname": "h.example", "path-prefix": "/a/", "route-type": "safe", "timeout-ms": 500, "backend": "s" },
            { "name": "b", "hostname": "h.example", "path-prefix": "/b/", "route-type": "unsafe", "timeout-ms": 500,
              "traffic-split": [{ "backend": "s", "weight": 90 }, { "backend": "t", "weight": 10 }] },
        ],
        "services": [{ "name": "s" }, { "name": "t" }],
        "tenants": [{ "name": "x", "api-keys": ["k1", "k2"] }, { "name": "y", "api-keys": ["k3"] }],
    })
}
