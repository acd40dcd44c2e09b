//! The flows of callers: QUIC connections with HTTP/3 requests.

use crate::{
    exchange::{self, AnswerBody, CallerBody},
    shared::Shared,
    target::remove_hop_by_hop,
};
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::{Request, Response};
use http_body_util::BodyExt;
use quinn::{Connection, Endpoint, Incoming, VarInt};
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
    if shared.own_load().refusal(0).is_some() {
        incoming.refuse();
        return;
    }
    let caller = incoming.remote_address();
    let first_id = incoming.orig_dst_cid();
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    shared.flow_opened(&caller, &first_id);
    if let Ok(connection) = connecting.await {
        serve_connection(&shared, connection).await;
    }
    shared.flow_closed();
}

async fn serve_connection(shared: &Arc<Shared>, connection: Connection) {
    tokio::select! {
        () = serve_requests(shared, connection.clone()) => {}
        () = domain_out(shared) => close(&connection, ResultCode::FlowDomainOut),
    }
    // Requests that still run hold the connection; its end is the end of the flow.
    connection.closed().await;
}

/// Waits until operators take the agent's failure domain out.
async fn domain_out(shared: &Shared) {
    let mut in_force = shared.watch_in_force();
    if in_force
        .wait_for(|settings| settings.is_domain_out())
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

fn close(connection: &Connection, code: ResultCode) {
    let number = VarInt::from_u32(u32::from(code.number()));
    connection.close(number, code.name().as_bytes());
}

async fn serve_requests(shared: &Arc<Shared>, connection: Connection) {
    let builder = h3::server::builder();
    let Ok(mut http) = builder
        .build::<_, Bytes>(h3_quinn::Connection::new(connection.clone()))
        .await
    else {
        return;
    };
    while let Ok(Some(resolver)) = http.accept().await {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            if let Ok((request, stream)) = resolver.resolve_request().await {
                serve_request(&shared, request, stream).await;
            }
        });
    }
    connection.closed().await;
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
    if stream
        .send_response(Response::from_parts(head, ()))
        .await
        .is_err()
    {
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
