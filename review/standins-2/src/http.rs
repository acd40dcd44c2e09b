//! HTTP/1.1, as far as the store, the pings and the readiness probes need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves each connection in a thread of its own until the process ends.
pub fn serve(
    address: SocketAddrV4,
    answer: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || serve_connection(&stream, &*answer));
        }
    });
    Ok(())
}

fn serve_connection(stream: &TcpStream, answer: &(impl Fn(&Request) -> Response + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let response = answer(&request);
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        let mut writer = stream;
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|bytes| *bytes > 0)?;
    let mut parts = line.split_whitespace();
    let method = parts.next()?.to_owned();
    let target = parts.next()?.to_owned();
    let body = read_body(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body,
    })
}

fn read_body(reader: &mut impl BufRead) -> Option<String> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|bytes| *bytes > 0)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address.into(), limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(text.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or_else(|| io::Error::other("no status"))?;
    let body = read_body(&mut reader).unwrap_or_default();
    Ok(Response { status, body })
}
