//! Signals that tell the program to end.

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// A flag that SIGTERM and SIGINT raise.
pub fn termination_flag() -> Result<Arc<AtomicBool>, Box<dyn Error>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}
