//! The part of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, values as bytes.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_slice())
    }

    /// First value of a header as text.
    pub fn text(&self, name: &str) -> String {
        String::from_utf8_lossy(self.header(name).unwrap_or_default()).into_owned()
    }

    /// Second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    /// Reads a whole message; none if the connection ends before the first byte.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_chunked = message.text("transfer-encoding").eq_ignore_ascii_case("chunked");
        let length = message
            .header("content-length")
            .map(|_| message.text("content-length"));
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = length {
            let length = length.trim().parse().map_err(|_| invalid("content-length"))?;
            message.body = self.take(length)?;
        } else if is_response {
            message.body = std::mem::take(&mut self.rest);
            self.stream.read_to_end(&mut message.body)?;
        }
        Ok(Some(message))
    }

    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(invalid("the connection ended inside a head")),
                };
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let mut lines = head[..end].split(|b| *b == b'\n');
        let start = lines.next().unwrap_or_default();
        let start = String::from_utf8_lossy(start).trim_end().to_owned();
        let mut headers = Vec::new();
        for line in lines {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let colon = line
                .iter()
                .position(|b| *b == b':')
                .ok_or_else(|| invalid("header"))?;
            let name = String::from_utf8_lossy(&line[..colon]).to_lowercase();
            headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
        }
        Ok(Some(Message {
            start,
            headers,
            body: Vec::new(),
        }))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk"))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.read_line()?;
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.rest.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(invalid("the connection ended inside a body"));
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(invalid("the connection ended inside a body"));
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let length = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(length)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Sends one request on a new connection and returns the response.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.write(request)?;
    let response = connection.read(true)?;
    response.ok_or_else(|| invalid("the connection ended without a response"))
}

/// Request with a body and these header lines.
pub fn request(method: &str, path: &str, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
