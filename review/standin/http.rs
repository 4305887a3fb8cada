//! HTTP/1.1 over blocking sockets: a client for one call, and reading of requests for a server.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; none if the connection ends first.
pub fn read_head(input: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Some(message);
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            _ => message.first_line = line.to_owned(),
        }
    }
}

/// Reads the body of `message`, by length, in chunks or to the end; false if it breaks off.
pub fn read_body(input: &mut impl BufRead, message: &mut Message, is_answer: bool) -> bool {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut chunk = vec![0; length + 2];
            if input.read_exact(&mut chunk).is_err() {
                return false;
            }
            if length == 0 {
                return true;
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = message.header("content-length").and_then(|l| l.parse().ok()) {
        let mut body = vec![0; length];
        let is_whole = input.read_exact(&mut body).is_ok();
        message.body = body;
        return is_whole;
    }
    !is_answer || input.read_to_end(&mut message.body).is_ok()
}

/// Answer to one call; the flag tells whether its body is complete.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit_ms: u64,
) -> Option<(Message, bool)> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let mut message = read_head(&mut input)?;
    let is_whole = read_body(&mut input, &mut message, true);
    Some((message, is_whole))
}
