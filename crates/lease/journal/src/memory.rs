//! An in-memory disk for tests that distinguishes written from durable data and injects faults.

use crate::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// A fault that persists until another one is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The disk is full: every append fails, and every second one leaves half of its bytes in the file.
    Full,
    /// `sync` fails, and data that is not durable yet never will be.
    SyncFails,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    durable: BTreeMap<String, Vec<u8>>,
    /// Number of bytes of each file in `files` that `sync` made durable. The entry follows the file on a
    /// rename.
    synced: BTreeMap<String, usize>,
    fault: Fault,
    failed_appends: u64,
}

/// An in-memory disk. Clones share the same data, so that a test can access what the code under test uses.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Rc<RefCell<State>>);

impl MemoryDisk {
    /// Sets the fault of the disk.
    pub fn set_fault(&self, fault: Fault) {
        self.0.borrow_mut().fault = fault;
    }

    /// Simulates a power loss. Data that is not durable is lost, except for the first `keep` bytes of it in
    /// each file (a torn write).
    pub fn lose_power(&self, keep: usize) {
        let state = &mut *self.0.borrow_mut();
        let mut after = BTreeMap::new();
        for (name, durable) in &state.durable {
            let mut bytes = durable.clone();
            if let Some(written) = state.files.get(name).filter(|w| w.len() > bytes.len()) {
                let end = written.len().min(bytes.len() + keep);
                bytes.extend_from_slice(&written[bytes.len()..end]);
            }
            after.insert(name.clone(), bytes);
        }
        state.synced = after.iter().map(|(n, b)| (n.clone(), b.len())).collect();
        state.durable = after.clone();
        state.files = after;
    }

    /// Returns an independent copy of the current state, such as an old backup.
    pub fn deep_copy(&self) -> MemoryDisk {
        MemoryDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, name: &str, at: usize) {
        let state = &mut *self.0.borrow_mut();
        for files in [&mut state.files, &mut state.durable] {
            if let Some(byte) = files.get_mut(name).and_then(|b| b.get_mut(at)) {
                *byte ^= 1;
            }
        }
    }
}

fn no_file() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "no such file on the simulated disk")
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.borrow().files.get(name).cloned().ok_or_else(no_file)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let file = state.files.entry(name.to_owned()).or_default();
        if state.fault == Fault::Full {
            state.failed_appends += 1;
            if state.failed_appends % 2 == 0 {
                file.extend_from_slice(&bytes[..bytes.len() / 2]);
            }
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the simulated disk is full"));
        }
        file.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        if state.fault == Fault::SyncFails {
            return Err(io::Error::other("the simulated disk failed to sync"));
        }
        let bytes = state.files.get(name).ok_or_else(no_file)?;
        state.synced.insert(name.to_owned(), bytes.len());
        if state.durable.contains_key(name) {
            state.durable.insert(name.to_owned(), bytes.clone());
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let bytes = state.files.remove(from).ok_or_else(no_file)?;
        state.files.insert(to.to_owned(), bytes);
        let synced = state.synced.remove(from).unwrap_or(0);
        state.synced.insert(to.to_owned(), synced);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.files.remove(name).ok_or_else(no_file)?;
        state.synced.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        if state.fault == Fault::SyncFails {
            return Err(io::Error::other("the simulated disk failed to sync"));
        }
        state.durable = state
            .files
            .iter()
            .map(|(name, bytes)| {
                (
                    name.clone(),
                    bytes[..state.synced.get(name).copied().unwrap_or(0).min(bytes.len())].to_vec(),
                )
            })
            .collect();
        Ok(())
    }
}
