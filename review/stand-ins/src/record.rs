//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        self.at(Instant::now(), text);
    }

    pub fn at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} s  {text}");
    }

    /// Writes a line that is also shown on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
