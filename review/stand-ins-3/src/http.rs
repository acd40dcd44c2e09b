//! HTTP/1.1 over TCP, as far as the platform's calls need it.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    /// The path with the query.
    pub path: String,
    pub body: Vec<u8>,
}

/// Serves each connection in a thread of its own.
pub fn serve(
    address: SocketAddrV4,
    handler: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(&Request) -> (u16, String) + ?Sized),
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut words = first.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let body = read_body(&mut reader)?;
        let (status, body) = handler(&Request { method, path, body });
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes())?;
    }
}

/// Reads the header fields and the body.
fn read_body(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Makes one call on a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let body = read_body(&mut reader).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
