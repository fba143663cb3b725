//! HTTP/1.1 over blocking sockets: as much of it as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request that a stand-in received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The decoded value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decoded(value))
    }
}

/// An answer that a client received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| &**value)
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(closed());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| closed())?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    match find(headers, "content-length").and_then(|n| n.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_close => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads a request; fails if the connection ends.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(closed());
    };
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    })
}

/// Writes an answer with its length.
pub fn write_answer(
    io: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend(body);
    io.write_all(&out)
}

/// A client's connection to a host.
pub struct Connection {
    io: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let io = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.set_read_timeout(Some(read_timeout))?;
        let reader = BufReader::new(io.try_clone()?);
        Ok(Self { io, reader })
    }

    fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || method == "POST" {
            out += &format!("Content-Length: {}\r\n", body.len());
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        out.extend(body);
        self.io.write_all(&out)
    }

    /// Sends a request and reads the complete answer.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        self.send(method, target, headers, body)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let headers = read_headers(&mut self.reader)?;
        read_body(&mut self.reader, &headers, true)?;
        Ok(Answer {
            status: status.ok_or_else(closed)?,
            headers,
        })
    }
}
