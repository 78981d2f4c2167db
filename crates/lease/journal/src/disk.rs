//! File work as a trait, and the real one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The files of one folder. Nothing is lasting before `sync` (bytes) or `sync_directory` (names) returned well.
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    ///
    /// As the system says.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All bytes of a file.
    ///
    /// # Errors
    ///
    /// As the system says.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Puts bytes at the end of a file, which is made if it isn't there. After an error part of them may be
    /// in the file.
    ///
    /// # Errors
    ///
    /// As the system says; a full disk is `StorageFull`.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Brings the bytes of a file to the medium.
    ///
    /// # Errors
    ///
    /// As the system says. After an error nobody knows what is on the medium: the file must not be used on.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in place of a file that had it.
    ///
    /// # Errors
    ///
    /// As the system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a file away.
    ///
    /// # Errors
    ///
    /// As the system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Brings the names of the folder to the medium.
    ///
    /// # Errors
    ///
    /// As the system says.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A folder of the system's file system, held by a lock so that no second process opens it.
pub struct DirectoryDisk {
    folder: PathBuf,
    /// Files open for appending, by name: two at the most, the journal and the one that takes its place.
    open: Vec<(String, File)>,
    _lock: File,
}

/// The file whose lock keeps a second process out.
const LOCK: &str = "lock";

impl DirectoryDisk {
    /// Opens a folder, which is made if it isn't there.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be made or another process holds it.
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
            .map_err(|_| named(io::Error::new(io::ErrorKind::WouldBlock, "held by another process")))?;
        Ok(DirectoryDisk { folder: folder.to_owned(), open: Vec::new(), _lock: lock })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if let Some(at) = self.open.iter().position(|(n, _)| n == name) {
            return Ok(&mut self.open[at].1);
        }
        let file = OpenOptions::new().create(true).append(true).open(self.folder.join(name))?;
        self.open.push((name.to_owned(), file));
        Ok(&mut self.open.last_mut().expect("just pushed").1)
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
