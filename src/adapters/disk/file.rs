//! File operations that the data folder needs, so that tests can cut them short.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

/// File operations; each returns only when its effect is as stated.
pub trait Files {
    /// Whole content, or `None` when there is no such file.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Appends bytes, not yet durable.
    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Replaces the content with bytes, not yet durable.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to `length` bytes, not yet durable.
    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, path: &Path) -> io::Result<()>;
    /// Renames a file, not yet durable.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the names in a folder durable.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// Files of the operating system; the file last appended to stays open.
#[derive(Debug, Default)]
pub struct OsFiles {
    open: Option<(std::path::PathBuf, File)>,
}

impl OsFiles {
    fn appending(&mut self, path: &Path) -> io::Result<&mut File> {
        let is_open = self.open.as_ref().is_some_and(|(p, _)| p == path);
        if !is_open {
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.open = Some((path.to_owned(), file));
        }
        let open = self.open.as_mut().map(|(_, file)| file);
        open.ok_or_else(|| io::Error::other("no open file"))
    }

    fn close(&mut self, path: &Path) {
        if self.open.as_ref().is_some_and(|(p, _)| p == path) {
            self.open = None;
        }
    }
}

impl Files for OsFiles {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.appending(path)?.write_all(bytes)
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
        if let Some((_, file)) = self.open.as_ref().filter(|(p, _)| p == path) {
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
