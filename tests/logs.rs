//! Logs: lines dropped while the reader stalls, and the timeline of a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
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

#[test]
fn lines_are_dropped_and_counted_while_the_reader_stalls() {
    let out = StalledWriter::default();
    let mut queue = Queue::new(out.clone());
    for i in 0..20_000 {
        writeln!(queue, "line {i}").unwrap();
    }
    assert!(queue.dropped() > 0);
    let (state, change) = &*out.0;
    state.lock().unwrap().is_open = true;
    change.notify_all();
    let started = Instant::now();
    loop {
        let text = String::from_utf8(state.lock().unwrap().bytes.clone()).unwrap();
        if text.contains("lines_dropped") && text.contains("line 0\n") {
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(20),
            "the count of dropped lines was not written"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
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
