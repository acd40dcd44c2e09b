//! Serves callers' flows: QUIC connections that carry HTTP/3 requests.

use crate::{
    endpoint::MAX_STREAMS_PER_FLOW,
    exchange::{self, CallerRequestBody, Dispatcher, RequestOrigin, ResponseBody},
    shared_state::SharedState,
    stop::StopStage,
    upstream::remove_hop_by_hop,
};
use basilstep_core::{admission::AdmissionEvent, codes::ResultCode, requests::RequestIntake};
use bytes::Bytes;
use h3::{
    error::Code,
    server::{RequestResolver, RequestStream},
};
use http::{Request, Response};
use http_body_util::BodyExt;
use quinn::{Connection, Endpoint, Incoming, VarInt};
use std::sync::Arc;

type ResponseStream = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;
type RequestStreams = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// `H3_REQUEST_REJECTED` (RFC 9114, section 8.1) as a QUIC error code.
const REQUEST_REJECTED: VarInt = VarInt::from_u32(0x10b);

/// Accepts callers' flows and serves their requests.
#[derive(Clone, Debug)]
pub struct FlowServer {
    /// The shared state of the agent.
    pub shared: Arc<SharedState>,
    /// Decides on requests and connections.
    pub dispatcher: Arc<Dispatcher>,
}

impl FlowServer {
    /// Accepts flows until the endpoint is closed.
    pub async fn accept(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let flow_server = self.clone();
            tokio::spawn(async move { flow_server.serve_flow(incoming).await });
        }
    }

    async fn serve_flow(&self, incoming: Incoming) {
        let is_refused = self.shared.own_load().refusal(0).is_some();
        if is_refused
            || self
                .dispatcher
                .handle_admission_event(AdmissionEvent::ConnectionOffered)
                .is_some()
        {
            incoming.refuse();
            return;
        }
        let caller = incoming.remote_address();
        let initial_connection_id = incoming.orig_dst_cid();
        if let Ok(connecting) = incoming.accept() {
            self.shared.on_flow_opened(&caller, &initial_connection_id);
            if let Ok(connection) = connecting.await {
                self.serve_connection(connection).await;
            }
            self.shared.on_flow_closed();
        }
        self.dispatcher
            .handle_admission_event(AdmissionEvent::ConnectionClosed);
    }

    async fn serve_connection(&self, connection: Connection) {
        tokio::select! {
            () = self.serve_requests(connection.clone()) => {}
            () = close_when_domain_out(&self.shared, &connection) => {}
        }
        // Running requests keep the connection open, and the flow lasts as long as the connection.
        connection.closed().await;
    }

    async fn serve_requests(&self, connection: Connection) {
        let builder = h3::server::builder();
        let transport = h3_quinn::Connection::new(connection.clone());
        let Ok(mut http) = builder.build::<_, Bytes>(transport).await else {
            return;
        };
        let flow = rand::random();
        let mut intake = RequestIntake::default();
        let mut stop_stage = StopStage::Running;
        loop {
            tokio::select! {
                accepted = http.accept() => {
                    let Ok(Some(resolver)) = accepted else {
                        break;
                    };
                    if intake.accept_next() {
                        self.spawn_request(flow, resolver, connection.clone());
                    } else {
                        tokio::spawn(reject_request(resolver));
                    }
                }
                reached = self.shared.stop_stage_after(stop_stage) => {
                    stop_stage = reached;
                    let limit = intake.limit_to(requests_after_goaway(stop_stage));
                    if http.shutdown(limit as usize).await.is_err() {
                        break;
                    }
                }
            }
        }
        reject_further_requests(&connection).await;
    }

    fn spawn_request(&self, flow: u32, resolver: Resolver, connection: Connection) {
        let flow_server = self.clone();
        let active = self.shared.active_requests.begin();
        tokio::spawn(async move {
            let _active = active;
            let Ok((request, stream)) = resolver.resolve_request().await else {
                return;
            };
            tokio::select! {
                () = flow_server.serve_request(flow, request, stream) => {}
                // The connection is closed: dropping the request cancels it at the target.
                _ = connection.closed() => {}
            }
        });
    }

    async fn serve_request(&self, flow: u32, request: Request<()>, stream: RequestStreams) {
        let (response_stream, body) = stream.split();
        let request = request.map(|()| CallerRequestBody::new(body));
        let origin = RequestOrigin::Flow(flow);
        let response =
            exchange::handle_request(&self.shared, &self.dispatcher, origin, request).await;
        write_response(response, response_stream).await;
    }
}

/// Returns the limit of further requests on a flow whose caller is told to open another one.
///
/// All requests that may be on their way are accepted at first, and none once the agent closes its
/// flows.
fn requests_after_goaway(stage: StopStage) -> u32 {
    match stage {
        StopStage::Closing => 1,
        StopStage::Running | StopStage::Finishing => MAX_STREAMS_PER_FLOW,
    }
}

/// Tells the caller that a request was not run.
async fn reject_request(resolver: Resolver) {
    if let Ok((_, mut stream)) = resolver.resolve_request().await {
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
    }
}

/// Rejects requests until the connection is closed.
///
/// After a GOAWAY, h3 stops accepting as soon as it has rejected a request while none is in
/// progress; later ones would wait for their caller's timeout.
async fn reject_further_requests(connection: &Connection) {
    while let Ok((mut response_stream, mut request_stream)) = connection.accept_bi().await {
        // These fail only when the caller has given up the request.
        let _ = request_stream.stop(REQUEST_REJECTED);
        let _ = response_stream.reset(REQUEST_REJECTED);
    }
}

/// Closes the connection when operators take the agent's failure domain out of service.
///
/// The connection has to be closed before this returns: a dropped HTTP/3 connection closes itself
/// with its own error code.
async fn close_when_domain_out(shared: &SharedState, connection: &Connection) {
    let mut active_settings = shared.watch_active_settings();
    let is_out = active_settings.wait_for(|settings| settings.is_domain_out());
    if is_out.await.is_err() {
        std::future::pending::<()>().await;
    }
    let code = ResultCode::FlowDomainOut;
    let number = VarInt::from_u32(u32::from(code.number()));
    connection.close(number, code.name().as_bytes());
}

/// Sends a response. When its body breaks off, the stream is reset, so that the caller cannot take
/// the response for complete.
async fn write_response(response: Response<ResponseBody>, mut stream: ResponseStream) {
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
    // This fails only when the caller has gone.
    let _ = stream.finish().await;
}
