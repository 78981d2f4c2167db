//! A disk in memory that keeps apart what was written and what is durable, and fails on order.

use crate::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// A fault that the disk has until it is told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// No room: every second append leaves half of its bytes behind.
    Full,
    /// `sync` fails, and what was not durable yet never will be.
    SyncFails,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    durable: BTreeMap<String, Vec<u8>>,
    /// Bytes of `files` that `sync` brought to the medium, by name: they go where the name goes.
    synced: BTreeMap<String, usize>,
    fault: Fault,
    failed_appends: u64,
}

/// A disk in memory. Clones are the same disk, so that a test holds what the code under test uses.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Rc<RefCell<State>>);

impl MemoryDisk {
    /// From now on the disk has this fault.
    pub fn set_fault(&self, fault: Fault) {
        self.0.borrow_mut().fault = fault;
    }

    /// The power goes: what was not durable is lost, but for the first `keep` bytes of what each file had
    /// beyond it (a torn write).
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

    /// A copy of this disk as it is now, as an old backup would be.
    pub fn deep_copy(&self) -> MemoryDisk {
        MemoryDisk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    /// Turns one bit of a file.
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
    io::Error::new(io::ErrorKind::NotFound, "no such file")
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
            return Err(io::Error::new(io::ErrorKind::StorageFull, "no room left"));
        }
        file.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        if state.fault == Fault::SyncFails {
            return Err(io::Error::other("the medium failed"));
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
            return Err(io::Error::other("the medium failed"));
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
