//! Stand-ins for the review's scripts: the platform that starts the sidecars, the operator, endpoints and clients.
//!
//! They speak what `PROTOCOL.md` says, over loopback addresses only, and keep a record of what was sent, answered and run.

pub mod endpoint;
pub mod fleet;
pub mod http;
pub mod record;

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is to be left out (`TROUBLE=0`).
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Runs a case and ends the process with its exit code. A case that cannot run reports why.
pub fn run_case(case: impl FnOnce() -> Result<bool, String>) -> ! {
    let code = match case() {
        Ok(true) => BROKEN,
        Ok(false) => HELD,
        Err(problem) => {
            record::note(&format!("the case could not run: {problem}"));
            NOT_RUN
        }
    };
    record::note(&format!("exit code {code}"));
    std::process::exit(code)
}
