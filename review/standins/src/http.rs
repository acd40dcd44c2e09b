//! HTTP/1.1: a client for one call at a time, and the reading of requests.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

/// Makes a call on a new connection and returns the status.
pub fn call(address: SocketAddrV4, method: &str, path: &str, body: &str) -> io::Result<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit)?;
    stream.set_read_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.ok_or_else(|| io::Error::other("no status"))
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut words = first.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        query,
        body: String::from_utf8(body).ok()?,
    })
}

pub fn answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}
