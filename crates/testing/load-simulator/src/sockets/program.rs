//! The real program as a child process with its own configuration.

use serde_json::Value;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time within which a started sidecar has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A sidecar process. Dropping it kills the process and deletes the configuration.
pub struct Program {
    child: Child,
    file: PathBuf,
}

impl Program {
    /// Starts the program with a configuration and waits until it is ready. Its output is discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started, ends, or is not ready in time.
    pub fn start(program: &Path, config: &Value) -> io::Result<Program> {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let file = std::env::temp_dir()
            .join(format!("passrelay-load-simulator-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string())?;
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", program.display()));
        let child = Command::new(program)
            .arg("run")
            .env("RELAY_CONFIG", &file)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(named);
        let mut started = match child {
            Ok(child) => Program { child, file },
            Err(e) => {
                let _ = std::fs::remove_file(&file);
                return Err(e);
            }
        };
        let address = config["listen"].as_str().unwrap_or_default().to_owned();
        let began = Instant::now();
        while !is_ready(&address) {
            if let Some(status) = started.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "{} ended before it was ready: {status}",
                    program.display()
                )));
            }
            if began.elapsed() > READY_TIMEOUT {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("the sidecar at {address} was not ready within {READY_TIMEOUT:?}"),
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(started)
    }

    /// Returns the CPU time that the process has used so far in seconds, if the system reports it.
    pub fn cpu_s(&self) -> Option<f64> {
        cpu_of(&format!("/proc/{}/stat", self.child.id()))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Reads the CPU time in seconds from a file in the format of `/proc/PID/stat`. Returns `None` if it cannot be read.
pub fn cpu_of(path: &str) -> Option<f64> {
    let text = std::fs::read_to_string(path).ok()?;
    // The process name in parentheses may contain spaces; the fields after it are needed.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    // Linux reports these in hundredths of a second to all programs.
    Some(ticks / 100.0)
}

/// The beginning of a response that says that the sidecar is ready.
const READY_STATUS: &[u8; 13] = b"HTTP/1.1 200 ";

fn is_ready(address: &str) -> bool {
    use std::io::{Read, Write};
    let Ok(mut sock) = TcpStream::connect(address) else { return false };
    let _ = sock.set_read_timeout(Some(Duration::from_secs(1)));
    if sock.write_all(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let mut start = [0; READY_STATUS.len()];
    sock.read_exact(&mut start).is_ok() && start == *READY_STATUS
}
