//! HTTP/1.1 client and server.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Request that a server has read whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Answer of a client's call, or of a server.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        Answer {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Answer {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason.to_owned())
}

/// First line and headers of a message; none if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the connection ended inside a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the connection ended inside a body"));
        }
        let digits = line.trim().split(';').next().unwrap_or_default();
        let length = usize::from_str_radix(digits, 16).map_err(|_| broken("no length of a chunk"))?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], until_end: bool) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some() {
        return read_chunks(reader);
    }
    let mut body = Vec::new();
    match header(headers, "content-length").and_then(|value| value.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

/// Reads one answer.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    loop {
        let (first, headers) = read_head(reader)?.ok_or_else(|| broken("closed without an answer"))?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| broken("no status line"))?;
        if (100..200).contains(&status) {
            continue;
        }
        let body = read_body(reader, &headers, true)?;
        return Ok(Answer { status, headers, body });
    }
}

/// Serves `listener` with `handler`, each connection on a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                // An error ends the connection only.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let (method, path) = (word(), word());
        let body = read_body(&mut reader, &headers, false)?;
        let closes = header(&headers, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let answer = handler(Request { method, path, headers, body });
        let mut bytes = format!("HTTP/1.1 {} Status\r\n", answer.status).into_bytes();
        for (name, value) in &answer.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", answer.body.len()).as_bytes());
        bytes.extend_from_slice(&answer.body);
        writer.write_all(&bytes)?;
        if closes {
            break;
        }
    }
    Ok(())
}
