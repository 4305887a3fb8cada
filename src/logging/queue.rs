//! Bounded queue between a process and its log output.
//!
//! While the reader of the output stalls, lines are dropped and counted; the process
//! never waits for that reader.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Lines that may wait to be written; more are dropped.
const MAX_QUEUED_LINES: usize = 8_192;
/// Pause of the writer thread after each batch; limits it to 20 wake-ups per second.
const BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Writer that never blocks; callers write one whole line at a time.
#[derive(Clone, Debug)]
pub struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Creates a queue and starts the thread that writes its lines to `out`.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = dropped.clone();
        let writer = thread::Builder::new().name("log".to_owned());
        // If the thread cannot be started, every line counts as dropped.
        let _ = writer.spawn(move || write_batches(&receiver, &count, out));
        Queue { lines, dropped }
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_batches(lines: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        // Without a limit, callers that log all the time would keep the batch from ever being written.
        for line in lines.try_iter().take(MAX_QUEUED_LINES) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!("{{\"code\":104,\"event\":\"lines_dropped\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // A failure of the log itself cannot be reported anywhere.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        thread::sleep(BATCH_PAUSE);
    }
}
