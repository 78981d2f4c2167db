//! Signals that tell the program to end.

use std::error::Error;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// A flag that SIGTERM and SIGINT raise.
pub fn told_to_end() -> Result<Arc<AtomicBool>, Box<dyn Error>> {
    let told = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, told.clone())?;
    }
    Ok(told)
}
