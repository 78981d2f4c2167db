//! Experiments on real sockets, all on loopback: simulated nodes and discovery, load generation, and a bare relay.

pub mod bench;
pub mod fleet;
pub mod floor;
pub mod hammer;
pub mod load;
pub mod program;
pub mod wire;

use crate::experiment::Experiment;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the configuration of a sidecar in front of a fleet, in the platform's format.
pub fn sidecar_config(
    e: &Experiment,
    tier: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
) -> Value {
    let (limits, rules) = (&e.limits, &e.rules);
    let classes: Vec<Value> = (e.class.iter())
        .map(|c| {
            let effect = if c.safe { "read_like" } else { "non_idempotent" };
            json!({"Name": c.name, "Aim": c.aim_s, "GiveUp": c.deadline_s, "Gain": c.worth, "Idempotency": effect})
        })
        .collect();
    let tenants: Vec<Value> = (e.tenant.iter())
        .map(|t| {
            let allowance = if t.allowance_per_s.is_finite() { t.allowance_per_s } else { 1e9 };
            json!({"Name": t.name, "AllowancePerS": allowance})
        })
        .collect();
    let names: Vec<&str> = (e.tier[tier].report.fields.iter())
        .map(|f| match f {
            crate::experiment::Field::Util => "cpu",
            crate::experiment::Field::Qps => "rps",
            crate::experiment::Field::Inflight => "active",
            crate::experiment::Field::Queue => "waiting",
        })
        .collect();
    let cold = e.tier[tier].kind.iter();
    let cold_from = cold.clone().map(|k| k.cold_from).fold(1.0, f64::min);
    let warm_within = cold.map(|k| k.cold_s).fold(0.001, f64::max);
    json!({
        "name": "lab", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "Classes": classes, "Tenants": tenants, "Dcs": ["z0"], "Az": "z0", "Balancers": 1, "Rank": 0,
            "RegistryMode": "ask", "Tick": limits.tick_ms / 1e3, "Layers": [e.tier[tier].name], "Layer": 0,
            "OverShareWorth": e.tenant.first().map_or(1.0, |t| t.over_worth),
            "Report": {"Fields": names, "Source": "piggyback"},
            "Deductions": {"Probe": 0.01},
            "Limits": {
                "AttemptsCap": limits.attempts, "Cancel": limits.cancel, "ConnIdle": limits.conn_idle_s,
                "ConnectTimeout": limits.connect_timeout_ms / 1e3, "MaxRetryAfter": limits.retry_after_s,
                "MayDuplicate": limits.duplicates, "Probes": limits.probes, "RetryAfter": limits.retry_after_s > 0.0
            },
            "Rules": {
                "AskEvery": 10.0, "DrainGrace": rules.drain_grace_s, "AnswerSlack": rules.answer_slack_ms / 1e3,
                "ColdFrom": cold_from, "WarmWithin": warm_within, "OverloadFactor": rules.overload_factor,
                "Fall": rules.fall_s
            }
        }
    })
}
