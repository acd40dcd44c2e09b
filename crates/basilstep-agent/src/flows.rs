//! The flows of callers: QUIC connections with HTTP/3 requests.

use crate::{
    exchange::{self, AnswerBody, CallerBody},
    shared::Shared,
    target::remove_hop_by_hop,
};
use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{Request, Response};
use http_body_util::BodyExt;
use quinn::{Endpoint, Incoming};
use std::sync::Arc;

type AnswerStream = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// Accepts flows until the endpoint is closed.
pub async fn accept_flows(shared: Arc<Shared>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move { serve_flow(shared, incoming).await });
    }
}

async fn serve_flow(shared: Arc<Shared>, incoming: Incoming) {
    let Ok(connection) = incoming.await else {
        return;
    };
    let builder = h3::server::builder();
    let Ok(mut http) = builder
        .build::<_, Bytes>(h3_quinn::Connection::new(connection))
        .await
    else {
        return;
    };
    while let Ok(Some(resolver)) = http.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            if let Ok((request, stream)) = resolver.resolve_request().await {
                serve_request(&shared, request, stream).await;
            }
        });
    }
}

async fn serve_request(
    shared: &Arc<Shared>,
    request: Request<()>,
    stream: RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>,
) {
    let (answers, body) = stream.split();
    let request = request.map(|()| CallerBody::new(body));
    let response = exchange::answer(shared, request).await;
    send_answer(response, answers).await;
}

/// Passes an answer on; a body that breaks off resets the stream, so that it never looks whole.
async fn send_answer(response: Response<AnswerBody>, mut stream: AnswerStream) {
    let (mut head, mut body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_3;
    if stream.send_response(Response::from_parts(head, ())).await.is_err() {
        return;
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
            return;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if stream.send_data(data).await.is_err() {
            return;
        }
    }
    // The caller has gone when this fails, and nobody is left to tell.
    let _ = stream.finish().await;
}
