//! Parts that the scripts of the review share: a record, an HTTP client, processes of the system as
//! the deploy file starts them, and upstream VMs that follow the platform's protocol.
#![allow(dead_code)]

pub mod http;
pub mod proxy;
pub mod site;
pub mod vm;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

/// Why a case could not be carried out.
pub type Fault = String;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

struct Record {
    file: File,
    started: Instant,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();

/// Milliseconds since the record was opened.
pub fn now_ms() -> u64 {
    let record = RECORD.get().expect("the record is open").lock().unwrap();
    record.started.elapsed().as_millis() as u64
}

/// Writes one line to the record, with the time since the start.
pub fn note(text: impl AsRef<str>) {
    let mut record = RECORD.get().expect("the record is open").lock().unwrap();
    let at = record.started.elapsed().as_secs_f64();
    let _ = writeln!(record.file, "{at:8.3} s  {}", text.as_ref());
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until `is_reached` returns a value, checking every 20 ms.
pub fn wait_for<T>(what: &str, limit_ms: u64, mut is_reached: impl FnMut() -> Option<T>) -> Result<T, Fault> {
    let started = Instant::now();
    loop {
        if let Some(value) = is_reached() {
            return Ok(value);
        }
        if started.elapsed() > Duration::from_millis(limit_ms) {
            return Err(format!("not reached in {limit_ms} ms: {what}"));
        }
        sleep_ms(20);
    }
}

/// Runs one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
///
/// The first argument is the path of the record.
pub fn run(case: impl FnOnce(bool) -> Result<Verdict, Fault>) -> ExitCode {
    let path = PathBuf::from(std::env::args().nth(1).expect("the path of the record"));
    let file = File::create(path).expect("the record can be written");
    let started = Instant::now();
    let _ = RECORD.set(Mutex::new(Record { file, started }));
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    note(format!("disruption: {}", if with_trouble { "yes" } else { "no" }));
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(with_trouble)));
    let (text, code) = match result {
        Ok(Ok(Verdict::Held)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Verdict::Broken)) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Ok(Err(fault)) => (format!("the case could not run: {fault}"), 2),
        Err(_) => ("the case could not run: panic".to_owned(), 2),
    };
    note(&text);
    println!("{text}");
    ExitCode::from(code)
}
