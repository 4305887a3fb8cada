//! File operations of the data folder, behind a trait so that tests can crash at each of them.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

/// File operations; each returns after its stated effect, or with the I/O error.
pub trait Files {
    /// Whole content of a file, or `None` when it does not exist.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Appends bytes and creates a missing file; not durable before `sync`.
    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Replaces the content of a file; not durable before `sync`.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes; not durable before `sync`.
    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, path: &Path) -> io::Result<()>;
    /// Renames a file and replaces `to`; not durable before `sync_folder`.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the file names in a folder durable.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// File system of the operating system; the file that was last appended to is kept open.
#[derive(Debug, Default)]
pub struct Filesystem {
    append_file: Option<(std::path::PathBuf, File)>,
}

impl Filesystem {
    fn open_for_append(&mut self, path: &Path) -> io::Result<&mut File> {
        let is_open = self.append_file.as_ref().is_some_and(|(p, _)| p == path);
        if !is_open {
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.append_file = Some((path.to_owned(), file));
        }
        let file = self.append_file.as_mut().map(|(_, file)| file);
        file.ok_or_else(|| io::Error::other("no file is open for appending"))
    }

    fn close(&mut self, path: &Path) {
        if self.append_file.as_ref().is_some_and(|(p, _)| p == path) {
            self.append_file = None;
        }
    }
}

impl Files for Filesystem {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(path)?.write_all(bytes)
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.close(path);
        fs::write(path, bytes)
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        self.close(path);
        OpenOptions::new().write(true).open(path)?.set_len(length)
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        if let Some((_, file)) = self.append_file.as_ref().filter(|(p, _)| p == path) {
            return file.sync_data();
        }
        File::open(path)?.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(from, to)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}
