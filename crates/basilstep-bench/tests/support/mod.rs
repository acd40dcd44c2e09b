//! An HTTP/3 server that responds according to a script.

use basilstep_bench::fakes::{
    caller::FlowClientSettings,
    receipt::{BoardLine, Receipt},
};
use bytes::{Buf, Bytes, BytesMut};
use h3::server::{RequestResolver, RequestStream};
use http::{Request, Response};
use quinn::{Endpoint, ServerConfig, VarInt, crypto::rustls::QuicServerConfig};
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

/// The service of the server.
pub const SERVICE: &str = "teams/a/services/b";
/// The target named in the receipts of the server.
pub const TARGET: &str = "127.0.0.1:1";
/// The ticket that the server issues.
pub const TICKET: &str = "ticket";

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;
type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

/// How the server handles one offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Responds with a complete receipt.
    Whole,
    /// Responds with the receipt of another operation.
    OfAnother,
    /// Responds with the receipt of another service.
    OfAnotherService,
    /// Responds with a result code.
    Code(u16),
    /// Responds with a status and no result code.
    Status(u16),
    /// Closes the connection with an error code.
    Close(u32),
}

/// A server that follows a script.
#[derive(Debug)]
pub struct ScriptedServer {
    endpoint: Endpoint,
    root: CertificateDer<'static>,
    script: Script,
}

/// The remaining replies and the idempotency keys received so far.
#[derive(Clone, Debug, Default)]
struct Script {
    state: Arc<Mutex<ScriptState>>,
}

#[derive(Debug, Default)]
struct ScriptState {
    replies: Vec<Reply>,
    keys: Vec<String>,
}

impl Script {
    fn next(&self, request: &Request<()>) -> Reply {
        let mut state = self
            .state
            .lock()
            .expect("no test panics while holding the lock");
        let Some(key) = request.headers().get("idempotency-key") else {
            return Reply::Whole;
        };
        let key = key.to_str().expect("keys are text").to_owned();
        state.keys.push(key);
        if state.replies.is_empty() {
            return Reply::Whole;
        }
        state.replies.remove(0)
    }
}

impl ScriptedServer {
    /// Starts a server that handles the first offers with `replies` and all other requests with
    /// [`Reply::Whole`].
    pub fn start(replies: &[Reply]) -> Self {
        let names = vec!["basilstep.test".to_owned()];
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(names).expect("a certificate");
        let root = cert.der().clone();
        let key = PrivateKeyDer::try_from(signing_key.serialize_der()).expect("a key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("TLS 1.3 is supported")
            .with_no_client_auth()
            .with_single_cert(vec![root.clone()], key)
            .expect("the certificate and the key match");
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let tls = QuicServerConfig::try_from(tls).expect("TLS 1.3 with the initial suite");
        let config = ServerConfig::with_crypto(Arc::new(tls));
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let endpoint = Endpoint::server(config, address).expect("a port is free");
        let script = Script::default();
        script.state.lock().expect("fresh").replies = replies.to_vec();
        tokio::spawn(accept(endpoint.clone(), script.clone()));
        Self {
            endpoint,
            root,
            script,
        }
    }

    /// Returns the settings for opening a flow to this server.
    pub fn flow_settings(&self) -> FlowClientSettings {
        FlowClientSettings {
            address: self.endpoint.local_addr().expect("an address"),
            local_ip: Ipv4Addr::LOCALHOST,
            root: self.root.clone(),
        }
    }

    /// Returns the idempotency keys in the order of their arrival.
    pub fn keys(&self) -> Vec<String> {
        let state = self.script.state.lock();
        state
            .expect("no test panics while holding the lock")
            .keys
            .clone()
    }
}

async fn accept(endpoint: Endpoint, script: Script) {
    while let Some(incoming) = endpoint.accept().await {
        let Ok(connection) = incoming.await else {
            continue;
        };
        tokio::spawn(serve(connection, script.clone()));
    }
}

async fn serve(connection: quinn::Connection, script: Script) {
    let Ok(mut http) =
        h3::server::Connection::new(h3_quinn::Connection::new(connection.clone())).await
    else {
        return;
    };
    while let Ok(Some(resolver)) = http.accept().await {
        tokio::spawn(reply(resolver, connection.clone(), script.clone()));
    }
}

async fn reply(resolver: Resolver, connection: quinn::Connection, script: Script) {
    let Ok((request, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    if let Some(board) = request.uri().path().strip_prefix("/boards/") {
        return serve_board(board, &mut stream).await;
    }
    let mut body = BytesMut::new();
    while let Ok(Some(part)) = stream.recv_data().await {
        body.extend_from_slice(part.chunk());
    }
    let status = match script.next(&request) {
        Reply::Close(code) => return connection.close(VarInt::from_u32(code), b""),
        Reply::Code(code) => return refuse(code, &mut stream).await,
        Reply::Whole => return send_receipt(SERVICE, "", &request, &body, &mut stream).await,
        Reply::OfAnother => return send_receipt(SERVICE, "x", &request, &body, &mut stream).await,
        Reply::OfAnotherService => {
            return send_receipt("x", "", &request, &body, &mut stream).await;
        }
        Reply::Status(status) => status,
    };
    let response = Response::builder().status(status).body(());
    drop(stream.send_response(response.expect("a response")).await);
    drop(stream.finish().await);
}

async fn refuse(code: u16, stream: &mut Stream) {
    let response = Response::builder()
        .status(503)
        .header("basilstep-code", code)
        .header("basilstep-retry-after-ms", 1)
        .header("basilstep-ticket", TICKET)
        .body(());
    drop(stream.send_response(response.expect("a response")).await);
    drop(stream.finish().await);
}

async fn send_receipt(
    service: &str,
    suffix: &str,
    request: &Request<()>,
    body: &[u8],
    stream: &mut Stream,
) {
    let path = request.uri().path();
    let operation = match path {
        "/offers" => String::from_utf8_lossy(body).into_owned(),
        _ => path.rsplit('/').next().unwrap_or_default().to_owned(),
    };
    let receipt = Receipt::new(service, TARGET, &(operation + suffix), body, 2_000);
    let response = Response::builder()
        .header("basilstep-ticket", TICKET)
        .body(());
    drop(stream.send_response(response.expect("a response")).await);
    let json = serde_json::to_vec(&receipt).expect("a receipt is JSON");
    drop(stream.send_data(Bytes::from(json)).await);
    drop(stream.finish().await);
}

async fn serve_board(board: &str, stream: &mut Stream) {
    drop(stream.send_response(Response::new(())).await);
    let line = BoardLine {
        service: SERVICE.to_owned(),
        target: TARGET.to_owned(),
        board: board.to_owned(),
        sequence: 0,
    };
    let json = serde_json::to_string(&line).expect("a line is JSON");
    drop(stream.send_data(Bytes::from(json + "\n")).await);
    std::future::pending::<()>().await;
}
