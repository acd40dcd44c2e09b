//! Tests that a QUIC client accepts the stateless reset that a balancer sends for a flow of a dead
//! agent.

use basilstep_core::{
    address::{AgentAddress, DomainId, Incarnation, ServiceId},
    crypto::{ClusterKey, SipHashKey},
    settings::SettingsView,
    steering::{DeadAgent, SteeringDecision, SteeringTable, reset_key, stateless_reset},
    token::{FlowKey, FlowKeys, FlowToken, TOKEN_BYTES},
    wire::CarrierPurpose,
};
use quinn::{
    ClientConfig, Connection, ConnectionError, ConnectionId, ConnectionIdGenerator, Endpoint,
    EndpointConfig, ServerConfig, TokioRuntime,
};
use rand::{SeedableRng, rngs::StdRng};
use rustls::{RootCertStore, pki_types::PrivatePkcs8KeyDer};
use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::Arc,
    time::Duration,
};
use tokio::time;

const SERVICE: ServiceId = ServiceId(1);
const INCARNATION: Incarnation = Incarnation(5);
const KEY: FlowKey = FlowKey {
    id: 1,
    secret: SipHashKey([1; 16]),
};
const CLUSTER_KEY: ClusterKey = ClusterKey::new([7; 32]);
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Prevents a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct TokenGenerator {
    agent: SocketAddrV4,
    issued: u8,
}

impl ConnectionIdGenerator for TokenGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        self.issued = self.issued.wrapping_add(1);
        let token = FlowToken {
            agent: AgentAddress(self.agent),
            service: SERVICE,
            domain: DomainId(1),
            incarnation_low: INCARNATION.0 as u16,
            nonce: [0, 0, self.issued],
        };
        ConnectionId::new(&token.encode(&KEY))
    }

    fn cid_len(&self) -> usize {
        TOKEN_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

fn bind() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else {
        panic!("the socket has an IPv4 address");
    };
    (socket, address)
}

/// Starts the endpoint of an agent and that of a caller that trusts its certificate.
fn endpoints() -> (Endpoint, SocketAddrV4, Endpoint) {
    let certified = rcgen::generate_simple_self_signed(["a.test".to_owned()]).expect("valid name");
    let certificate = certified.cert.der().clone();
    let key = PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
    let server_config = ServerConfig::with_single_cert(vec![certificate.clone()], key.into());
    let (socket, agent) = bind();
    let mut config = EndpointConfig::new(Arc::new(reset_key(&CLUSTER_KEY)));
    config.cid_generator(move || Box::new(TokenGenerator { agent, issued: 0 }));
    let server_config = Some(server_config.expect("valid certificate"));
    let server = Endpoint::new(config, server_config, socket, Arc::new(TokioRuntime));
    let mut client = Endpoint::client((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("valid certificate");
    let client_config = ClientConfig::with_root_certificates(Arc::new(roots));
    client.set_default_client_config(client_config.expect("valid roots"));
    (server.expect("an endpoint"), agent, client)
}

fn steering_table(agent: SocketAddrV4, is_dead: bool) -> SteeringTable {
    let view = SettingsView {
        flow_keys: Some(FlowKeys {
            current: KEY,
            previous: None,
        }),
        ..SettingsView::default()
    };
    let dead = DeadAgent {
        address: AgentAddress(agent),
        incarnation: INCARNATION,
    };
    let dead = [dead];
    SteeringTable::build(&view, &[], if is_dead { &dead } else { &[] })
}

/// Relays packets between one caller and the agent, or responds as a balancer does for a dead
/// agent.
struct Relay {
    socket: tokio::net::UdpSocket,
    agent: SocketAddrV4,
    caller: Option<SocketAddr>,
}

impl Relay {
    /// Forwards packets in both directions until dropped.
    async fn forward(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = received.expect("a datagram");
            let is_from_agent = from == SocketAddr::V4(self.agent);
            if !is_from_agent {
                self.caller = Some(from);
            }
            let to = if is_from_agent {
                self.caller
            } else {
                Some(self.agent.into())
            };
            let to = to.expect("the caller sends first");
            let sent = self.socket.send_to(&buffer[..length], to).await;
            sent.expect("loopback accepts it");
        }
    }

    /// Sends the resets of a steering table in which the agent is dead, until dropped.
    async fn answer_with_resets(&self) {
        let table = steering_table(self.agent, true);
        let key = reset_key(&CLUSTER_KEY);
        let mut rng = StdRng::seed_from_u64(1);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = received.expect("a datagram");
            let datagram = &buffer[..length];
            let SteeringDecision::Reset { connection_id, .. } =
                table.steer(SERVICE, &from, datagram)
            else {
                continue;
            };
            let Some(reset) = stateless_reset(&connection_id, &key, &mut rng, length) else {
                continue;
            };
            let sent = self.socket.send_to(reset.as_bytes(), from).await;
            sent.expect("loopback accepts it");
        }
    }
}

async fn connect(
    server: &Endpoint,
    client: &Endpoint,
    to: SocketAddrV4,
) -> (Connection, Connection) {
    let connecting = client.connect(to.into(), "a.test").expect("valid address");
    let accepting = async { server.accept().await.expect("the endpoint is open").await };
    let (opened, accepted) = tokio::join!(connecting, accepting);
    (opened.expect("a flow"), accepted.expect("a flow"))
}

/// A flow through a relay that has stopped forwarding, with unacknowledged stream data in flight.
struct StoppedFlow {
    relay: Relay,
    flow: Connection,
    _server: (Endpoint, Connection),
    _client: Endpoint,
}

impl StoppedFlow {
    async fn open() -> Self {
        let (server, agent, client) = endpoints();
        let (socket, address) = bind();
        socket.set_nonblocking(true).expect("a socket option");
        let mut relay = Relay {
            socket: tokio::net::UdpSocket::from_std(socket).expect("a runtime"),
            agent,
            caller: None,
        };
        let connecting = time::timeout(TEST_TIMEOUT, connect(&server, &client, address));
        let (flow, accepted) = tokio::select! {
            flows = connecting => flows.expect("a flow"),
            () = relay.forward() => unreachable!("the relay forwards until dropped"),
        };
        let mut upload = flow.open_uni().await.expect("a stream");
        upload
            .write_all(&[0; 100])
            .await
            .expect("room in the window");
        Self {
            relay,
            flow,
            _server: (server, accepted),
            _client: client,
        }
    }
}

#[tokio::test]
async fn caller_accepts_the_reset_of_a_balancer() {
    let StoppedFlow { relay, flow, .. } = &StoppedFlow::open().await;
    let error = tokio::select! {
        error = time::timeout(TEST_TIMEOUT, flow.closed()) => error.expect("the flow ends"),
        () = relay.answer_with_resets() => unreachable!("the relay responds until dropped"),
    };
    assert_eq!(error, ConnectionError::Reset);
}

#[tokio::test]
async fn packet_of_the_quic_library_is_steered_to_its_agent() {
    let stopped = StoppedFlow::open().await;
    let relay = &stopped.relay;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let receiving = async {
        loop {
            let received = relay.socket.recv_from(&mut buffer).await;
            let (length, from) = received.expect("a datagram");
            if from != SocketAddr::V4(relay.agent) {
                return steering_table(relay.agent, false).steer(SERVICE, &from, &buffer[..length]);
            }
        }
    };
    let steered = time::timeout(TEST_TIMEOUT, receiving)
        .await
        .expect("a packet");
    let expected = SteeringDecision::Forward {
        agent: AgentAddress(relay.agent),
        purpose: CarrierPurpose::Established,
    };
    assert_eq!(steered, expected);
}
