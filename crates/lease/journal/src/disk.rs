//! File operations behind a trait, and their implementation on the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The files of one directory. Content is durable once `sync` has succeeded, names once `sync_directory` has.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created if it doesn't exist. After an error the file may contain
    /// part of them.
    ///
    /// # Errors
    ///
    /// Returns the error of the system; `StorageFull` if the disk is full.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the system. After an error it is unknown which bytes are durable, and the file
    /// must not be used any further.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file and replaces any file of the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of the directory durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of the file system, locked against use by a second process.
pub struct DirectoryDisk {
    folder: PathBuf,
    /// Files open for appending, by name: at most the journal and its replacement.
    open: Vec<(String, File)>,
    _lock: File,
}

/// Name of the lock file.
const LOCK: &str = "lock";

impl DirectoryDisk {
    /// Opens and locks a directory, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or opened, or another process has locked it.
    pub fn open(folder: &Path) -> io::Result<DirectoryDisk> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", folder.display()));
        fs::create_dir_all(folder).map_err(named)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK))
            .map_err(named)?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| named(io::Error::new(io::ErrorKind::WouldBlock, "locked by another process")))?;
        Ok(DirectoryDisk { folder: folder.to_owned(), open: Vec::new(), _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if let Some(at) = self.open.iter().position(|(n, _)| n == name) {
            return Ok(&mut self.open[at].1);
        }
        let file = OpenOptions::new().create(true).append(true).open(self.folder.join(name))?;
        self.open.push((name.to_owned(), file));
        Ok(&mut self.open.last_mut().expect("the file was just added").1)
    }

    fn close(&mut self, name: &str) {
        self.open.retain(|(n, _)| n != name);
    }
}

impl Disk for DirectoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
