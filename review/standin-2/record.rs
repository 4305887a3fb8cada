//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writer of `record.txt`; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts the record at `path`.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}
