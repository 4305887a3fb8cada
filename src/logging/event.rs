//! One kind of log line.

use std::fmt;

use log::Level;
use log::Record;
use log::kv::Value;

/// Kind of log line, with its number.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number, stable across versions.
    pub code: u16,
    /// Level.
    pub level: Level,
    /// Short name.
    pub name: &'static str,
    /// Module that emits it.
    pub module: &'static str,
}

impl Event {
    /// Writes one line with the event's number and name before `details`.
    pub fn log(&self, details: fmt::Arguments) {
        log::log!(target: "heatherramp", self.level, "E{:03} {} {}", self.code, self.name, details);
    }

    /// Writes one line with the event's number, its name and `fields` as key-values.
    pub fn log_fields(&self, fields: &[(&str, Value)]) {
        if !log::log_enabled!(target: "heatherramp", self.level) {
            return;
        }
        let code = u64::from(self.code);
        let head = [("code", Value::from(code)), ("event", Value::from(self.name))];
        let pairs: Vec<(&str, Value)> = head.into_iter().chain(fields.iter().cloned()).collect();
        let record = Record::builder()
            .target("heatherramp")
            .level(self.level)
            .args(format_args!(""))
            .key_values(&pairs)
            .build();
        log::logger().log(&record);
    }
}
