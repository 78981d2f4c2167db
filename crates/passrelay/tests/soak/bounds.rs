//! The bounds that a soak's processes are told and that its checks hold them to.

use std::time::Duration;

/// A machine is in touch when nothing has disturbed it, or the core, for this long.
pub const CONTACT: Duration = Duration::from_millis(4_000);
/// An order has to be acknowledged within this time of calm.
pub const ACK: Duration = Duration::from_millis(5_000);
/// From the acknowledgement of a change until it is in force at all machines in touch.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// What a core that is not stable may add to that.
pub const MAX_STRETCH: Duration = Duration::from_millis(6_000);
/// From the acknowledgement of a revocation until no process serves the key.
pub const REVOKE: Duration = Duration::from_millis(5_000);
/// From SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(8);
/// From the return of the machines until the service is there again.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// A member that has been away counts as lost for this much longer.
pub const CATCH_UP: Duration = Duration::from_secs(6);
/// Share of a service's requests that a bad version may get before its deadline ...
pub const EXPOSURE_RATIO: f64 = 0.1;
/// ... and as many requests more.
pub const EXPOSURE_SLACK: f64 = 50.0;

/// The lines of the settings file that tell these bounds.
pub fn settings() -> Vec<String> {
    let line = |name: &str, value: u128| format!("bounds.{name}={value}");
    vec![
        "contracts=base,drain,config,cost,retry,recover,health,pool,rollout,engine,stream,tenants,quota"
            .into(),
        line("ack-ms", ACK.as_millis()),
        line("contact-ms", CONTACT.as_millis()),
        line("config-apply-ms", CONFIG_APPLY.as_millis()),
        line("max-stretch-ms", MAX_STRETCH.as_millis()),
        line("revoke-ms", REVOKE.as_millis()),
        line("recovery-s", RECOVERY.as_secs().into()),
        format!("bounds.exposure-ratio={EXPOSURE_RATIO}"),
        format!("bounds.exposure-slack={EXPOSURE_SLACK}"),
        line("rollback-ms", 5_000),
    ]
}
