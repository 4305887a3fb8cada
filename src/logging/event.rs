//! Log event: the kind of a log line.

use std::fmt;

use log::Level;
use log::Record;
use log::kv::Value;

/// Kind of a log line.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number, stable across versions.
    pub code: u16,
    /// Level at which it is logged.
    pub level: Level,
    /// Short name, as logged.
    pub name: &'static str,
    /// Module to which it belongs.
    pub module: &'static str,
}

/// Value of a field that may be absent; `null` in the log.
pub fn optional<'v, T>(value: Option<T>) -> Value<'v>
where
    Value<'v>: From<T>,
{
    value.map_or(Value::null(), Value::from)
}

impl Event {
    /// Logs a line of text: the event's number, its name and `details`.
    pub fn log(&self, details: fmt::Arguments) {
        log::log!(target: "heatherramp", self.level, "E{:03} {} {}", self.code, self.name, details);
    }

    /// Logs the event's number, its name and `fields` as key-value pairs.
    pub fn log_fields(&self, fields: &[(&str, Value)]) {
        if !log::log_enabled!(target: "heatherramp", self.level) {
            return;
        }
        let code = u64::from(self.code);
        let common = [("code", Value::from(code)), ("event", Value::from(self.name))];
        let pairs: Vec<(&str, Value)> = common.into_iter().chain(fields.iter().cloned()).collect();
        let record = Record::builder()
            .target("heatherramp")
            .level(self.level)
            .args(format_args!(""))
            .key_values(&pairs)
            .build();
        log::logger().log(&record);
    }
}
