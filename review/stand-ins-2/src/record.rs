//! The record of a run: one line for each event, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record at the path in `RECORD`.
pub fn open() -> Result<(), String> {
    let path = std::env::var("RECORD").map_err(|_| "RECORD is not set".to_owned())?;
    let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
    RECORD.set((Instant::now(), Mutex::new(file))).map_err(|_| "the record is open already".to_owned())
}

/// Writes one line.
pub fn note(text: &str) {
    let Some((started, file)) = RECORD.get() else {
        eprintln!("{text}");
        return;
    };
    let line = format!("{:8.3} s  {text}\n", started.elapsed().as_secs_f64());
    if let Ok(mut file) = file.lock() {
        let _ = file.write_all(line.as_bytes());
    }
}
