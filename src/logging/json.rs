//! Logger that writes each line as a JSON object.

use std::io;
use std::io::Write;

use env_logger::fmt::Formatter;
use log::Record;
use log::kv;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

use super::Queue;
use crate::adapters::clock;

/// Starts logging to standard output, one JSON object per line, through a non-blocking [`Queue`].
///
/// `process` is the name of this process, which lines contain in the field `process`.
pub fn start_json(process: &str) {
    let process = process.to_owned();
    let queue = Queue::new(io::stdout());
    let environment = env_logger::Env::default().default_filter_or("heatherramp=info");
    // If the process has a logger already, that one stays in place.
    let _ = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .write_style(env_logger::WriteStyle::Never)
        .format(move |out, record| write_line(out, &process, record))
        .try_init();
}

fn write_line(out: &mut Formatter, process: &str, record: &Record) -> io::Result<()> {
    let mut fields = Map::new();
    fields.insert("at_ms".to_owned(), Value::from(clock::wall_ms()));
    fields.insert("process".to_owned(), Value::from(process));
    fields.insert("level".to_owned(), Value::from(record.level().as_str()));
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.insert("message".to_owned(), Value::from(message));
    }
    // `Visitor` never returns an error.
    let _ = record.key_values().visit(&mut Visitor(&mut fields));
    writeln!(out, "{}", Value::Object(fields))
}

/// Copies key-value pairs into a JSON object.
struct Visitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            Value::from(number)
        } else if let Some(flag) = value.to_bool() {
            Value::from(flag)
        } else {
            Value::from(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
