//! Memory and file descriptors of a process according to the kernel, including bytes that have arrived on its sockets and have
//! not been read yet.

use std::collections::HashSet;
use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Resources that a process uses at one time, or the maximum of each over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory and unread bytes in sockets, in bytes.
    pub memory_bytes: u64,
    /// Unread bytes in sockets alone.
    pub unread_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl ResourceUsage {
    /// Reads the current usage of a process. `address` is that of its listeners, whose connections also count before they are
    /// accepted. Returns `None` once the process has ended.
    pub fn of(pid: u32, address: IpAddr) -> Option<ResourceUsage> {
        let resident = resident_bytes(pid)?;
        let (descriptors, sockets) = open_descriptors(pid)?;
        let unread_bytes = unread_bytes(&sockets, address);
        Some(ResourceUsage { memory_bytes: resident + unread_bytes, unread_bytes, descriptors })
    }

    fn maximum(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Samples the resource usage of a process until it is stopped.
pub struct UsageRecorder {
    stopped: Arc<AtomicBool>,
    sampler: JoinHandle<ResourceUsage>,
    pid: u32,
}

impl UsageRecorder {
    /// Starts sampling the process `pid` whose listeners have `address`.
    pub fn start(pid: u32, address: IpAddr) -> UsageRecorder {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        let sampler = thread::spawn(move || {
            let mut peak = ResourceUsage::default();
            while let Some(usage) = ResourceUsage::of(pid, address) {
                peak = peak.maximum(usage);
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        UsageRecorder { stopped, sampler, pid }
    }

    /// Stops sampling. Returns the maximum of each figure; the memory is at least the peak that the kernel has recorded.
    ///
    /// # Panics
    ///
    /// Panics if the sampling thread has panicked.
    pub fn stop(self) -> ResourceUsage {
        self.stopped.store(true, Ordering::SeqCst);
        let mut peak = self.sampler.join().expect("the sampler panicked");
        peak.memory_bytes = peak.memory_bytes.max(status_bytes(self.pid, "VmHWM:").unwrap_or(0));
        peak
    }
}

fn resident_bytes(pid: u32) -> Option<u64> {
    status_bytes(pid, "VmRSS:")
}

/// Returns a field of `/proc/PID/status` that is given in kB, in bytes.
fn status_bytes(pid: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    let kilobytes: u64 = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Returns the number of open descriptors and the inodes of the sockets among them.
fn open_descriptors(pid: u32) -> Option<(usize, HashSet<u64>)> {
    let directory = format!("/proc/{pid}/fd");
    let mut count = 0;
    let mut sockets = HashSet::new();
    for entry in std::fs::read_dir(directory).ok()?.map_while(Result::ok) {
        count += 1;
        sockets.extend(socket_inode(&entry.path()));
    }
    Some((count, sockets))
}

fn socket_inode(descriptor: &Path) -> Option<u64> {
    let target = std::fs::read_link(descriptor).ok()?;
    target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
}

/// Returns the unread bytes of the sockets with these inodes, and of connections to `address` that are not accepted yet.
fn unread_bytes(inodes: &HashSet<u64>, address: IpAddr) -> u64 {
    let list = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let own = listed_ip(address);
    list.lines().skip(1).filter_map(|line| unread_bytes_of_entry(line, inodes, &own)).sum()
}

/// Returns the unread bytes of one line of `/proc/net/tcp`, if it is a connection that counts.
fn unread_bytes_of_entry(entry: &str, inodes: &HashSet<u64>, own_ip: &str) -> Option<u64> {
    const LISTENING: &str = "0A";
    let columns: Vec<&str> = entry.split_ascii_whitespace().collect();
    let (local, state, queues) = (columns.get(1)?, columns.get(3)?, columns.get(4)?);
    let inode: u64 = columns.get(9)?.parse().ok()?;
    let is_pending = inode == 0 && local.starts_with(own_ip);
    if *state == LISTENING || !(inodes.contains(&inode) || is_pending) {
        return None;
    }
    let (_, received) = queues.split_once(':')?;
    u64::from_str_radix(received, 16).ok()
}

/// Formats an IPv4 address as in `/proc/net/tcp`.
fn listed_ip(address: IpAddr) -> String {
    match address {
        IpAddr::V4(address) => {
            let [a, b, c, d] = address.octets();
            format!("{d:02X}{c:02X}{b:02X}{a:02X}:")
        }
        IpAddr::V6(address) => panic!("{address} is not listed in /proc/net/tcp"),
    }
}
