//! How long an HTTP client waits for a response.

use basilstep_node::http::{ClientResponse, HttpClient, HttpError};
use http::Method;
use std::{net::SocketAddrV4, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

/// The time that the client waits for the next part of a response.
const LIMIT: Duration = Duration::from_secs(1);

const PART: &[u8] = b"part";

/// Serves one response of `parts` parts, each `pause` after the one before; the response is
/// complete after `promised_parts`.
async fn spawn_server(parts: usize, promised_parts: usize, pause: Duration) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.unwrap();
        let length = promised_parts * PART.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..parts {
            sleep(pause).await;
            stream.write_all(PART).await.unwrap();
        }
        sleep(LIMIT * 3).await;
    });
    match address {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

async fn call(address: SocketAddrV4) -> Result<ClientResponse, HttpError> {
    let mut client = HttpClient::new(address);
    client.call(Method::GET, "/", &[], LIMIT).await
}

/// Thin links: a large configuration takes longer to arrive than the store takes to answer.
#[tokio::test]
async fn response_that_keeps_arriving_is_read_to_its_end() {
    let address = spawn_server(6, 6, LIMIT / 4).await;
    let response = call(address).await.unwrap();
    assert_eq!(response.body, PART.repeat(6));
}

#[tokio::test]
async fn response_that_stops_arriving_is_given_up() {
    let address = spawn_server(2, 6, LIMIT / 10).await;
    let error = call(address).await.unwrap_err();
    assert!(matches!(error, HttpError::Timeout { .. }), "{error}");
}
