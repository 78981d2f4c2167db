//! Termination signals.

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Returns a flag that SIGTERM and SIGINT set.
pub fn termination_flag() -> Result<Arc<AtomicBool>, Box<dyn Error>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    Ok(flag)
}
