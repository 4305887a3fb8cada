//! Logs: lines dropped while the reader stalls, and the timeline of a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use heatherramp::logging::Queue;
use heatherramp::logging::timeline;

/// State of a [`StalledWriter`].
#[derive(Default)]
struct Written {
    // Whether writes return.
    is_open: bool,
    bytes: Vec<u8>,
}

/// Output whose writes block until it is opened.
#[derive(Clone, Default)]
struct StalledWriter(Arc<(Mutex<Written>, Condvar)>);

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (state, change) = &*self.0;
        let mut state = change.wait_while(state.lock().unwrap(), |s| !s.is_open).unwrap();
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines of the test that were written, and lines that were reported as dropped.
fn written_and_dropped(text: &str) -> (usize, usize) {
    let written = text.lines().filter(|line| line.starts_with("line ")).count();
    let count = |line: &str| {
        let object: serde_json::Value = serde_json::from_str(line).ok()?;
        (object["event"] == "lines_dropped").then(|| object["lines"].as_u64().unwrap() as usize)
    };
    (written, text.lines().filter_map(count).sum())
}

#[test]
fn lines_are_dropped_and_counted_while_the_reader_stalls() {
    const LINES: usize = 40_000;
    let out = StalledWriter::default();
    let mut queue = Queue::new(out.clone());
    let started = Instant::now();
    for i in 0..LINES {
        queue.write_all(format!("line {i}\n").as_bytes()).unwrap();
    }
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "the process waits for the reader"
    );
    let (state, change) = &*out.0;
    state.lock().unwrap().is_open = true;
    change.notify_all();
    // The count may be in a batch that waits already, or be reported with the next line.
    let mut extra = 0;
    loop {
        let text = String::from_utf8(state.lock().unwrap().bytes.clone()).unwrap();
        let (written, dropped) = written_and_dropped(&text);
        if written + dropped == LINES + extra {
            assert!(dropped > 0, "no line was dropped");
            assert!(text.contains("line 0\n"));
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "{written} lines written, {dropped} dropped of {}",
            LINES + extra
        );
        queue.write_all(b"line more\n").unwrap();
        extra += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Output that takes all at once, and records the longest write.
struct RecordingWriter {
    longest: Arc<AtomicUsize>,
}

impl Write for RecordingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.longest.fetch_max(bytes.len(), Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are gathered in memory and never written while others keep coming.
#[test]
fn lines_are_written_while_others_keep_coming() {
    const LINE: &str = "a line of 32 bytes, its end too\n";
    let longest: Arc<AtomicUsize> = Arc::default();
    let out = RecordingWriter {
        longest: longest.clone(),
    };
    let mut queue = Queue::new(out);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        queue.write_all(LINE.as_bytes()).unwrap();
    }
    let longest = longest.load(Ordering::Relaxed);
    assert!(longest > 0, "nothing was written");
    assert!(longest < 9_000 * LINE.len(), "a batch of {longest} bytes");
}

/// Merged logs of a gateway and a controller; each line has a time and a process name before its object.
const LOGS: &str = r#"
 1.0 edge-1 {"at_ms":1000,"event":"request_sent","process":"edge-1","request":"a","target":"vm1","load":3}
 1.1 edge-1 {"at_ms":1100,"event":"request_sent","process":"edge-1","request":"b","target":"vm1","load":4}
 2.0 edge-1 {"at_ms":2000,"event":"send_failed","process":"edge-1","request":"a","target":"vm1","reason":"no answer in time"}
 0.9 core-1 {"at_ms":900,"event":"vm_ordered","process":"core-1","vm":"vm1","group":7,"task":"Open"}
 2.1 core-1 {"at_ms":2100,"event":"group_lost","process":"core-1","group":7,"loss":"Silent","vm":"vm2"}
 2.2 core-1 {"at_ms":2200,"event":"group_lost","process":"core-1","group":8,"loss":"Silent","vm":"vm3"}
 9.9 core-1 {"at_ms":99000,"event":"group_opened","process":"core-1","group":7}
 not a line of the log
"#;

#[test]
fn the_timeline_of_a_request_includes_the_loss_of_its_target_group() {
    let lines = timeline("a", LOGS.lines());
    let events: Vec<(u64, &str)> = lines.iter().map(|l| (l.at_ms, l.event.as_str())).collect();
    let expected = [
        (900, "vm_ordered"),
        (1_000, "request_sent"),
        (2_000, "send_failed"),
        (2_100, "group_lost"),
    ];
    assert_eq!(events, expected);
    assert!(lines[3].fields.contains("loss=Silent"));
}

#[test]
fn the_timeline_of_an_unknown_request_is_empty() {
    assert!(timeline("z", LOGS.lines()).is_empty());
}
