//! Requests from the agent to its target, over HTTP/1.1.

use crate::shared::Shared;
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, header};
use http_body::Body;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::net::TcpStream;

/// The header that names the service to the target.
pub const SERVICE_HEADER: &str = "basilstep-service";

const HOP_BY_HOP: [HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

/// Sends one request to the target and returns the head of its answer.
///
/// # Errors
///
/// Returns a code that says whether the target may have seen the request.
pub async fn send<B>(
    shared: &Arc<Shared>,
    request: Request<B>,
) -> Result<Response<Incoming>, ResultCode>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let stream = TcpStream::connect(shared.settings.target)
        .await
        .or(Err(ResultCode::TargetUnreachable))?;
    stream
        .set_nodelay(true)
        .or(Err(ResultCode::TargetUnreachable))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .or(Err(ResultCode::TargetUnreachable))?;
    tokio::spawn(connection);
    let request = to_target(shared, request);
    sender
        .try_send_request(request)
        .await
        .map_err(|mut failed| {
            if failed.take_message().is_some() {
                ResultCode::TargetUnreachable
            } else {
                ResultCode::TargetLost
            }
        })
}

fn to_target<B>(shared: &Shared, request: Request<B>) -> Request<B> {
    let (mut parts, body) = request.into_parts();
    let authority = parts.uri.authority().map(ToString::to_string);
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    parts.uri = path.parse::<Uri>().unwrap_or_default();
    parts.version = http::Version::HTTP_11;
    remove_hop_by_hop(&mut parts.headers);
    let host = authority.unwrap_or_else(|| shared.settings.target.to_string());
    insert(&mut parts.headers, header::HOST, &host);
    let service = HeaderName::from_static(SERVICE_HEADER);
    insert(&mut parts.headers, service, &shared.settings.service);
    Request::from_parts(parts, body)
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Removes the headers that concern one connection only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}
