//! Sends one HTTP/1.1 request to the target or to another agent, each on a new connection.

mod early_answer;
#[cfg(test)]
mod tests;

use basilstep_core::{codes::ResultCode, requests::FailureReason};
use bytes::Bytes;
use early_answer::EarlyAnswerStream;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body::Body;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddrV4, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// The timeout for connecting; the peer is in the same data-centre cage.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Includes the fields that make a message malformed in HTTP/3 (RFC 9114, section 4.2).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

/// An open HTTP/1.1 connection on which no request has been sent yet.
#[derive(Debug)]
pub struct UpstreamConnection<B> {
    sender: http1::SendRequest<B>,
}

impl<B> UpstreamConnection<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Opens the connection. When this fails, no byte of a request has been sent.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::TargetUnreachable`] when the peer does not accept the connection in
    /// time.
    pub async fn open(address: SocketAddrV4) -> Result<Self, ResultCode> {
        let unreachable = ResultCode::TargetUnreachable;
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .or(Err(unreachable))?
            .or(Err(unreachable))?;
        stream.set_nodelay(true).or(Err(unreachable))?;
        let (sender, connection) = http1::handshake(TokioIo::new(EarlyAnswerStream::new(stream)))
            .await
            .or(Err(unreachable))?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends the request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`FailureReason::BodyBrokenOff`] when the body of the request fails, and
    /// [`FailureReason::TargetLost`] when the connection fails before the response head arrives.
    pub async fn send(mut self, request: Request<B>) -> Result<Response<Incoming>, FailureReason> {
        let response = self.sender.send_request(request).await;
        response.map_err(|error| {
            if error.is_user() || error.is_body_write_aborted() {
                FailureReason::BodyBrokenOff
            } else {
                FailureReason::TargetLost
            }
        })
    }
}

/// Removes hop-by-hop headers, which apply to a single connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}
